// Announces a control instance after its start to the entry instances that
// followed it before.
//
// Load pattern: all machines of a fleet lose their power, and callers wait for
// the first entry instance that knows the published state. Entry instances know
// only their seeds at first. If these start last, the other control instances
// would stand by with the whole state, unknown to everybody.
#ifndef LAVENDERTACK_CONTROL_RESTART_ANNOUNCEMENTS_H_
#define LAVENDERTACK_CONTROL_RESTART_ANNOUNCEMENTS_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Not thread-safe; all times are passed in.
class restart_announcements {
 public:
  // Most entry instances that are announced to.
  static constexpr std::size_t kMaxFollowers = 4096;

  // Adds an entry instance that followed this instance before its start.
  void Add(const instance_name& follower);
  // The entry instance has sent a request, so it knows this instance.
  void RecordRequest(const instance_name& follower);
  // Returns the entry instances to which this instance should be announced now.
  // Each one that sends no request is returned several times, as it may start
  // later. The number per call is limited.
  std::vector<instance_name> TakeDue(instant now);

 private:
  std::set<instance_name> followers_;  // That have sent no request yet.
  std::optional<instance_name> last_;  // In the current round.
  std::optional<instant> started_at_;
  instant next_round_at_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_RESTART_ANNOUNCEMENTS_H_
