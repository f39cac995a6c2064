// The targets that a control instance keeps on disk for its next start.
//
// Load pattern: all machines of a fleet lose their power. Callers retransmit as
// soon as the entry instances are back, and the first control instance that
// answers has to know most targets: the few that report to itself would get
// all connections. So each control instance also saves the targets of the
// others, and sends them to followers that know no targets yet.
#ifndef LAVENDERTACK_CONTROL_SAVED_TARGETS_H_
#define LAVENDERTACK_CONTROL_SAVED_TARGETS_H_

#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Targets/target_registry.h"
#include "Targets/target_view.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// Not thread-safe; all times are passed in.
class saved_targets {
 public:
  // Restores what an earlier process of this instance saved, its own targets to
  // `own`. Records that can't be decoded are skipped; returns their number.
  std::size_t Restore(instant now, const wire::target_snapshot& saved,
                      target_registry* own);

  // A target that reports to this instance has ended or begun to drain.
  void RecordWithdrawal() { has_unsaved_withdrawal_ = true; }
  // A target of another control instance has changed to `phase`.
  void RecordPeerChange(target_phase phase);
  // Something else that is saved has changed.
  void RecordChange() { has_other_change_ = true; }
  // Returns the targets to be written to disk if they have changed and the last
  // write isn't too recent.
  std::optional<wire::target_snapshot> TakeDue(instant now,
                                               const target_registry& own,
                                               const target_view& peers);

  // Targets of other control instances, as saved before the start. Empty once
  // they had time to report again.
  const std::vector<registered_target>& PeerTargets(instant now);

 private:
  bool IsDue(instant now, const target_registry& own) const;

  std::vector<registered_target> peer_targets_;
  instant peer_targets_until_;
  std::optional<instant> last_save_at_;
  std::size_t last_save_bytes_ = 0;
  std::uint64_t saved_revision_ = 0;  // Of the own targets.
  bool has_unsaved_withdrawal_ = false;
  bool has_other_change_ = false;
  // When the last cold start that was saved as lasting ends.
  std::optional<instant> saved_cold_until_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_SAVED_TARGETS_H_
