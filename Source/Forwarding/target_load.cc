#include "Forwarding/target_load.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Decay window of the request counts: several times a request's response time,
// and short compared to the daily variation of the load.
constexpr milliseconds kLoadWindow{2000};
// State of a target without packets for this time is erased.
constexpr milliseconds kIdleTimeout{30'000};
// A target is suspect for the minimum time after an unanswered connection. The
// time doubles with each further one in a row, up to the maximum. For
// comparison, a caller retransmits its opening packet for the first time after
// 200 ms.
constexpr milliseconds kMinSuspicionTime{1000};
constexpr milliseconds kMaxSuspicionTime{8000};

}  // namespace

target_load::state& target_load::GetOrCreateState(instant now, target_tag tag) {
  auto [it, added] = states_.try_emplace(
      tag, state{.recent_requests = decayed_count(kLoadWindow)});
  it->second.last_used = now;
  return it->second;
}

void target_load::AddRequest(instant now, target_tag tag) {
  GetOrCreateState(now, tag).recent_requests.Add(now, 1.0);
}

void target_load::RecordOpening(instant now, target_tag tag) {
  AddRequest(now, tag);
}

void target_load::RecordRequest(instant now, target_tag tag) {
  AddRequest(now, tag);
}

void target_load::RecordUnanswered(instant now, target_tag tag) {
  state& target = GetOrCreateState(now, tag);
  const auto doubled =
      kMinSuspicionTime * (1 << std::min(target.unanswered, 3U));
  target.suspect_until =
      now + std::min<milliseconds>(doubled, kMaxSuspicionTime);
  ++target.unanswered;
}

void target_load::RecordAnswered(instant now, target_tag tag) {
  state& target = GetOrCreateState(now, tag);
  target.unanswered = 0;
  target.suspect_until = {};
  target.last_answered = now;
}

void target_load::RecordProgress(instant now, target_tag tag) {
  GetOrCreateState(now, tag).last_answered = now;
}

bool target_load::HasAnsweredSince(instant since, target_tag tag) const {
  auto it = states_.find(tag);
  return it != states_.end() && it->second.last_answered >= since;
}

void target_load::ChangePending(instant now, target_tag tag, int change) {
  GetOrCreateState(now, tag).pending += change;
}

double target_load::RecentRequests(instant now, target_tag tag) const {
  auto it = states_.find(tag);
  if (it == states_.end()) return 0;
  return it->second.recent_requests.ValueAt(now);
}

bool target_load::IsSuspect(instant now, target_tag tag) const {
  auto it = states_.find(tag);
  if (it == states_.end() || it->second.unanswered == 0) return false;
  // After `suspect_until`, the target gets one connection at a time as a probe
  // until it answers.
  return it->second.suspect_until > now || it->second.pending > 0;
}

void target_load::EraseIdle(instant now) {
  std::erase_if(states_, [now](const auto& entry) {
    return entry.second.pending == 0 &&
           now - entry.second.last_used > kIdleTimeout;
  });
}

}  // namespace lavendertack
