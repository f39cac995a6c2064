// Failure detector: tracks heartbeats from all configured instances and keeps
// the newest one of each. The result is a suspicion only: it may shift load,
// but correctness must not depend on it.
#ifndef LAVENDERTACK_MEMBERSHIP_MEMBERSHIP_H_
#define LAVENDERTACK_MEMBERSHIP_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Interval between two heartbeats to the same instance.
inline constexpr milliseconds kHeartbeatInterval{200};
// An instance without a heartbeat for this long is suspected of having failed.
inline constexpr milliseconds kSuspectAfter{1000};
// An instance without a heartbeat for this long is down for longer than a
// restart takes.
inline constexpr milliseconds kSilentAfter{3000};

// A configured instance and its newest heartbeat.
struct member {
  instance_name name;
  data_centre_name data_centre;
  bool replica = false;                      // Configured as a bootstrap voter.
  std::optional<instant> last_heartbeat_at;  // Arrival of the newest heartbeat.
  wire::heartbeat last_heartbeat;            // Content of the newest heartbeat.
};

class membership {
 public:
  membership(instance_name self, std::vector<member> members);

  // Stores a heartbeat that arrived from `from` at `now`. Heartbeats from
  // instances that aren't configured are ignored.
  void RecordHeartbeat(instant now, const instance_name& from,
                       const wire::heartbeat& heartbeat);
  // Whether `name` sent a heartbeat within kSuspectAfter and isn't leaving.
  // Always true for this instance.
  bool IsAlive(instant now, const instance_name& name) const;
  // Whether messages get through in both directions: `name` sent a heartbeat
  // within kSuspectAfter that doesn't list this instance as unheard. True also
  // for a leaving instance, which still takes packets of its open flows.
  bool IsReachable(instant now, const instance_name& name) const;
  // Other instances without a heartbeat within kSuspectAfter, sorted by name.
  std::vector<instance_name> SuspectedInstances(instant now) const;
  // Whether `name` is another configured instance that has sent no heartbeat
  // within kSilentAfter, or none since this instance started.
  bool IsSilent(instant now, const instance_name& name) const;
  // All configured instances.
  const std::map<instance_name, member>& members() const { return members_; }
  // Name of this instance.
  const instance_name& self() const { return self_; }

 private:
  bool IsResponsive(instant now, const member& m) const;

  instance_name self_;
  std::map<instance_name, member> members_;
  // Arrival of the first heartbeat from any instance.
  std::optional<instant> first_heartbeat_at_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_MEMBERSHIP_MEMBERSHIP_H_
