#include "Traffic/messages.h"

namespace lavendertack {

bool EndsFlow(answer_kind kind, refusal_reason reason) {
  return kind == answer_kind::kFlowLost ||
         reason == refusal_reason::kDataCentreOut ||
         reason == refusal_reason::kFlowUnknown;
}

std::string_view ToString(answer_kind kind) {
  switch (kind) {
    case answer_kind::kOpened:
      return "opened";
    case answer_kind::kServed:
      return "served";
    case answer_kind::kNotRun:
      return "not run";
    case answer_kind::kOutcomeUnknown:
      return "outcome unknown";
    case answer_kind::kFlowLost:
      return "flow lost";
    case answer_kind::kAlive:
      return "alive";
  }
  return "invalid";
}

std::string_view ToString(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNone:
      return "none";
    case refusal_reason::kOverloaded:
      return "overloaded";
    case refusal_reason::kNoTarget:
      return "no target";
    case refusal_reason::kUnknownService:
      return "unknown service";
    case refusal_reason::kUnknownClass:
      return "unknown class";
    case refusal_reason::kDataCentreOut:
      return "data centre out";
    case refusal_reason::kDeadlinePassed:
      return "deadline passed";
    case refusal_reason::kTargetShed:
      return "target shed";
    case refusal_reason::kTargetLost:
      return "target lost";
    case refusal_reason::kOwnerUnreachable:
      return "owner unreachable";
    case refusal_reason::kOwnerChanged:
      return "owner changed";
    case refusal_reason::kCancelled:
      return "cancelled";
    case refusal_reason::kTooLarge:
      return "too large";
    case refusal_reason::kTooOld:
      return "too old";
    case refusal_reason::kDraining:
      return "draining";
    case refusal_reason::kBadAnswer:
      return "bad answer";
    case refusal_reason::kNotCurrent:
      return "not current";
    case refusal_reason::kFlowUnknown:
      return "flow unknown";
  }
  return "invalid";
}

std::string_view ToString(target_state state) {
  switch (state) {
    case target_state::kCold:
      return "cold";
    case target_state::kReady:
      return "ready";
    case target_state::kDraining:
      return "draining";
    case target_state::kLeaving:
      return "leaving";
  }
  return "invalid";
}

const run_request* RequestIn(const caller_packet& packet) {
  return std::get_if<run_request>(&packet.body);
}

request_number NumberIn(const caller_packet& packet) {
  if (const auto* request = RequestIn(packet)) return request->number;
  if (const auto* cancel = std::get_if<cancel_request>(&packet.body)) {
    return cancel->number;
  }
  return {};
}

}  // namespace lavendertack
