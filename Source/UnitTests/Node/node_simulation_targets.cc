// The simulated targets: they announce themselves, run requests, answer with
// or without faults, drain, and restart cold as a new process.
#include "UnitTests/Node/node_simulation.h"

namespace lavendertack::testing {
namespace {

constexpr std::uint32_t kSlotsPerTarget = 2;
constexpr milliseconds kAnnounceInterval{300};
constexpr milliseconds kColdDuration{2000};
// Time after which a leaving target gets no more new requests.
constexpr milliseconds kLeavingBound{1000};

std::string BodyFor(const run_order& order) {
  return order.service.value + ":" + std::to_string(order.flow.value) + ":" +
         std::to_string(order.request.value) + ":" +
         std::string(order.request.value % 7, 'x');
}

}  // namespace

target_connection node_simulation::ConnectionOf(const target& from,
                                                std::size_t owner) const {
  return {from.name.value + "#" + std::to_string(from.boot.value) + "@" +
          instances_[owner].settings.self.value};
}

void node_simulation::StartTarget(std::size_t index, bool may_change_service) {
  target& t = targets_[index];
  t.boot = {random_()};
  t.alive = true;
  t.running_attempts.clear();
  const bool changes_service = may_change_service && Chance(0.3);
  t.service = changes_service ? service_name{t.default_service.value == "guides"
                                                 ? "catalogue"
                                                 : "guides"}
                              : t.default_service;
  if (changes_service) checker_.Count("fault: name reused by another service");
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    connections_[ConnectionOf(t, i)] = {index, t.boot};
  }
  SetState(index, target_state::kCold);
  Announce(index, t.boot);
  queue_.ScheduleAfter(kColdDuration, [this, index, boot = t.boot] {
    if (targets_[index].boot != boot) return;
    if (targets_[index].state != target_state::kCold) return;
    SetState(index, target_state::kReady);
  });
}

void node_simulation::SetState(std::size_t index, target_state state) {
  targets_[index].state = state;
  targets_[index].state_since = queue_.Now();
}

void node_simulation::Announce(std::size_t index, boot_id boot) {
  const target& t = targets_[index];
  if (!t.alive || t.boot != boot) return;
  announcement message;
  message.target = t.name;
  message.service = t.service;
  message.boot = t.boot;
  message.state = t.state;
  message.slots = kSlotsPerTarget;
  message.connections = 200;
  message.reported_busy = static_cast<std::uint32_t>(t.running_attempts.size());
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (DataCentreOf(i) != t.data_centre) continue;
    queue_.ScheduleAfter(
        microseconds(100), [this, i, message, at = ConnectionOf(t, i)] {
          Deliver(i, target_announcement_received{at, message});
        });
  }
  queue_.ScheduleAfter(kAnnounceInterval,
                       [this, index, boot] { Announce(index, boot); });
}

