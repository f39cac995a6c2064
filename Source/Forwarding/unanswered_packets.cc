#include "Forwarding/unanswered_packets.h"

#include <utility>

namespace lavendertack {
namespace {

// Time for which a report of unanswered packets can be corrected. Longer than
// control instances use it: they discard it with the next report of the target.
constexpr milliseconds kCorrectionTime{5000};

}  // namespace

void unanswered_packets::RecordUnanswered(target_tag tag) {
  ++unreported_[tag];
}

void unanswered_packets::RecordAnswered(target_tag tag) {
  if (reported_.erase(tag) > 0) {
    unreported_[tag] = 0;
  } else {
    unreported_.erase(tag);
  }
}

unanswered_report unanswered_packets::TakeReport(instant now) {
  std::erase_if(reported_, [now](const auto& entry) {
    return now - entry.second > kCorrectionTime;
  });
  for (const auto& [tag, packets] : unreported_) {
    if (packets > 0) reported_[tag] = now;
  }
  return std::exchange(unreported_, {});
}

}  // namespace lavendertack
