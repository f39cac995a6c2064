// Decides which change of the voters is due. Voters that are unreachable or
// lost their disk are replaced without an operator, missing voters are added,
// and voters are spread over the data centres.
#ifndef LAVENDERTACK_CONTROL_VOTER_PLAN_H_
#define LAVENDERTACK_CONTROL_VOTER_PLAN_H_

#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Common/replica_set.h"
#include "Directory/log_entry.h"

namespace lavendertack {

// State of a control instance, as seen by the instance that plans the change.
struct control_peer {
  instance_name name;
  data_centre_name data_centre;
  storage_id storage;          // 0 when its disk can't be written.
  bool caught_up = false;      // Has all log entries of the planning instance.
  milliseconds silent_for{0};  // Time since its last message.
};

// Thresholds for planning a voter change.
struct voter_plan_settings {
  std::size_t desired_voters = 3;  // Below this number, voters are added.
  // A voter that is silent for this long is replaced if there is a candidate;
  // milliseconds::max() turns replacement of silent voters off.
  milliseconds replace_after{0};
  // A peer that is silent for longer isn't a candidate.
  milliseconds candidate_max_silence{0};
};

// Number of voters needed to survive the loss of `lost_disks` disks.
constexpr std::size_t VotersToSurvive(std::size_t lost_disks) {
  return 2 * lost_disks + 1;
}

// Returns the next change; nullopt when none is due or possible. A change
// concerns one voter, so several may be needed one after the other. `peers`
// holds all known control instances, including the one that plans.
std::optional<replica_change> PlanVoters(
    const voter_plan_settings& settings, const replica_set& voters,
    const std::vector<control_peer>& peers);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_VOTER_PLAN_H_
