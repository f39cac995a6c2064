// A follower's view of all targets, merged from several control instances: the
// newest report of each target, and the control instances that receive its
// reports.
#ifndef LAVENDERTACK_TARGETS_TARGET_VIEW_H_
#define LAVENDERTACK_TARGETS_TARGET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Targets/target_report.h"

namespace lavendertack {

// The control instance that forwarded a report.
using report_source = instance_name;

// One target in the view.
struct known_target {
  target_report report;  // The newest report.
  target_tag tag;
  // End of the cold start by the clock of this process.
  instant cold_until;
  // Last change of the phase, the start time, `replaced`, or whether a control
  // instance receives its reports.
  instant changed;
  // Control instances that receive its reports, each with the time until which
  // its information is valid: instant::max() while the instance is reachable.
  std::map<report_source, instant> reported_by;
  // Those of `reported_by` that only have a saved report, from before their
  // restart.
  std::set<report_source> restored_by;
  // A target that started later has reported with the same address. Stays set
  // until the target itself restarts.
  bool replaced = false;
  // Callers' packets to it went unanswered when its reports stopped. Its next
  // report resets this.
  bool unanswered = false;

  // No packet can reach the target any more, as it is gone or replaced.
  bool IsTerminated() const {
    return replaced || report.phase == target_phase::kGone;
  }
  // Whether it may get new flows according to its own reports: ready, not cold
  // and not replaced.
  bool AcceptsNewFlows(instant now) const {
    return !replaced && report.phase == target_phase::kReady &&
           cold_until <= now;
  }
  // Whether at least one control instance receives its reports.
  bool IsReporting(instant now) const;
  // Whether it neither reports nor answers callers' packets.
  bool IsLost(instant now) const { return unanswered && !IsReporting(now); }
};

// A change of a target's state in the view, to be logged.
struct target_change {
  target_id id;
  target_phase phase;
  report_source source;
  report_version version;
  // The target that had the same address before.
  std::optional<target_id> replaced = std::nullopt;
};

// Not thread-safe; all times are passed in.
class target_view {
 public:
  // Merges a report from `source`. Returns the change, if the report made one.
  std::optional<target_change> Apply(instant now, const report_source& source,
                                     const target_report& report);
  // Call it when the source was lost or has restarted: the reports from it are
  // valid only until `until`, unless the source sends them again.
  void ExpireSource(const report_source& source, instant until);
  // Erases targets that are gone or replaced, or whose reports no control
  // instance receives, if they haven't changed for the time `after`.
  void Forget(instant now, milliseconds after);

  // The target with the tag; null when there is none. If several have the same
  // tag, one that isn't gone or replaced is preferred, then the one that
  // started last.
  const known_target* FindByTag(target_tag tag) const;
  // The target with the id; null when there is none.
  const known_target* Find(const target_id& id) const;
  // Targets of a service, ordered by id.
  const std::vector<const known_target*>& OfService(
      const service_name& service) const;
  std::size_t size() const { return targets_.size(); }
  const std::map<target_id, std::unique_ptr<known_target>>& targets() const {
    return targets_;
  }

 private:
  // Marks one of two targets with the same address as replaced. Returns the
  // other one if it is replaced by `target` now.
  std::optional<target_id> ResolveAddress(instant now, known_target* target);
  // Records that `source` has the report of the target.
  static void AddSource(instant now, const report_source& source, bool restored,
                        known_target* target);
  void AddToIndexes(known_target* target);
  void RemoveFromIndexes(const known_target* target);

  std::map<target_id, std::unique_ptr<known_target>> targets_;
  std::unordered_multimap<target_tag, const known_target*> by_tag_;
  std::unordered_map<service_name, std::vector<const known_target*>>
      by_service_;
  // For each address, the target that started last among those that use it.
  std::unordered_map<ipv4_endpoint, target_id> by_address_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_VIEW_H_
