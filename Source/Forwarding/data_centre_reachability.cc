#include "Forwarding/data_centre_reachability.h"

#include <algorithm>
#include <utility>

namespace lavendertack {
namespace {

// Control instances send an update twice a second. One lost update is followed
// by the next one within this time.
constexpr milliseconds kUpdateSilence{800};
// Targets in reach answer some packet within this time.
constexpr milliseconds kAnswerSilence{400};
constexpr std::uint32_t kMinUnanswered = 3;
// After a suspension, packets that arrived meanwhile look unanswered.
constexpr milliseconds kAfterSuspension{1000};
// An entry instance sends two requests a second to a control instance, which is
// asked for them four times a second: one of them is known here within this
// time.
constexpr milliseconds kEntrySilence{1200};
// What a control instance tells about a data centre is valid for this long.
constexpr milliseconds kActivityValidity{1000};
// A target whose call isn't answered calls another control instance after this
// time.
constexpr milliseconds kReportTimeout{1000};
// Part of the report interval by which a report may be late.
constexpr double kReportLateness = 0.25;

milliseconds ToMilliseconds(process_clock::duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

void data_centre_reachability::RecordUpdate(instant now,
                                            const data_centre_name& name) {
  contacts_[name].last_update = now;
}

void data_centre_reachability::RecordActivity(instant now,
                                              const data_centre_name& name,
                                              instant received,
                                              bool has_entries) {
  contact& of = contacts_[name];
  of.activity_known_at = now;
  of.last_activity = std::max(received, of.last_activity.value_or(received));
  of.has_entries = has_entries;
}

void data_centre_reachability::RecordAnswered(instant now,
                                              const data_centre_name& name) {
  contact& of = contacts_[name];
  of.last_answer = now;
  of.unanswered = 0;
}

void data_centre_reachability::RecordUnanswered(const data_centre_name& name) {
  ++contacts_[name].unanswered;
}

void data_centre_reachability::Discard(instant now) {
  valid_from_ = now + kAfterSuspension;
  for (auto& [name, of] : contacts_) of.unanswered = 0;
}

bool data_centre_reachability::IsSuspected(instant now,
                                           const contact& of) const {
  return now >= valid_from_ && of.unanswered >= kMinUnanswered &&
         of.last_update && now - *of.last_update >= kUpdateSilence &&
         of.last_answer && now - *of.last_answer >= kAnswerSilence;
}

bool data_centre_reachability::IsSuspected(instant now,
                                           const data_centre_name& name) const {
  const auto it = contacts_.find(name);
  return it != contacts_.end() && IsSuspected(now, it->second);
}

bool data_centre_reachability::HasSuspicion(instant now) const {
  return std::any_of(
      contacts_.begin(), contacts_.end(), [&](const auto& entry) {
        return entry.first != settings_.own && IsSuspected(now, entry.second);
      });
}

bool data_centre_reachability::IsConfirmed(instant now, const contact& of) {
  return of.activity_known_at &&
         now - *of.activity_known_at < kActivityValidity;
}

bool data_centre_reachability::HasAnswerFromOthers(instant now) const {
  return std::any_of(contacts_.begin(), contacts_.end(),
                     [&](const auto& entry) {
                       const auto& [other, of] = entry;
                       return other != settings_.own && of.last_answer &&
                              now - *of.last_answer < kAnswerSilence;
                     });
}

bool data_centre_reachability::IsUnreachable(instant now,
                                             const data_centre_name& name,
                                             const contact& of) const {
  if (name == settings_.own || !IsSuspected(now, of)) return false;
  const bool is_confirmed = IsConfirmed(now, of);
  // If only targets can show that the data centre is reachable, each of them
  // must have had the time to report to another control instance.
  const auto required =
      is_confirmed && of.has_entries
          ? kEntrySilence
          : kReportTimeout +
                std::chrono::duration_cast<milliseconds>(
                    settings_.report_interval * (1 + kReportLateness));
  if (now - *LastMessage(name) < required) return false;
  return is_confirmed || !HasAnswerFromOthers(now);
}

bool data_centre_reachability::IsUnreachable(
    instant now, const data_centre_name& name) const {
  const auto it = contacts_.find(name);
  return it != contacts_.end() && IsUnreachable(now, name, it->second);
}

std::optional<instant> data_centre_reachability::LastMessage(
    const data_centre_name& name) const {
  const auto it = contacts_.find(name);
  if (it == contacts_.end()) return std::nullopt;
  return std::max(it->second.last_update, it->second.last_activity);
}

std::vector<unreachable_data_centre> data_centre_reachability::TakeUnreachable(
    instant now) {
  std::vector<unreachable_data_centre> unreachable;
  for (auto& [name, of] : contacts_) {
    const bool is_unreachable = IsUnreachable(now, name, of);
    if (std::exchange(of.was_unreachable, is_unreachable) || !is_unreachable) {
      continue;
    }
    unreachable.push_back(
        {.name = name,
         .silent = ToMilliseconds(now - *LastMessage(name)),
         .answers_silent = ToMilliseconds(now - *of.last_answer),
         .unanswered = of.unanswered,
         .is_confirmed = IsConfirmed(now, of)});
  }
  return unreachable;
}

}  // namespace lavendertack
