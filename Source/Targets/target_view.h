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
  // A target that started later reports with the same address, and this one
  // doesn't report any more. Its next report resets this.
  bool replaced = false;
  // Until then it gets no new flows: it has reported again although a target
  // that started later reports with its address. The report may have been
  // delayed.
  instant doubtful_until;
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
    return !replaced && doubtful_until <= now &&
           report.phase == target_phase::kReady && cold_until <= now;
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
//
// A report doesn't prove that its sender has the address that it names. So an
// address belongs to the target that reports with it for as long as its reports
// arrive, whatever other targets report.
class target_view {
 public:
  // The source has sent an update: the reports that it relays are current.
  void RecordContact(instant now, const report_source& source) {
    contacts_[source] = now;
  }
  // Call it when this process was suspended until `now`: the time doesn't count
  // as silence of the sources.
  void IgnoreSilence(instant now) {
    for (auto& [source, contact] : contacts_) contact = now;
  }
  // Merges a report from `source`. Returns the change, if the report made one.
  std::optional<target_change> Apply(instant now, const report_source& source,
                                     const target_report& report);
  // Call it when the source was lost or has restarted: the reports from it are
  // valid only until `until`, unless the source sends them again.
  void ExpireSource(const report_source& source, instant until);
  // Finds the targets whose address another target has taken over in the course
  // of time. Returns the changes of those other targets. Call it regularly.
  std::vector<target_change> ReviewAddresses(instant now);
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
  // A target that has lost its address to another one.
  struct replacement {
    target_id replaced;
    const known_target* by = nullptr;
  };

  // Decides for each target with the address whether it is replaced. Returns
  // those that were not before.
  std::vector<replacement> ReviewAddress(instant now,
                                         const ipv4_endpoint& address);
  static std::optional<target_id> FirstReplaced(
      const std::vector<replacement>& replacements);
  // Whether a source in contact receives the target's reports.
  bool HasReporter(instant now, const known_target& target) const;
  // A target that started later and reports with the same address; null if
  // there is none.
  const known_target* FindSuccessor(instant now,
                                    const known_target& target) const;
  // Records that `source` has the report of the target.
  static void AddSource(instant now, const report_source& source, bool restored,
                        known_target* target);
  void AddToIndexes(known_target* target);
  void RemoveFromIndexes(const known_target* target);

  std::map<target_id, std::unique_ptr<known_target>> targets_;
  std::unordered_multimap<target_tag, const known_target*> by_tag_;
  std::unordered_map<service_name, std::vector<const known_target*>>
      by_service_;
  std::unordered_map<ipv4_endpoint, std::vector<known_target*>> by_address_;
  // Addresses of more than one target.
  std::set<ipv4_endpoint> shared_addresses_;
  // Last update of each source.
  std::map<report_source, instant> contacts_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_VIEW_H_