void node_simulation::RunRequest(std::size_t index, std::size_t owner,
                                 const run_order& order) {
  target& t = targets_[index];
  const std::string where =
      "at " + t.name.value + " from " + instances_[owner].settings.self.value;
  if (order.service != t.service) {
    checker_.RecordViolation(invariant::kServiceMatch, queue_.Now(),
                             "request of " + order.service.value + " " + where);
    return;
  }
  if (!t.alive || order.boot != t.boot) return;  // The connection is closed.
  if (t.state == target_state::kLeaving &&
      queue_.Now() > t.state_since + kLeavingBound) {
    checker_.RecordViolation(invariant::kLeavingTarget, queue_.Now(),
                             "new request " + where);
  }
  if (Chance(settings_.inject_faults ? 0.02 : 0)) {
    checker_.Count("fault: shed");
    queue_.ScheduleAfter(microseconds(100), [this, at = ConnectionOf(t, owner),
                                             owner, attempt = order.attempt] {
      run_answer answer;
      answer.attempt = attempt;
      answer.status = run_status::kShed;
      Deliver(owner, target_answer_received{at, answer});
    });
    return;
  }
  checker_.RecordRun(queue_.Now(), order);
  t.running_attempts.insert(order.attempt);
  if (t.running_attempts.size() > kSlotsPerTarget) {
    checker_.RecordViolation(invariant::kSlotLimit, queue_.Now(),
                             "too many requests " + where);
  }
  if (t.state == target_state::kCold && t.running_attempts.size() > 1) {
    checker_.RecordViolation(invariant::kColdTargetLimit, queue_.Now(),
                             "too many requests " + where);
  }
  if (settings_.active_mutation == mutation::kAnswerEarly && Chance(0.1)) {
    run_answer early;
    early.attempt = order.attempt;
    early.body = BodyFor(order);
    Deliver(owner, target_answer_received{ConnectionOf(t, owner), early});
  }
  milliseconds processing_time = RandomDuration(5, 60);
  if (settings_.inject_faults && Chance(0.01)) {
    checker_.Count("fault: late answer");
    processing_time = RandomDuration(1000, 6000);
  }
  queue_.ScheduleAfter(processing_time, [this, index, owner, order] {
    if (targets_[index].boot == order.boot) {
      SendTargetAnswer(index, owner, order);
    }
  });
}

void node_simulation::SendTargetAnswer(std::size_t index, std::size_t owner,
                                       const run_order& order) {
  target& t = targets_[index];
  if (!t.alive) return;
  t.running_attempts.erase(order.attempt);
  const std::string body = BodyFor(order);
  run_answer answer;
  answer.attempt = order.attempt;
  answer.parts = static_cast<std::uint32_t>(1 + RandomBelow(3));
  std::uint32_t sent_parts = answer.parts;
  if (settings_.inject_faults && answer.parts > 1 && Chance(0.02)) {
    checker_.Count("fault: truncated answer");
    --sent_parts;
  }
  const int copies = settings_.inject_faults && Chance(0.03) ? 2 : 1;
  if (copies > 1) checker_.Count("fault: duplicate answer");
  const std::size_t size = (body.size() / answer.parts) + 1;
  for (int copy = 0; copy < copies; ++copy) {
    for (answer.part = 0; answer.part < sent_parts; ++answer.part) {
      answer.body = body.substr(
          std::min(body.size(), std::size_t{answer.part} * size), size);
      queue_.ScheduleAfter(microseconds(100 + copy * 100'000),
                           [this, owner, answer, at = ConnectionOf(t, owner)] {
                             Deliver(owner, target_answer_received{at, answer});
                           });
    }
  }
}

void node_simulation::DrainTarget(std::size_t index) {
  target& t = targets_[index];
  if (!t.alive || t.state != target_state::kReady) return;
  checker_.Count("planned: target drains");
  SetState(index, target_state::kDraining);
  queue_.ScheduleAfter(
      RandomDuration(3000, 8000),
      [this, index, boot = t.boot] { FinishDrain(index, boot); });
}

void node_simulation::FinishDrain(std::size_t index, boot_id boot) {
  target& t = targets_[index];
  if (t.boot != boot || !t.alive) return;
  bool wait = false;
  if (!settings_.inject_faults) {
    // Without faults the target waits for its open flows before it leaves.
    for (const flow& f : flows_) wait |= f.token && f.token->boot == boot;
  }
  if (t.state == target_state::kDraining && !wait) {
    SetState(index, target_state::kLeaving);
    wait = true;
  }
  if (wait || !t.running_attempts.empty()) {
    queue_.ScheduleAfter(RandomDuration(2000, 3000),
                         [this, index, boot] { FinishDrain(index, boot); });
    return;
  }
  t.alive = false;
  queue_.ScheduleAfter(seconds(2), [this, index, boot] {
    if (targets_[index].boot == boot) StartTarget(index, true);
  });
}

}  // namespace lavendertack::testing
