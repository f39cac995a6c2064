// Entries of the agreed log and their encoding.
#ifndef LAVENDERTACK_DIRECTORY_LOG_ENTRY_H_
#define LAVENDERTACK_DIRECTORY_LOG_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/replica_set.h"
#include "Directory/ticket.h"

namespace lavendertack {

// Replaces the roster of a data centre: the instances that may own services
// there. Accepted only if `based_on` is the index of the entry that set the
// current roster.
struct roster_change {
  data_centre_name data_centre;
  std::vector<instance_name> instances;
  log_index based_on;
};

// Removes one voter and adds another; an empty name means none. If both names
// are equal, the storage id of this voter is replaced, after a change of its
// disk.
struct replica_change {
  instance_name removed;
  storage_id removed_storage;
  instance_name added;
  storage_id added_storage;
};

// The first entry of every log: the initial voters and data centres.
struct bootstrap_entry {
  replica_set replicas;
  std::vector<data_centre_name> data_centres;
};

using log_entry =
    std::variant<change_ticket, roster_change, replica_change, bootstrap_entry>;

// Decodes an entry of the agreed log. Returns nullopt if `bytes` isn't a valid
// entry of a known kind.
std::optional<log_entry> DecodeEntry(std::string_view bytes);
std::string EncodeEntry(const roster_change& change);
std::string EncodeEntry(const replica_change& change);
std::string EncodeEntry(const bootstrap_entry& bootstrap);

}  // namespace lavendertack

#endif  // LAVENDERTACK_DIRECTORY_LOG_ENTRY_H_
