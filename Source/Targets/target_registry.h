// The targets that report to one control instance, with a revision for each
// change, so that followers can ask for what is new to them.
//
// A report that changes nothing isn't a change: followers hear of a target when
// it appears, changes its phase, turns cold, ends or falls silent.
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

struct target_book_settings {
  // A target that doesn't report for so long is silent.
  milliseconds silent_after{0};
  // A target that ended or fell silent is remembered for so long.
  milliseconds forget_after{0};
};

// A report as it stands in the book.
struct registered_target {
  target_report report;
  instant heard;       // When the newest report came.
  instant cold_until;  // By the clock of this process.
  std::uint64_t revision = 0;
};

enum class report_result {
  kUnchanged,  // Nothing new but that the target lives.
  kChanged,
  kOutdated,  // A newer report of this target, or its end, is known.
};

class target_registry {
 public:
  explicit target_registry(target_book_settings settings)
      : settings_(settings) {}

  report_result Report(instant now, const target_report& report);
  // Takes back what an earlier process of this instance heard. Such a target
  // has until `silent_from` to report before it counts as silent.
  void Restore(const target_report& report, instant silent_from);
  // The target ends. `last` is the newest report known from elsewhere, for a
  // target that never reported here. Nothing is known of others.
  void MarkGone(instant now, const target_id& id,
                const std::optional<target_report>& last);
  // Takes back the word for targets that fell silent; what changed.
  std::vector<target_id> Tick(instant now);
  // Reports of the data centre count as changed once more when the next one of
  // each target comes.
  void RepublishNextReports(const data_centre_name& data_centre);

  // Changes after `revision`, oldest first.
  std::vector<const registered_target*> ChangesSince(
      std::uint64_t revision) const;
  std::uint64_t revision() const { return revision_; }
  const std::map<target_id, registered_target>& targets() const {
    return targets_;
  }

 private:
  void Change(registered_target* target);

  target_book_settings settings_;
  std::uint64_t revision_ = 0;
  std::map<target_id, registered_target> targets_;
  std::map<std::uint64_t, target_id> by_revision_;
  std::set<target_id> expected_fresh_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_REGISTRY_H_
