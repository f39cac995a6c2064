// Entries of the agreed log, in typed form.
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

// The whole new roster of a data centre: the instances that may be in charge
// of services there. Counts only when `based_on` is the index of the entry
// that made the present roster.
struct roster_change {
  data_centre_name data_centre;
  std::vector<instance_name> instances;
  log_index based_on;
};

// One voter leaves, another one enters; an empty name means none. Both may have
// one name: the same instance with another disk.
struct replica_change {
  instance_name removed;
  storage_id removed_storage;
  instance_name added;
  storage_id added_storage;
};

// The first entry of every log.
struct bootstrap_entry {
  replica_set replicas;
  std::vector<data_centre_name> data_centres;
};

using log_entry =
    std::variant<change_ticket, roster_change, replica_change, bootstrap_entry>;

// Nothing when the bytes are no entry of a known kind.
std::optional<log_entry> DecodeEntry(std::string_view bytes);
std::string EncodeEntry(const roster_change& change);
std::string EncodeEntry(const replica_change& change);
std::string EncodeEntry(const bootstrap_entry& founding);

}  // namespace lavendertack

#endif  // LAVENDERTACK_DIRECTORY_LOG_ENTRY_H_
