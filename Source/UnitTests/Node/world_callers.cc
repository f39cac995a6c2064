// The fake callers: they open, request, resend byte for byte through random
// instances, cancel, close, and check each answer.
#include "UnitTests/Node/world.h"

namespace lavendertack::testing {
namespace {

constexpr milliseconds kDeadline{2000};
constexpr milliseconds kResend{220};
// A final answer comes at the latest so long after the deadline.
constexpr milliseconds kAnswerBound{2000};
// Until so long after a ticket a flow may open in a data centre that is out.
constexpr seconds kOutBound{5};
// So many refusals in a row without being told that the flow is lost show that
// a caller would stay with a flow that was given up.
constexpr int kStuckAfter = 5;

}  // namespace

void world::OpenFlow(std::size_t index) {
  flow& f = flows_[index];
  const std::uint64_t turn = f.turn + 1;
  f = flow{};
  f.turn = turn;
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
  witness_.Count("open");
  Resend(index, f.turn);
}

void world::SendPacket(std::size_t index, const caller_packet& packet) {
  if (settings_.unplanned && Chance(0.03)) return;
  const std::size_t to = Below(instances_.size());
  queue_.After(milliseconds(2) + microseconds(Below(4000)),
               [this, to, packet, from = flows_[index].address] {
                 Deliver(to, caller_packet_received{from, packet});
               });
}

void world::Resend(std::size_t index, std::uint64_t turn) {
  flow& f = flows_[index];
  if (f.turn != turn) return;
  if (queue_.Now() > f.deadline + kAnswerBound) {
    witness_.Broken(rule::kFinalAnswer, queue_.Now(),
                    "flow " + std::to_string(f.id.value) + " request " +
                        std::to_string(f.request.value) + " of " +
                        f.service.value + " has no answer");
    OpenFlow(index);
    return;
  }
  SendPacket(index, f.packet);
  if (settings_.unplanned && Chance(0.03)) {
    witness_.Count("fault: sent through two instances at once");
    SendPacket(index, f.packet);
  }
  if (settings_.unplanned && Chance(0.01)) {
    witness_.Count("fault: forged token or service");
    caller_packet forged = f.packet;
    if (forged.token) forged.token->data_centre = {Chance(0.5) ? "b" : "x"};
    if (Chance(0.5)) {
      forged.service = {f.service.value == "guides" ? "catalogue" : "guides"};
    }
    forged.flow = {random_()};
    forged_[forged.flow] = f.address;
    SendPacket(index, forged);
  }
  queue_.After(kResend, [this, index, turn] { Resend(index, turn); });
}

void world::Think(std::size_t index, milliseconds wait) {
  flow& f = flows_[index];
  f.at = step::kThinking;
  const std::uint64_t turn = ++f.turn;
  queue_.After(wait, [this, index, turn] {
    if (flows_[index].turn == turn) StartRequest(index);
  });
}

void world::StartRequest(std::size_t index) {
  flow& f = flows_[index];
  if (Chance(0.02)) {
    witness_.Count("close");
    f.packet.token = f.token;
    f.packet.body = close_flow{};
    SendPacket(index, f.packet);
    OpenFlow(index);
    return;
  }
  ++f.request.value;
  f.at = step::kWaiting;
  f.packet.token = f.token;
  run_request request;
  request.number = f.request;
  request.service_class = f.service_class;
  request.repeatable = f.repeatable;
  request.deadline = kDeadline;
  f.packet.body = request;
  f.deadline = queue_.Now() + kDeadline;
  witness_.Count("request");
  const std::uint64_t turn = ++f.turn;
  Resend(index, turn);
  if (settings_.unplanned && Chance(0.02)) {
    witness_.Count("cancel");
    caller_packet cancel = f.packet;
    cancel.body = cancel_request{f.request};
    queue_.After(Between(1, 40), [this, index, cancel] {
      if (flows_[index].id == cancel.flow) {
        SendPacket(index, cancel);
      }
    });
  }
}

void world::Receive(const caller_address& at, const caller_answer& answer) {
  std::size_t index = 0;
  while (index < flows_.size() && flows_[index].address != at) ++index;
  if (index == flows_.size()) return;  // The caller has left this flow.
  flow& f = flows_[index];
  if (answer.flow != f.id) {
    // What a caller forges of its own is answered to itself.
    if (auto made = forged_.find(answer.flow);
        made == forged_.end() || made->second != at) {
      witness_.Broken(rule::kRightAnswer, queue_.Now(),
                      "an answer reached another caller");
    }
    return;
  }
  if (answer.kind == answer_kind::kNotRun && answer.request.value != 0) {
    witness_.ToldNotRun(queue_.Now(), answer.flow, answer.request, f.repeatable,
                        answer.reason);
  }
  if (answer.kind == answer_kind::kOpened) {
    if (f.at != step::kOpening) {
      if (answer.token && answer.token->nonce != f.token->nonce) {
        witness_.Count("flow opened twice");
      }
      return;
    }
    witness_.Count("outcome: opened");
    f.token = answer.token;
    f.opened = queue_.Now();
    for (const target& t : targets_) {
      if (t.boot != f.token->boot || t.state == target_state::kReady) continue;
      // One that crashed before it could say so gets no work either.
      if (!t.alive) continue;
      if (queue_.Now() > t.state_since + seconds(1)) {
        witness_.Broken(rule::kLeavingTarget, queue_.Now(),
                        "a new flow was placed at " + t.name.value);
      }
    }
    Think(index, Between(20, 800));
    return;
  }
  if (f.at == step::kOpening) {
    witness_.Count("open refused: " + std::string(ToString(answer.reason)));
    return;
  }
  if (answer.request != f.request || f.at != step::kWaiting) return;
  ReceiveFinal(index, answer);
}

void world::ReceiveFinal(std::size_t index, const caller_answer& answer) {
  flow& f = flows_[index];
  std::string outcome = "outcome: " + std::string(ToString(answer.kind));
  if (answer.reason != refusal_reason::kNone) {
    outcome += ", " + std::string(ToString(answer.reason));
  }
  witness_.Count(outcome);
  if (answer.token) f.token = answer.token;
  if (answer.kind == answer_kind::kServed) {
    const std::string expected = f.service.value + ":" +
                                 std::to_string(f.id.value) + ":" +
                                 std::to_string(f.request.value) + ":" +
                                 std::string(f.request.value % 7, 'x');
    if (answer.body != expected) {
      witness_.Broken(rule::kRightAnswer, queue_.Now(),
                      "wrong body " + answer.body + " for " + expected);
    }
    f.refused = 0;
    Think(index, Between(20, 800));
    return;
  }
  CheckSurvival(f, answer);
  if (answer.flow_lost) {
    witness_.Count("flow lost");
    OpenFlow(index);
    return;
  }
  if (++f.refused >= kStuckAfter &&
      answer.reason == refusal_reason::kDataCentreOut) {
    witness_.Broken(rule::kFinalAnswer, queue_.Now(),
                    "a caller isn't told that its flow is given up");
    OpenFlow(index);
    return;
  }
  Think(index, std::max(answer.come_back, Between(20, 400)));
}

void world::CheckSurvival(const flow& f, const caller_answer& answer) {
  if (settings_.unplanned || !f.token) return;
  if (!answer.flow_lost && answer.kind != answer_kind::kOutcomeUnknown) return;
  if (last_out_.contains(f.token->data_centre) &&
      last_out_[f.token->data_centre] + kOutBound >= f.opened) {
    return;  // Given up with its data centre, at once or while it spread.
  }
  witness_.Broken(rule::kFlowsSurvive, queue_.Now(),
                  "flow " + std::to_string(f.id.value) + " at " +
                      f.token->target.value + " got " +
                      std::string(ToString(answer.kind)) + ", " +
                      std::string(ToString(answer.reason)));
}

}  // namespace lavendertack::testing
