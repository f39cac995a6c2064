// The published state: the newest manifest, the closed data centres and the
// voters of the agreed log. It is a state machine over the entries of that log.
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

// Orders of operators, encoded as entries of the agreed log.

// Replaces the manifest if `version` is higher than the current one.
struct publish_manifest {
  manifest_version version;
  std::string text;  // Stored and returned exactly as the operator sent it.
};
// Closes a data centre for new flows or opens it again.
struct set_evacuation {
  data_centre_name data_centre;
  bool closed = false;
};
// Reads the newest state and changes nothing.
struct read_published {};
using published_order = std::variant<publish_manifest, set_evacuation,
                                     read_published, replica_change>;

// Encodes an order as a log entry. `nonce` distinguishes orders with the same
// content.
std::string EncodeOrder(std::uint64_t nonce, const published_order& order);

// Decodes the text of a manifest that was validated before it was accepted.
// Returns nothing if it isn't valid.
using manifest_decoder =
    std::function<std::optional<manifest>(const std::string& text)>;

// A route that was added, changed or removed.
struct route_change {
  ipv4_endpoint address;
  const route* new_route = nullptr;  // Null when the route was removed.
};

// State machine of the published state. Entries, manifests and snapshots that
// can't be decoded are fatal errors.
class published_state {
 public:
  explicit published_state(manifest_decoder decode)
      : decode_(std::move(decode)) {}

  // Whether the encoded order is valid as the next entry. An order that closes
  // or opens a data centre always is, even if it changes nothing: its entry
  // makes sure that no order from before it takes effect later.
  bool CanApply(const std::string& entry) const;
  // Applies the agreed entry at `index`; ignores an order that changes nothing.
  void Apply(log_index index, const std::string& entry);

  // Begin and end the replay of the log. During the replay, manifests aren't
  // decoded, because that was done when they were accepted; EndRestore()
  // decodes the newest one. `index` is that of the last entry replayed.
  void BeginRestore() { restoring_ = true; }
  void EndRestore(log_index index);

  // Encodes the state as a snapshot.
  std::string Save() const;
  // Replaces the state by the snapshot that was taken at `index`.
  void Load(log_index index, const std::string& state);

  // Encode and decode the bootstrap entry, the first entry of every log. The
  // decoded voters are empty if `entry` is of another kind.
  static std::string EncodeBootstrapEntry(const replica_set& voters);
  static replica_set DecodeBootstrapVoters(const std::string& entry);

  const replica_set& voters() const { return voters_; }
  // Text of the newest manifest; empty before the first one.
  const std::string& text() const { return text_; }
  // The newest manifest; its version is 0 before the first one.
  const manifest& published() const { return manifest_; }
  // Data centres that are closed for new flows.
  const std::set<data_centre_name>& closed() const { return closed_; }
  // Index of the last entry that changed the manifest or the closed data
  // centres, or of the last loaded snapshot if that is newer; 0 if there is
  // none.
  log_index last_changed_index() const { return last_changed_index_; }

  // Routes that changed after `index`. Returns nothing when the change history
  // doesn't reach back to `index`; all routes must be sent then.
  std::optional<std::vector<route_change>> RoutesSince(log_index index) const;

 private:
  void Publish(log_index index, const wire::manifest_entry& entry);
  manifest DecodeManifest() const;
  void ReplaceRoutes(log_index index, manifest next);

  manifest_decoder decode_;
  replica_set voters_;
  std::string text_;
  manifest manifest_;
  std::set<data_centre_name> closed_;
  log_index last_changed_index_;
  bool restoring_ = false;
  // Index of the entry that last added, changed or removed the route of an
  // address.
  std::map<ipv4_endpoint, log_index> route_changes_;
  // `route_changes_` contains all changes after this index.
  log_index route_history_start_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_MANIFEST_PUBLISHED_STATE_H_
