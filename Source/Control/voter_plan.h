// Which change of the voters is due: control instances that are gone, or whose
// disk was lost, are replaced without an operator.
#ifndef LAVENDERTACK_CONTROL_VOTER_PLAN_H_
#define LAVENDERTACK_CONTROL_VOTER_PLAN_H_

#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Common/replica_set.h"
#include "Directory/log_entry.h"

namespace lavendertack {

// A control instance with a disk, as this one sees it.
struct control_peer {
  instance_name name;
  data_centre_name data_centre;
  storage_id storage;      // 0 when its disk takes no record.
  bool caught_up = false;  // It holds every entry that this one holds.
  milliseconds silent{0};  // Since it was last heard.
};

struct voter_plan_settings {
  std::size_t wanted = 3;
  // A voter that is silent for so long is replaced when another can take over.
  milliseconds replace_after{0};
  // A peer that is silent for longer is no candidate.
  milliseconds candidate_within{0};
};

// The number of voters with which so many lost disks are survived.
constexpr std::size_t VotersFor(std::size_t lost_disks) {
  return 2 * lost_disks + 1;
}

// The next change, one at a time; nothing when none is due or possible.
// `peers` holds all control instances that are known, this one too.
std::optional<replica_change> PlanVoters(
    const voter_plan_settings& settings, const replica_set& voters,
    const std::vector<control_peer>& peers);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_VOTER_PLAN_H_
