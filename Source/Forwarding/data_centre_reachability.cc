#include "Forwarding/data_centre_reachability.h"

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

}  // namespace

void data_centre_reachability::RecordUpdate(instant now,
                                            const data_centre_name& name) {
  contacts_[name].last_update = now;
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

bool data_centre_reachability::IsLost(instant now, const contact& of) const {
  return now >= valid_from_ && of.unanswered >= kMinUnanswered &&
         of.last_update && now - *of.last_update >= kUpdateSilence &&
         of.last_answer && now - *of.last_answer >= kAnswerSilence;
}

bool data_centre_reachability::IsUnreachable(
    instant now, const data_centre_name& name) const {
  const auto it = contacts_.find(name);
  return it != contacts_.end() && IsLost(now, it->second);
}

std::vector<data_centre_name> data_centre_reachability::TakeLost(instant now) {
  std::vector<data_centre_name> lost;
  for (auto& [name, of] : contacts_) {
    const bool is_lost = IsLost(now, of);
    if (is_lost && !of.was_lost) lost.push_back(name);
    of.was_lost = is_lost;
  }
  return lost;
}

}  // namespace lavendertack
