#include "Targets/target_registry.h"

#include <algorithm>

namespace lavendertack {
namespace {

// The end of a cold start is computed from the remaining time in each report,
// so it varies with the delay of the reports. Only an end that is later by more
// than this tolerance means that the target has become cold again.
constexpr milliseconds kColdTolerance{250};
// Unanswered packets since a target's last report from which it counts as not
// answering. A single one may have been lost on the way.
constexpr std::uint32_t kMinUnansweredPackets = 2;

// Whether a target in this phase has ended or no longer reports.
bool IsInactive(target_phase phase) {
  return phase == target_phase::kGone || phase == target_phase::kSilent;
}

}  // namespace

const char* ToString(target_phase phase) {
  switch (phase) {
    case target_phase::kReady:
      return "ready";
    case target_phase::kDraining:
      return "draining";
    case target_phase::kGone:
      return "gone";
    case target_phase::kSilent:
      return "silent";
  }
  return "unknown";
}

void target_registry::RecordChange(registered_target* target) {
  by_revision_.erase(target->revision);
  target->revision = ++revision_;
  by_revision_[revision_] = target->report.id;
}

report_result target_registry::Report(instant now,
                                      const target_report& report) {
  auto [it, added] = FindOrAdd(report.id);
  registered_target& target = it->second;
  const bool is_gone = target.report.phase == target_phase::kGone;
  if (!added && (report.version < target.report.version ||
                 (is_gone && report.version.started_ms ==
                                 target.report.version.started_ms))) {
    return report_result::kOutdated;
  }
  const instant cold_until =
      report.cold_left.count() > 0 ? now + report.cold_left : instant{};
  const bool becomes_cold =
      cold_until > now && cold_until > target.cold_until + kColdTolerance;
  const bool restarted =
      report.version.started_ms != target.report.version.started_ms;
  const bool is_republished = republish_next_.erase(report.id) > 0;
  const bool changed = added || restarted || becomes_cold ||
                       target.report.restored ||
                       report.phase != target.report.phase ||
                       report.address != target.report.address ||
                       report.service != target.report.service ||
                       report.data_centre != target.report.data_centre ||
                       report.slots != target.report.slots || is_republished;
  if (changed) target.cold_until = cold_until;
  const percent weight = restarted ? kFullWeight : target.report.weight;
  target.report = report;
  target.report.weight = weight;
  target.last_report = now;
  target.unanswered_packets = 0;
  if (!changed) return report_result::kUnchanged;
  RecordChange(&target);
  return report_result::kChanged;
}

void target_registry::Restore(instant now, const target_report& report,
                              instant silent_from) {
  auto [it, added] = FindOrAdd(report.id);
  if (!added) return;
  it->second.report = report;
  it->second.report.restored = true;
  it->second.report.weight = kFullWeight;
  it->second.cold_until = now + report.cold_left;
  it->second.last_report = silent_from - settings_.silent_after;
  RecordChange(&it->second);
}

void target_registry::MarkGone(instant now, const target_id& id,
                               const std::optional<target_report>& last) {
  auto it = targets_.find(id);
  if (it == targets_.end()) {
    if (!last) return;
    it = FindOrAdd(id).first;
    it->second.report = *last;
  } else if (last && last->version > it->second.report.version) {
    it->second.report = *last;
  }
  registered_target& target = it->second;
  target.last_report = now;
  target.report.phase = target_phase::kGone;
  RecordChange(&target);
}

std::pair<std::map<target_id, registered_target>::iterator, bool>
target_registry::FindOrAdd(const target_id& id) {
  auto result = targets_.try_emplace(id);
  if (result.second) by_tag_.emplace(TagOf(id), id);
  return result;
}

void target_registry::RecordUnanswered(target_tag tag, std::uint32_t packets) {
  auto [first, last] = by_tag_.equal_range(tag);
  for (auto it = first; it != last; ++it) {
    targets_.at(it->second).unanswered_packets += packets;
  }
}

void target_registry::RecordAnswered(target_tag tag) {
  auto [first, last] = by_tag_.equal_range(tag);
  for (auto it = first; it != last; ++it) {
    targets_.at(it->second).unanswered_packets = 0;
  }
}

void target_registry::SetWeight(const target_id& id, percent weight) {
  auto it = targets_.find(id);
  if (it == targets_.end() || it->second.report.weight == weight) return;
  it->second.report.weight = weight;
  RecordChange(&it->second);
}

bool target_registry::IsSilent(instant now,
                               const registered_target& target) const {
  const auto silence = now - target.last_report;
  if (silence >= settings_.silent_after) return true;
  return target.unanswered_packets >= kMinUnansweredPackets &&
         silence >= settings_.unanswered_silent_after;
}

std::vector<target_id> target_registry::Tick(instant now) {
  std::vector<target_id> silent;
  for (auto it = targets_.begin(); it != targets_.end();) {
    registered_target& target = it->second;
    const auto silence = now - target.last_report;
    const bool is_inactive = IsInactive(target.report.phase);
    if (is_inactive && silence >= settings_.forget_after) {
      by_revision_.erase(target.revision);
      republish_next_.erase(it->first);
      std::erase_if(by_tag_, [&id = it->first](const auto& entry) {
        return entry.second == id;
      });
      it = targets_.erase(it);
      continue;
    }
    if (!is_inactive && IsSilent(now, target)) {
      target.report.phase = target_phase::kSilent;
      target.report.unanswered =
          target.unanswered_packets >= kMinUnansweredPackets;
      RecordChange(&target);
      silent.push_back(it->first);
    }
    ++it;
  }
  return silent;
}

void target_registry::IgnoreSilence(instant now, microseconds time) {
  for (auto& [id, target] : targets_) {
    // Later than now for a restored target.
    if (target.last_report >= now) continue;
    target.last_report = std::min(now, target.last_report + time);
  }
}

void target_registry::RepublishNextReports(
    const data_centre_name& data_centre) {
  for (const auto& [id, target] : targets_) {
    if (target.report.data_centre == data_centre) republish_next_.insert(id);
  }
}

std::vector<const registered_target*> target_registry::ChangesSince(
    std::uint64_t revision) const {
  std::vector<const registered_target*> changes;
  for (auto it = by_revision_.upper_bound(revision); it != by_revision_.end();
       ++it) {
    changes.push_back(&targets_.at(it->second));
  }
  return changes;
}

}  // namespace lavendertack
