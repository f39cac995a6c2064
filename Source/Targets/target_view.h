// All targets, as a follower of several control instances knows them: for each
// target the newest of its reports, and which control instances hear it.
#ifndef LAVENDERTACK_TARGETS_TARGET_VIEW_H_
#define LAVENDERTACK_TARGETS_TARGET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Targets/target_report.h"

namespace lavendertack {

// 32 bits that name a target in the packets of its flows. 0 names none.
using target_tag = strong_type<struct target_tag_tag, std::uint32_t>;
target_tag TagOf(const target_id& id);

// A control instance as the source of reports.
using report_source = instance_name;

struct known_target {
  target_report report;  // The newest.
  target_tag tag;
  instant cold_until;  // By the clock of this process.
  instant changed;     // When the phase or the start last changed.
  // Control instances that hear it, each with the time until which its word
  // counts: without end while it can be asked.
  std::map<report_source, instant> reported_by;
  // Another target reports from its address since; set once and for all.
  bool replaced = false;

  // It ended for sure: no packet can reach it any more.
  bool IsTerminated() const {
    return replaced || report.phase == target_phase::kGone;
  }
  // New flows may go to it, so far as its own word counts.
  bool IsOpen(instant now) const {
    return !replaced && report.phase == target_phase::kReady &&
           cold_until <= now;
  }
  bool IsReporting(instant now) const;
};

// A change of what is believed of a target, for the log.
struct target_change {
  target_id id;
  target_phase phase;
  report_source source;
  report_version version;
};

class target_view {
 public:
  // Takes in what `source` says. The change, when it made one.
  std::optional<target_change> Apply(instant now, const report_source& source,
                                     const target_report& report);
  // The source was lost or started anew: its word counts until `until`, unless
  // it's given again.
  void ExpireSource(const report_source& source, instant until);
  // Forgets targets that were over, or that nobody hears, for long.
  void Forget(instant now, milliseconds after);

  // The target that a flow's packets name; null when there is none. Where two
  // share a tag, the one that isn't over, then the one that started later.
  const known_target* FindByTag(target_tag tag) const;
  const known_target* Find(const target_id& id) const;
  // Targets of a service, in the order of their ids.
  const std::vector<const known_target*>& OfService(
      const service_name& service) const;
  std::size_t size() const { return targets_.size(); }
  const std::map<target_id, std::unique_ptr<known_target>>& targets() const {
    return targets_;
  }

 private:
  void Replace(instant now, known_target* target);
  void Index(known_target* target);
  void Unindex(const known_target* target);

  std::map<target_id, std::unique_ptr<known_target>> targets_;
  std::unordered_multimap<target_tag, const known_target*> by_tag_;
  std::unordered_map<service_name, std::vector<const known_target*>>
      by_service_;
  // Who started last at an address.
  std::unordered_map<ipv4_endpoint, target_id> at_address_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_VIEW_H_
