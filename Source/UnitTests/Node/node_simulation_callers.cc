// The simulated callers: they open flows, send requests, resend the same bytes
// through random instances, cancel, close, and check each answer.
#include "UnitTests/Node/node_simulation.h"

namespace lavendertack::testing {
namespace {

constexpr milliseconds kDeadline{2000};
constexpr milliseconds kResendInterval{220};
// Longest time between the deadline of a request and its final answer.
constexpr milliseconds kAnswerBound{2000};
// Time after a ticket takes a data centre out of service during which flows may
// still open there.
constexpr seconds kOutOfServiceBound{5};
// A refusal with the reason kDataCentreOut that doesn't report the flow as lost
// is a violation if at least this many requests in a row were refused: the
// caller would keep using a flow that the instances no longer serve.
constexpr int kRefusalsUntilStuck = 5;

}  // namespace

void node_simulation::OpenFlow(std::size_t index) {
  flow& f = flows_[index];
  const std::uint64_t timer_generation = f.timer_generation + 1;
  f = flow{};
  f.timer_generation = timer_generation;
  f.id = {random_()};
  f.address = {"caller:" + std::to_string(index) + ":" +
               std::to_string(f.id.value)};
  f.service = {Chance(0.75) ? "catalogue" : "guides"};
  f.service_class = {f.service.value == "catalogue" && Chance(0.5) ? "hold"
                                                                   : "browse"};
  f.repeatable = f.service_class.value == "browse" && Chance(0.7);
  f.packet.flow = f.id;
  f.packet.service = f.service;
  f.packet.body = open_flow{};
  f.deadline = instant::max() - kAnswerBound;
  checker_.Count("open");
  SendUntilAnswered(index, f.timer_generation);
}

void node_simulation::SendPacket(std::size_t index,
                                 const caller_packet& packet) {
  if (settings_.inject_faults && Chance(0.03)) return;
  const std::size_t to = RandomBelow(instances_.size());
  queue_.ScheduleAfter(milliseconds(2) + microseconds(RandomBelow(4000)),
                       [this, to, packet, from = flows_[index].address] {
                         Deliver(to, caller_packet_received{from, packet});
                       });
}

void node_simulation::SendUntilAnswered(std::size_t index,
                                        std::uint64_t timer_generation) {
  flow& f = flows_[index];
  if (f.timer_generation != timer_generation) return;
  if (queue_.Now() > f.deadline + kAnswerBound) {
    checker_.RecordViolation(invariant::kFinalAnswer, queue_.Now(),
                             "flow " + std::to_string(f.id.value) +
                                 " request " + std::to_string(f.request.value) +
                                 " of " + f.service.value + " has no answer");
    OpenFlow(index);
    return;
  }
  SendPacket(index, f.packet);
  if (settings_.inject_faults && Chance(0.03)) {
    checker_.Count("fault: sent through two instances at once");
    SendPacket(index, f.packet);
  }
  if (settings_.inject_faults && Chance(0.01)) {
    checker_.Count("fault: forged token or service");
    caller_packet forged = f.packet;
    if (forged.token) forged.token->data_centre = {Chance(0.5) ? "b" : "x"};
    if (Chance(0.5)) {
      forged.service = {f.service.value == "guides" ? "catalogue" : "guides"};
    }
    forged.flow = {random_()};
    forged_flows_[forged.flow] = f.address;
    SendPacket(index, forged);
  }
  queue_.ScheduleAfter(kResendInterval, [this, index, timer_generation] {
    SendUntilAnswered(index, timer_generation);
  });
}

void node_simulation::ScheduleRequest(std::size_t index, milliseconds wait) {
  flow& f = flows_[index];
  f.state = flow_step::kIdle;
  const std::uint64_t timer_generation = ++f.timer_generation;
  queue_.ScheduleAfter(wait, [this, index, timer_generation] {
    if (flows_[index].timer_generation == timer_generation) StartRequest(index);
  });
}

void node_simulation::StartRequest(std::size_t index) {
  flow& f = flows_[index];
  if (Chance(0.02)) {
    checker_.Count("close");
    f.packet.token = f.token;
    f.packet.body = close_flow{};
    SendPacket(index, f.packet);
    OpenFlow(index);
    return;
  }
  ++f.request.value;
  f.state = flow_step::kRequestPending;
  f.packet.token = f.token;
  run_request request;
  request.number = f.request;
  request.service_class = f.service_class;
  request.repeatable = f.repeatable;
  request.deadline = kDeadline;
  f.packet.body = request;
  f.deadline = queue_.Now() + kDeadline;
  checker_.Count("request");
  const std::uint64_t timer_generation = ++f.timer_generation;
  SendUntilAnswered(index, timer_generation);
  if (settings_.inject_faults && Chance(0.02)) {
    checker_.Count("cancel");
    caller_packet cancel = f.packet;
    cancel.body = cancel_request{f.request};
    queue_.ScheduleAfter(RandomDuration(1, 40), [this, index, cancel] {
      if (flows_[index].id == cancel.flow) {
        SendPacket(index, cancel);
      }
    });
  }
}

void node_simulation::ReceiveAnswer(const caller_address& at,
                                    const caller_answer& answer) {
  std::size_t index = 0;
  while (index < flows_.size() && flows_[index].address != at) ++index;
  if (index == flows_.size()) return;  // The caller no longer uses this flow.
  flow& f = flows_[index];
  if (answer.flow != f.id) {
    // The answer to a forged packet is sent to the caller that forged it.
    if (auto forged = forged_flows_.find(answer.flow);
        forged == forged_flows_.end() || forged->second != at) {
      checker_.RecordViolation(invariant::kCorrectAnswer, queue_.Now(),
                               "an answer reached another caller");
    }
    return;
  }
  if (answer.kind == answer_kind::kNotRun && answer.request.value != 0) {
    checker_.RecordNotRunAnswer(queue_.Now(), answer.flow, answer.request,
                                f.repeatable, answer.reason);
  }
  if (answer.kind == answer_kind::kOpened) {
    if (f.state != flow_step::kOpening) {
      if (answer.token && answer.token->nonce != f.token->nonce) {
        checker_.Count("flow opened twice");
      }
      return;
    }
    checker_.Count("outcome: opened");
    f.token = answer.token;
    f.opened_at = queue_.Now();
    for (const target& t : targets_) {
      if (t.boot != f.token->boot || t.state == target_state::kReady) continue;
      // A crashed target is skipped: it may not have announced its state, and
      // it runs nothing.
      if (!t.alive) continue;
      if (queue_.Now() > t.state_since + seconds(1)) {
        checker_.RecordViolation(invariant::kLeavingTarget, queue_.Now(),
                                 "a new flow was placed at " + t.name.value);
      }
    }
    ScheduleRequest(index, RandomDuration(20, 800));
    return;
  }
  if (f.state == flow_step::kOpening) {
    checker_.Count("open refused: " + std::string(ToString(answer.reason)));
    return;
  }
  if (answer.request != f.request || f.state != flow_step::kRequestPending) {
    return;
  }
  ReceiveFinalAnswer(index, answer);
}

void node_simulation::ReceiveFinalAnswer(std::size_t index,
                                         const caller_answer& answer) {
  flow& f = flows_[index];
  std::string outcome = "outcome: " + std::string(ToString(answer.kind));
  if (answer.reason != refusal_reason::kNone) {
    outcome += ", " + std::string(ToString(answer.reason));
  }
  checker_.Count(outcome);
  if (answer.token) f.token = answer.token;
  if (answer.kind == answer_kind::kServed) {
    const std::string expected = f.service.value + ":" +
                                 std::to_string(f.id.value) + ":" +
                                 std::to_string(f.request.value) + ":" +
                                 std::string(f.request.value % 7, 'x');
    if (answer.body != expected) {
      checker_.RecordViolation(
          invariant::kCorrectAnswer, queue_.Now(),
          "wrong body " + answer.body + " for " + expected);
    }
    f.consecutive_refusals = 0;
    ScheduleRequest(index, RandomDuration(20, 800));
    return;
  }
  CheckFlowSurvival(f, answer);
  if (answer.flow_lost) {
    checker_.Count("flow lost");
    OpenFlow(index);
    return;
  }
  if (++f.consecutive_refusals >= kRefusalsUntilStuck &&
      answer.reason == refusal_reason::kDataCentreOut) {
    checker_.RecordViolation(invariant::kFinalAnswer, queue_.Now(),
                             "a caller got no report that its flow is lost");
    OpenFlow(index);
    return;
  }
  ScheduleRequest(index, std::max(answer.retry_after, RandomDuration(20, 400)));
}

void node_simulation::CheckFlowSurvival(const flow& f,
                                        const caller_answer& answer) {
  if (settings_.inject_faults || !f.token) return;
  if (!answer.flow_lost && answer.kind != answer_kind::kOutcomeUnknown) return;
  if (last_out_change_.contains(f.token->data_centre) &&
      last_out_change_[f.token->data_centre] + kOutOfServiceBound >=
          f.opened_at) {
    // The flow is lost because its data centre went out of service, while it
    // was open or while the ticket was still being distributed.
    return;
  }
  checker_.RecordViolation(invariant::kFlowSurvival, queue_.Now(),
                           "flow " + std::to_string(f.id.value) + " at " +
                               f.token->target.value + " got " +
                               std::string(ToString(answer.kind)) + ", " +
                               std::string(ToString(answer.reason)));
}

}  // namespace lavendertack::testing
