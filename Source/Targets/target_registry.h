// Registry of the targets that report to one control instance. Each change gets
// a revision number, so that followers can request the changes since the last
// revision that they have.
//
// Followers aren't notified of a report with the same content as the previous
// one: it gets no revision. Changes are the first report of a target, a new
// phase or property, a restart, a cold start, and the change to the phase gone
// or silent.
#ifndef LAVENDERTACK_TARGETS_TARGET_REGISTRY_H_
#define LAVENDERTACK_TARGETS_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/instant.h"
#include "Targets/target_report.h"

namespace lavendertack {

// Timeouts of the registry.
struct target_registry_settings {
  // A target without a report for this time becomes silent.
  milliseconds silent_after{0};
  // An ended or silent target is erased after this time without a report.
  milliseconds forget_after{0};
  // As `silent_after`, for a target that doesn't answer callers' packets
  // either.
  milliseconds unanswered_silent_after{0};
};

// One target's entry in the registry.
struct registered_target {
  // The newest report. Its phase is overwritten when the target ends or becomes
  // silent.
  target_report report;
  // When the last report, or the end of the target, was received.
  instant last_report;
  // End of the cold start by the clock of this process.
  instant cold_until;
  // Revision of the last change.
  std::uint64_t revision = 0;
  // Callers' packets since the last report that the target didn't answer.
  std::uint32_t unanswered_packets = 0;
};

// How a report changed the registry.
enum class report_result {
  kUnchanged,  // Same content; only the time of receipt is updated.
  kChanged,    // The target got a new revision.
  kOutdated,   // Ignored: a newer report, or the target's end, is recorded.
  kUnknownService,  // Not registered: no manifest names the service.
};

// Not thread-safe; all times are passed in.
class target_registry {
 public:
  explicit target_registry(target_registry_settings settings)
      : settings_(settings) {}

  // Processes a report that was received from a target.
  report_result Report(instant now, const target_report& report);
  // Restores a report that an earlier process of this instance saved. The
  // target becomes silent if it doesn't report before `silent_from`. A cold
  // start counts as lasting as long as it did when the report was saved. The
  // call is ignored if the target is already registered.
  void Restore(instant now, const target_report& report, instant silent_from);
  // Sets the target's phase to kGone. `last` is its newest report to other
  // control instances, if any; it replaces the registered report if it is
  // newer. The call is ignored if the target isn't registered and `last` is
  // empty.
  void MarkGone(instant now, const target_id& id,
                const std::optional<target_report>& last);
  // Records that callers had to retransmit `packets` packets to the target with
  // the tag. Ignored if no target has it.
  void RecordUnanswered(target_tag tag, std::uint32_t packets);
  // Discards what was recorded of the target by `RecordUnanswered`: it has
  // answered since.
  void RecordAnswered(target_tag tag);
  // Sets the weight of a registered target. It is kept until the target
  // restarts; reports of the target don't change it.
  void SetWeight(const target_id& id, percent weight);
  // Sets the phase of targets without a report for `silent_after` to kSilent
  // and returns their ids. For targets that don't answer callers' packets,
  // `unanswered_silent_after` applies. Erases ended and silent targets without
  // a report for `forget_after`.
  std::vector<target_id> Tick(instant now);
  // Call it when this process was suspended for `time` until `now` and received
  // no reports: the time doesn't count as silence of the targets.
  void IgnoreSilence(instant now, microseconds time);
  // The next report of each target in the data centre counts as a change even
  // if its content is the same.
  void RepublishNextReports(const data_centre_name& data_centre);

  // Targets that changed after `revision`, each once, by ascending revision.
  std::vector<const registered_target*> ChangesSince(
      std::uint64_t revision) const;
  // Revision of the last change; 0 before the first one.
  std::uint64_t revision() const { return revision_; }
  const std::map<target_id, registered_target>& targets() const {
    return targets_;
  }

 private:
  // Adds the target to `targets_` if it isn't registered.
  std::pair<std::map<target_id, registered_target>::iterator, bool> FindOrAdd(
      const target_id& id);
  // Whether a target that isn't inactive counts as silent.
  bool IsSilent(instant now, const registered_target& target) const;
  // Gives the target the next revision.
  void RecordChange(registered_target* target);

  target_registry_settings settings_;
  std::uint64_t revision_ = 0;
  std::map<target_id, registered_target> targets_;
  std::unordered_multimap<target_tag, target_id> by_tag_;
  // Targets by the revision of their last change.
  std::map<std::uint64_t, target_id> by_revision_;
  // Targets whose next report counts as a change.
  std::set<target_id> republish_next_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_REGISTRY_H_
