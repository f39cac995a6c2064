#include "Forwarding/target_load.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Requests of so long ago count 1/e: several times a request's work, and short
// against the waves of the day.
constexpr milliseconds kLoadWindow{2000};
// Without packets for so long nothing is known any more.
constexpr milliseconds kForgetAfter{30'000};
// After the first unanswered connection; doubled with each one in a row. A
// caller sends its first copy after 200 ms.
constexpr milliseconds kFirstSuspicion{1000};
constexpr milliseconds kLongestSuspicion{8000};

}  // namespace

target_load::state& target_load::Touch(instant now, target_tag tag) {
  auto [it, added] =
      states_.try_emplace(tag, state{.recent = decayed_count(kLoadWindow)});
  it->second.touched = now;
  return it->second;
}

void target_load::AddRequest(instant now, target_tag tag) {
  Touch(now, tag).recent.Add(now, 1.0);
}

void target_load::Opened(instant now, target_tag tag) { AddRequest(now, tag); }

void target_load::Carried(instant now, target_tag tag) { AddRequest(now, tag); }

void target_load::Unanswered(instant now, target_tag tag) {
  state& target = Touch(now, tag);
  const auto doubled = kFirstSuspicion * (1 << std::min(target.unanswered, 3U));
  target.suspect_until =
      now + std::min<milliseconds>(doubled, kLongestSuspicion);
  ++target.unanswered;
}

void target_load::Answered(target_tag tag) {
  auto it = states_.find(tag);
  if (it == states_.end()) return;
  it->second.unanswered = 0;
  it->second.suspect_until = {};
}

void target_load::AddPending(instant now, target_tag tag, int change) {
  Touch(now, tag).pending += change;
}

double target_load::Recent(instant now, target_tag tag) const {
  auto it = states_.find(tag);
  if (it == states_.end()) return 0;
  return it->second.recent.At(now);
}

bool target_load::IsSuspect(instant now, target_tag tag) const {
  auto it = states_.find(tag);
  if (it == states_.end() || it->second.unanswered == 0) return false;
  // Afterwards one connection at a time finds out whether it answers.
  return it->second.suspect_until > now || it->second.pending > 0;
}

void target_load::Forget(instant now) {
  std::erase_if(states_, [now](const auto& entry) {
    return entry.second.pending == 0 &&
           now - entry.second.touched > kForgetAfter;
  });
}

}  // namespace lavendertack
