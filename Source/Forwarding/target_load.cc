#include "Forwarding/target_load.h"

#include <algorithm>
#include <cmath>

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

double Decay(microseconds since) {
  return std::exp(-static_cast<double>(since.count()) /
                  static_cast<double>(microseconds(kLoadWindow).count()));
}

}  // namespace

void target_load::Add(instant now, target_tag tag, double amount) {
  state& target = states_[tag];
  target.recent = target.recent * Decay(now - target.updated) + amount;
  target.updated = now;
}

void target_load::Opened(instant now, target_tag tag) { Add(now, tag, 1.0); }

void target_load::Carried(instant now, target_tag tag) { Add(now, tag, 1.0); }

void target_load::Unanswered(instant now, target_tag tag) {
  state& target = states_[tag];
  const auto doubled = kFirstSuspicion * (1 << std::min(target.unanswered, 3U));
  target.suspect_until =
      now + std::min<milliseconds>(doubled, kLongestSuspicion);
  ++target.unanswered;
  target.updated = std::max(target.updated, now);
}

void target_load::Answered(target_tag tag) {
  auto it = states_.find(tag);
  if (it == states_.end()) return;
  it->second.unanswered = 0;
  it->second.suspect_until = {};
}

void target_load::AddPending(target_tag tag, int change) {
  states_[tag].pending += change;
}

double target_load::Recent(instant now, target_tag tag) const {
  auto it = states_.find(tag);
  if (it == states_.end()) return 0;
  return it->second.recent * Decay(now - it->second.updated);
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
           now - entry.second.updated > kForgetAfter;
  });
}

}  // namespace lavendertack
