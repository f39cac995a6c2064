// The fake targets: they announce, run for a time, answer well or badly,
// drain, and come back cold in a new process.
#include "UnitTests/Node/world.h"

namespace lavendertack::testing {
namespace {

constexpr std::uint32_t kSlots = 2;
constexpr milliseconds kAnnounceInterval{300};
constexpr milliseconds kColdFor{2000};
// A leaving target gets no new work after so long.
constexpr milliseconds kLeavingBound{1000};

std::string BodyFor(const run_order& order) {
  return order.service.value + ":" + std::to_string(order.flow.value) + ":" +
         std::to_string(order.request.value) + ":" +
         std::string(order.request.value % 7, 'x');
}

}  // namespace

target_connection world::ConnectionOf(const target& from,
                                      std::size_t owner) const {
  return {from.name.value + "#" + std::to_string(from.boot.value) + "@" +
          instances_[owner].settings.self.value};
}

void world::StartTarget(std::size_t index, bool may_change_service) {
  target& t = targets_[index];
  t.boot = {random_()};
  t.alive = true;
  t.running.clear();
  const bool changes = may_change_service && Chance(0.3);
  t.service =
      changes ? service_name{t.home.value == "guides" ? "catalogue" : "guides"}
              : t.home;
  if (changes) witness_.Count("fault: name reused by another service");
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    connections_[ConnectionOf(t, i)] = {index, t.boot};
  }
  SetState(index, target_state::kCold);
  Announce(index, t.boot);
  queue_.After(kColdFor, [this, index, boot = t.boot] {
    if (targets_[index].boot != boot) return;
    if (targets_[index].state != target_state::kCold) return;
    SetState(index, target_state::kReady);
  });
}

void world::SetState(std::size_t index, target_state state) {
  targets_[index].state = state;
  targets_[index].state_since = queue_.Now();
}

void world::Announce(std::size_t index, boot_id boot) {
  const target& t = targets_[index];
  if (!t.alive || t.boot != boot) return;
  announcement what;
  what.target = t.name;
  what.service = t.service;
  what.boot = t.boot;
  what.state = t.state;
  what.slots = kSlots;
  what.connections = 200;
  what.reported_busy = static_cast<std::uint32_t>(t.running.size());
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (CentreOf(i) != t.data_centre) continue;
    queue_.After(microseconds(100), [this, i, what, at = ConnectionOf(t, i)] {
      Deliver(i, target_announced{at, what});
    });
  }
  queue_.After(kAnnounceInterval,
               [this, index, boot] { Announce(index, boot); });
}

void world::RunAtTarget(std::size_t index, std::size_t owner,
                        const run_order& order) {
  target& t = targets_[index];
  const std::string where =
      "at " + t.name.value + " from " + instances_[owner].settings.self.value;
  if (order.service != t.service) {
    witness_.Broken(rule::kRightService, queue_.Now(),
                    "work of " + order.service.value + " " + where);
    return;
  }
  if (!t.alive || order.boot != t.boot) return;  // The connection is gone.
  if (t.state == target_state::kLeaving &&
      queue_.Now() > t.state_since + kLeavingBound) {
    witness_.Broken(rule::kLeavingTarget, queue_.Now(), "new work " + where);
  }
  if (Chance(settings_.unplanned ? 0.02 : 0)) {
    witness_.Count("fault: shed");
    queue_.After(microseconds(100), [this, at = ConnectionOf(t, owner), owner,
                                     attempt = order.attempt] {
      run_answer answer;
      answer.attempt = attempt;
      answer.status = run_status::kShed;
      Deliver(owner, target_answered{at, answer});
    });
    return;
  }
  witness_.Ran(queue_.Now(), order);
  t.running.insert(order.attempt);
  if (t.running.size() > kSlots) {
    witness_.Broken(rule::kSlots, queue_.Now(), "too much work " + where);
  }
  if (t.state == target_state::kCold && t.running.size() > 1) {
    witness_.Broken(rule::kColdTarget, queue_.Now(), "too much work " + where);
  }
  if (settings_.mutant == mutation::kSlotLate && Chance(0.1)) {
    run_answer early;
    early.attempt = order.attempt;
    early.body = BodyFor(order);
    Deliver(owner, target_answered{ConnectionOf(t, owner), early});
  }
  milliseconds time = Between(5, 60);
  if (settings_.unplanned && Chance(0.01)) {
    witness_.Count("fault: late answer");
    time = Between(1000, 6000);
  }
  queue_.After(time, [this, index, owner, order] {
    if (targets_[index].boot == order.boot) AnswerFrom(index, owner, order);
  });
}

void world::AnswerFrom(std::size_t index, std::size_t owner,
                       const run_order& order) {
  target& t = targets_[index];
  if (!t.alive) return;
  t.running.erase(order.attempt);
  const std::string body = BodyFor(order);
  run_answer answer;
  answer.attempt = order.attempt;
  answer.parts = static_cast<std::uint32_t>(1 + Below(3));
  std::uint32_t send = answer.parts;
  if (settings_.unplanned && answer.parts > 1 && Chance(0.02)) {
    witness_.Count("fault: truncated answer");
    --send;
  }
  const int copies = settings_.unplanned && Chance(0.03) ? 2 : 1;
  if (copies > 1) witness_.Count("fault: duplicate answer");
  const std::size_t size = (body.size() / answer.parts) + 1;
  for (int copy = 0; copy < copies; ++copy) {
    for (answer.part = 0; answer.part < send; ++answer.part) {
      answer.body = body.substr(
          std::min(body.size(), std::size_t{answer.part} * size), size);
      queue_.After(microseconds(100 + copy * 100'000),
                   [this, owner, answer, at = ConnectionOf(t, owner)] {
                     Deliver(owner, target_answered{at, answer});
                   });
    }
  }
}

void world::DrainTarget(std::size_t index) {
  target& t = targets_[index];
  if (!t.alive || t.state != target_state::kReady) return;
  witness_.Count("planned: target drains");
  SetState(index, target_state::kDraining);
  queue_.After(Between(3000, 8000),
               [this, index, boot = t.boot] { LeaveTarget(index, boot); });
}

void world::LeaveTarget(std::size_t index, boot_id boot) {
  target& t = targets_[index];
  if (t.boot != boot || !t.alive) return;
  bool wait = false;
  if (!settings_.unplanned) {
    // Without faults the drain is patient: it waits for the open flows.
    for (const flow& f : flows_) wait |= f.token && f.token->boot == boot;
  }
  if (t.state == target_state::kDraining && !wait) {
    SetState(index, target_state::kLeaving);
    wait = true;
  }
  if (wait || !t.running.empty()) {
    queue_.After(Between(2000, 3000),
                 [this, index, boot] { LeaveTarget(index, boot); });
    return;
  }
  t.alive = false;
  queue_.After(seconds(2), [this, index, boot] {
    if (targets_[index].boot == boot) StartTarget(index, true);
  });
}

}  // namespace lavendertack::testing
