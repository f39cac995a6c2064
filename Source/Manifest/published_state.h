// What operators have published: the manifest of the highest version, and the
// data centres that are taken out. A state machine over the agreed log; who
// votes on the log is part of it.
#ifndef LAVENDERTACK_MANIFEST_PUBLISHED_STATE_H_
#define LAVENDERTACK_MANIFEST_PUBLISHED_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Common/replica_set.h"
#include "Directory/log_entry.h"
#include "Manifest/manifest.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// Orders, as entries of the log.
struct publish_manifest {
  manifest_version version;
  std::string text;  // As the operator sent it; read back as it is.
};
struct set_evacuation {
  data_centre_name data_centre;
  bool closed = false;
};
// Changes nothing: asks for the newest state.
struct read_published {};
using published_order = std::variant<publish_manifest, set_evacuation,
                                     read_published, replica_change>;

// `nonce` tells two orders of the same content apart.
std::string EncodeOrder(std::uint64_t nonce, const published_order& order);

// Decodes the text of a manifest that was checked before it was accepted.
using manifest_decoder =
    std::function<std::optional<manifest>(const std::string& text)>;

struct route_change {
  ipv4_endpoint at;
  const route* now = nullptr;  // Null when the route was removed.
};

class published_state {
 public:
  explicit published_state(manifest_decoder decode)
      : decode_(std::move(decode)) {}

  // Whether the encoded order would change anything as the next entry.
  bool CanApply(const std::string& entry) const;
  // Applies the chosen entry at `index`.
  void Apply(log_index index, const std::string& entry);

  // While the log is read back, only the newest manifest is decoded, at the
  // end: the others were decoded when they were accepted.
  void BeginRestore() { restoring_ = true; }
  void EndRestore(log_index index);

  std::string Save() const;
  void Load(log_index index, const std::string& state);

  // The first entry, and the voters in it.
  static std::string EncodeBootstrapEntry(const replica_set& voters);
  static replica_set DecodeBootstrapVoters(const std::string& entry);

  const replica_set& voters() const { return voters_; }
  // Text and version of the newest manifest; version 0 before the first one.
  const std::string& text() const { return text_; }
  const manifest& published() const { return manifest_; }
  const std::set<data_centre_name>& closed() const { return closed_; }
  // The last entry that changed what followers see; 0 for none.
  log_index last_changed_index() const { return last_changed_index_; }

  // Changes of routes after `index`; nothing when they aren't remembered and
  // the whole set must be taken.
  std::optional<std::vector<route_change>> RoutesSince(log_index index) const;

 private:
  void Publish(log_index index, const wire::manifest_entry& entry);
  manifest Decoded() const;
  void ReplaceRoutes(log_index index, manifest next);

  manifest_decoder decode_;
  replica_set voters_;
  std::string text_;
  manifest manifest_;
  std::set<data_centre_name> closed_;
  log_index last_changed_index_;
  bool restoring_ = false;
  // Entry that last changed or removed the route at an address.
  std::map<ipv4_endpoint, log_index> route_changed_;
  // Changes of routes up to here aren't remembered one by one.
  log_index routes_known_from_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_MANIFEST_PUBLISHED_STATE_H_
