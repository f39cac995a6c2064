#include "Runtime/decision_log.h"

#include <utility>

namespace lavendertack {
namespace {

// Window of the rate limit.
constexpr seconds kRateLimitWindow{1};

}  // namespace

void decision_log::Add(instant now, log_line line) {
  if (line.flow == flow_id{}) {
    write_(line.part, line.text);
    return;
  }
  if (AllowLine(now)) {
    ++written_;
    write_(line.part, line.text);
  } else {
    ++left_out_;
    ++unreported_left_out_;
  }
  if (kept_.size() < kMaxKeptDecisions) {
    kept_.push_back({now, std::move(line)});
    return;
  }
  kept_[next_slot_] = {now, std::move(line)};
  next_slot_ = (next_slot_ + 1) % kMaxKeptDecisions;
}

bool decision_log::AllowLine(instant now) {
  Tick(now);
  if (lines_in_window_ >= lines_per_s_) return false;
  ++lines_in_window_;
  return true;
}

void decision_log::Tick(instant now) {
  if (now - window_start_ < kRateLimitWindow) return;
  if (unreported_left_out_ > 0) {
    write_("log", std::to_string(unreported_left_out_) + " decisions left out");
  }
  window_start_ = now;
  lines_in_window_ = 0;
  unreported_left_out_ = 0;
}

std::vector<const kept_decision*> decision_log::Find(
    flow_id flow, std::optional<request_number> request) const {
  std::vector<const kept_decision*> found;
  for (std::size_t i = 0; i < kept_.size(); ++i) {
    const kept_decision& decision = kept_[(next_slot_ + i) % kept_.size()];
    if (decision.line.flow != flow) continue;
    if (request && decision.line.request != *request) continue;
    found.push_back(&decision);
  }
  return found;
}

}  // namespace lavendertack
