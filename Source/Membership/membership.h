// Which instances answer, and what they last said of themselves. This is
// suspicion only: it moves load.
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

// Time between two heartbeats to the same instance.
inline constexpr milliseconds kHeartbeatInterval{200};
// An instance that is silent for so long is suspected.
inline constexpr milliseconds kSuspectAfter{1000};
// Silence after which it is no more taken for a restart.
inline constexpr milliseconds kSilentAfter{3000};

struct member {
  instance_name name;
  data_centre_name data_centre;
  bool replica = false;
  std::optional<instant> last_heartbeat_at;
  wire::heartbeat last_heartbeat;
};

class membership {
 public:
  membership(instance_name self, std::vector<member> members);

  void RecordHeartbeat(instant now, const instance_name& from,
                       const wire::heartbeat& heartbeat);
  bool IsAlive(instant now, const instance_name& name) const;
  // A message to it arrives: it is heard and says that it hears this instance.
  // One that is leaving still takes packets of its open flows.
  bool IsReachable(instant now, const instance_name& name) const;
  // Instances that aren't heard at present, in order.
  std::vector<instance_name> SuspectedInstances(instant now) const;
  // Not heard for longer than a restart takes, nor since this instance began
  // to listen.
  bool IsSilent(instant now, const instance_name& name) const;
  const std::map<instance_name, member>& members() const { return members_; }
  const instance_name& self() const { return self_; }

 private:
  bool IsHeard(instant now, const member& m) const;

  instance_name self_;
  std::map<instance_name, member> members_;
  std::optional<instant> started_;  // The first time that anyone was heard.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_MEMBERSHIP_MEMBERSHIP_H_
