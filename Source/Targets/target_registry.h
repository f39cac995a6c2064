// Registry of the targets that report to one control instance. Each change gets
// a revision number, so that followers can request the changes since the last
// revision that they have.
//
// A report with the same content as the previous one gets no revision:
// followers are notified when a target is added, changes its phase or
// properties, becomes cold, ends or becomes silent.
#ifndef LAVENDERTACK_TARGETS_TARGET_REGISTRY_H_
#define LAVENDERTACK_TARGETS_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/instant.h"
#include "Targets/target_report.h"

namespace lavendertack {

// Timeouts of the registry.
struct target_book_settings {
  // A target without a report for this time becomes silent.
  milliseconds silent_after{0};
  // An ended or silent target is erased after this time without a report.
  milliseconds forget_after{0};
};

// One target's entry in the registry.
struct registered_target {
  target_report report;        // The newest one; the phase may be set locally.
  instant last_report;         // Receipt of the last report or end.
  instant cold_until;          // By the clock of this process.
  std::uint64_t revision = 0;  // Of the last change.
};

// How a report changed the registry.
enum class report_result {
  kUnchanged,  // Same content; only the time of receipt is updated.
  kChanged,    // The target got a new revision.
  kOutdated,   // A newer report, or the target's end, came before.
};

// Not thread-safe; all times are passed in.
class target_registry {
 public:
  explicit target_registry(target_book_settings settings)
      : settings_(settings) {}

  // Processes a report that was received from a target.
  report_result Report(instant now, const target_report& report);
  // Restores a report that an earlier process of this instance saved. The
  // target becomes silent if it doesn't report before `silent_from`. Ignored if
  // the target is already registered.
  void Restore(const target_report& report, instant silent_from);
  // Sets the target's phase to kGone. `last` is its newest report to other
  // control instances, if any; it is used when it is newer than the one here.
  // Ignored if the target is unknown and `last` is empty.
  void MarkGone(instant now, const target_id& id,
                const std::optional<target_report>& last);
  // Sets the phase of targets without recent reports to kSilent and returns
  // them; erases targets that have been inactive for `forget_after`.
  std::vector<target_id> Tick(instant now);
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
  // Gives the target the next revision.
  void RecordChange(registered_target* target);

  target_book_settings settings_;
  std::uint64_t revision_ = 0;
  std::map<target_id, registered_target> targets_;
  std::map<std::uint64_t, target_id> by_revision_;
  std::set<target_id> republish_next_;  // Next report counts as a change.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_REGISTRY_H_
