#include "Targets/target_view.h"

#include <algorithm>

#include "Common/hash.h"

namespace lavendertack {
namespace {

// Targets report again within this time after a restart of their control
// instance.
constexpr milliseconds kRestoredReportLifetime{10'000};
// A target whose control instance doesn't answer reports to another one within
// this time.
constexpr milliseconds kReportMoveTime{4000};
// Longer than a control instance takes to find that a target is silent, so that
// a single report that was delayed doesn't last as long.
constexpr milliseconds kDoubtTime{5000};

}  // namespace

target_tag TagOf(const target_id& id) {
  const std::uint64_t hash = StableHash(id.value);
  const auto folded = static_cast<std::uint32_t>(hash ^ (hash >> 32));
  return {folded == 0 ? 1 : folded};
}

bool known_target::IsReporting(instant now) const {
  return std::any_of(reported_by.begin(), reported_by.end(),
                     [now](const auto& source) { return source.second > now; });
}

void target_view::AddToIndexes(known_target* target) {
  by_tag_.emplace(target->tag, target);
  auto& list = by_service_[target->report.service];
  const auto position = std::lower_bound(
      list.begin(), list.end(), target,
      [](const auto* a, const auto* b) { return a->report.id < b->report.id; });
  list.insert(position, target);
  const ipv4_endpoint& address = target->report.address;
  auto& sharing = by_address_[address];
  sharing.push_back(target);
  if (sharing.size() > 1) shared_addresses_.insert(address);
}

void target_view::RemoveFromIndexes(const known_target* target) {
  auto [first, last] = by_tag_.equal_range(target->tag);
  for (auto it = first; it != last; ++it) {
    if (it->second != target) continue;
    by_tag_.erase(it);
    break;
  }
  if (auto list = by_service_.find(target->report.service);
      list != by_service_.end()) {
    std::erase(list->second, target);
    if (list->second.empty()) by_service_.erase(list);
  }
  const ipv4_endpoint& address = target->report.address;
  if (auto sharing = by_address_.find(address); sharing != by_address_.end()) {
    std::erase(sharing->second, target);
    if (sharing->second.size() < 2) shared_addresses_.erase(address);
    if (sharing->second.empty()) by_address_.erase(sharing);
  }
}

bool target_view::HasReporter(instant now, const known_target& target) const {
  return std::any_of(target.reported_by.begin(), target.reported_by.end(),
                     [&](const auto& entry) {
                       const auto& [source, until] = entry;
                       const auto contact = contacts_.find(source);
                       return until > now && contact != contacts_.end() &&
                              now - contact->second < kReportMoveTime;
                     });
}

const known_target* target_view::FindSuccessor(
    instant now, const known_target& target) const {
  const auto found = by_address_.find(target.report.address);
  if (found == by_address_.end()) return nullptr;
  for (const known_target* other : found->second) {
    if (other->report.version.started_ms > target.report.version.started_ms &&
        other->report.phase != target_phase::kGone &&
        HasReporter(now, *other)) {
      return other;
    }
  }
  return nullptr;
}

std::vector<target_view::replacement> target_view::ReviewAddress(
    instant now, const ipv4_endpoint& address) {
  std::vector<replacement> replacements;
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) return replacements;
  for (known_target* target : found->second) {
    if (target->report.phase == target_phase::kGone) continue;
    if (HasReporter(now, *target)) {
      target->replaced = false;
      continue;
    }
    const known_target* successor = FindSuccessor(now, *target);
    if (target->replaced || successor == nullptr) continue;
    target->replaced = true;
    target->changed = now;
    replacements.push_back({target->report.id, successor});
  }
  return replacements;
}

std::optional<target_id> target_view::FirstReplaced(
    const std::vector<replacement>& replacements) {
  if (replacements.empty()) return std::nullopt;
  return replacements.front().replaced;
}

std::vector<target_change> target_view::ReviewAddresses(instant now) {
  std::vector<target_change> changes;
  for (const ipv4_endpoint& address : shared_addresses_) {
    for (const auto& [replaced, by] : ReviewAddress(now, address)) {
      changes.push_back({by->report.id, by->report.phase,
                         by->reported_by.begin()->first, by->report.version,
                         replaced});
    }
  }
  return changes;
}

// A saved report doesn't show that the target is alive, so it counts only until
// a control instance has received one from the target itself, and for a limited
// time.
void target_view::AddSource(instant now, const report_source& source,
                            bool restored, known_target* target) {
  if (restored) {
    const bool has_current_source =
        std::any_of(target->reported_by.begin(), target->reported_by.end(),
                    [&](const auto& other) {
                      return other.second > now &&
                             !target->restored_by.contains(other.first);
                    });
    if (has_current_source) return;
    target->restored_by.insert(source);
  } else {
    for (const report_source& other : target->restored_by) {
      target->reported_by.erase(other);
    }
    target->restored_by.clear();
  }
  target->reported_by[source] =
      restored ? now + kRestoredReportLifetime : instant::max();
}

std::optional<target_change> target_view::Apply(instant now,
                                                const report_source& source,
                                                const target_report& report) {
  RecordContact(now, source);
  const bool is_silence_report = report.phase == target_phase::kSilent;
  auto [it, added] = targets_.try_emplace(report.id);
  if (added) {
    it->second = std::make_unique<known_target>();
    known_target& target = *it->second;
    target.report = report;
    // The target is added because packets of its open connections need its
    // address. Its phase before it became silent is unknown, so it counts as
    // draining. With sequence 0, any report from the target itself replaces
    // this state.
    if (is_silence_report) {
      target.report.phase = target_phase::kDraining;
      target.report.version.sequence = 0;
    }
    target.tag = TagOf(report.id);
    target.cold_until = now + report.cold_left;
    target.changed = now;
    target.unanswered = report.unanswered;
    AddToIndexes(&target);
    if (!is_silence_report && report.phase != target_phase::kGone) {
      AddSource(now, source, report.restored, &target);
    }
    if (FindSuccessor(now, target) != nullptr) {
      target.doubtful_until = now + kDoubtTime;
    }
    auto replaced = FirstReplaced(ReviewAddress(now, report.address));
    if (is_silence_report) return std::nullopt;
    return target_change{report.id, report.phase, source, report.version,
                         std::move(replaced)};
  }
  known_target& target = *it->second;
  const bool is_outdated = report.version < target.report.version;
  const bool was_reporting = target.IsReporting(now);
  if (is_silence_report) {
    target.reported_by.erase(source);
    target.restored_by.erase(source);
    if (!target.IsReporting(now)) target.unanswered |= report.unanswered;
    if (!was_reporting || target.IsReporting(now)) return std::nullopt;
    target.changed = now;
    return target_change{report.id, report.phase, source, report.version};
  }
  const bool same_start =
      report.version.started_ms == target.report.version.started_ms;
  if (target.report.phase == target_phase::kGone && same_start) {
    return std::nullopt;
  }
  if (is_outdated) return std::nullopt;
  const bool is_change =
      report.phase != target.report.phase || !same_start || !was_reporting;
  const bool had_reporter = HasReporter(now, target);
  if (!same_start) {
    target.replaced = false;
    target.doubtful_until = {};
  }
  RemoveFromIndexes(&target);
  target.report = report;
  target.cold_until = now + report.cold_left;
  target.unanswered = false;
  AddToIndexes(&target);
  if (report.phase == target_phase::kGone) {
    target.reported_by.clear();
    target.restored_by.clear();
  } else {
    AddSource(now, source, report.restored, &target);
  }
  if (!had_reporter && FindSuccessor(now, target) != nullptr) {
    target.doubtful_until = now + kDoubtTime;
  }
  auto replaced = FirstReplaced(ReviewAddress(now, report.address));
  if (!is_change && !replaced) return std::nullopt;
  target.changed = now;
  return target_change{report.id, report.phase, source, report.version,
                       std::move(replaced)};
}

void target_view::ExpireSource(const report_source& source, instant until) {
  for (auto& [id, target] : targets_) {
    auto it = target->reported_by.find(source);
    if (it != target->reported_by.end()) {
      it->second = std::min(it->second, until);
    }
  }
}

void target_view::Forget(instant now, milliseconds after) {
  std::erase_if(contacts_,
                [&](const auto& entry) { return now - entry.second >= after; });
  for (auto it = targets_.begin(); it != targets_.end();) {
    const known_target& target = *it->second;
    const bool is_alive = !target.IsTerminated() && target.IsReporting(now);
    if (is_alive || now - target.changed < after) {
      ++it;
      continue;
    }
    RemoveFromIndexes(&target);
    it = targets_.erase(it);
  }
}

const known_target* target_view::FindByTag(target_tag tag) const {
  const known_target* best = nullptr;
  auto [first, last] = by_tag_.equal_range(tag);
  for (auto it = first; it != last; ++it) {
    const known_target* other = it->second;
    if (best == nullptr || best->IsTerminated() > other->IsTerminated() ||
        (best->IsTerminated() == other->IsTerminated() &&
         best->report.version.started_ms < other->report.version.started_ms)) {
      best = other;
    }
  }
  return best;
}

const known_target* target_view::Find(const target_id& id) const {
  auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : it->second.get();
}

const std::vector<const known_target*>& target_view::OfService(
    const service_name& service) const {
  static const std::vector<const known_target*> none;
  auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

}  // namespace lavendertack
