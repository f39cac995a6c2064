#include "UnitTests/Traffic/shard_simulation.h"

#include <glog/logging.h>

namespace lavendertack::testing {
namespace {

constexpr milliseconds kTickInterval{10};
constexpr double kMeanServiceTimeMs = 15;

std::string ExpectedBody(const run_order& order) {
  std::string body = std::to_string(order.flow.value) + ":" +
                     std::to_string(order.request.value) + ":";
  body.resize(30, 'x');
  return body;
}

}  // namespace

shard_simulation::shard_simulation(shard_simulation_settings settings)
    : settings_(settings),
      random_(settings.seed),
      targets_(static_cast<std::size_t>(settings.targets)),
      callers_(static_cast<std::size_t>(settings.flows)) {
  view_.classes = {{{"hold"}, {9}}, {{"browse"}, {1}}};
  view_.flow_idle = seconds(20);
  StartNewOwner();
  for (int i = 0; i < settings_.targets; ++i) {
    targets_[i].name = {"t" + std::to_string(i)};
    targets_[i].boot = ++last_boot_;
    queue_.ScheduleAfter(RandomDuration(milliseconds(0), milliseconds(200)),
                         [this, i] { Announce(i); });
  }
  for (int i = 0; i < settings_.flows; ++i) {
    queue_.ScheduleAfter(RandomDuration(milliseconds(0), milliseconds(500)),
                         [this, i] { StartCaller(i); });
  }
  queue_.ScheduleAfter(kTickInterval, [this] { Tick(); });
}

void shard_simulation::Run() {
  while (events_ < settings_.events) CHECK(queue_.RunNext());
  shard_->CheckConsistency();
}

bool shard_simulation::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

microseconds shard_simulation::RandomDuration(milliseconds low,
                                              milliseconds high) {
  return microseconds(std::uniform_int_distribution<std::int64_t>(
      microseconds(low).count(), microseconds(high).count())(random_));
}

void shard_simulation::Reduce(const shard_event& event) {
  ++events_;
  // Effects are applied after the event, as in the instance loop.
  for (shard_effect& effect : shard_->Reduce(queue_.Now(), view_, event)) {
    if (auto* answer = std::get_if<send_answer>(&effect)) {
      HandleAnswer(answer->answer);
    } else if (auto* run = std::get_if<send_run>(&effect)) {
      HandleRun(*run);
    } else if (auto* cancel = std::get_if<send_cancel>(&effect)) {
      HandleCancel(*cancel);
    }
  }
}

void shard_simulation::Tick() {
  Reduce(shard_tick{});
  const double rate = settings_.fault_rate;
  if (Chance(0.0004 * rate)) ChangeOwner(Chance(0.5));
  if (Chance((view_.out ? 0.01 : 0.0003) * rate)) {
    view_.out = !view_.out;
    Count(view_.out ? "fault: data centre out" : "fault: data centre returned");
  }
  // Every request is answered by its deadline, with a tolerance of two ticks.
  while (auto id = deadlines_.PopDue(queue_.Now() - 2 * kTickInterval)) {
    CHECK(!request_models_.at(*id).deadline)
        << "request " << id->second << " of flow " << id->first
        << " has no answer at its deadline";
  }
  queue_.ScheduleAfter(kTickInterval, [this] { Tick(); });
}

void shard_simulation::ChangeOwner(bool planned) {
  if (!planned) {
    Count("fault: owner failed");
    StartNewOwner();
    return;
  }
  Count("fault: planned hand-over");
  const std::uint64_t epoch = epoch_;
  Reduce(shard_stop_admitting{});
  // Longer than the longest deadline, which is 2000 ms.
  queue_.ScheduleAfter(milliseconds(2500), [this, epoch] {
    if (epoch_ != epoch) return;
    CHECK_EQ(shard_->running_requests(), 0U)
        << "requests run past their deadline";
    StartNewOwner();
  });
}

void shard_simulation::StartNewOwner() {
  if (shard_) shard_->CheckConsistency();
  ++epoch_;
  shard_ = std::make_unique<service_shard>(
      shard_settings{.service = {"catalogue"},
                     .data_centre = {"nairobi"},
                     .epoch = {epoch_},
                     .seed = settings_.seed + epoch_});
  // The new owner doesn't answer requests that only the earlier one received.
  for (instant after_all_deadlines = queue_.Now() + seconds(60);;) {
    const auto id = deadlines_.PopDue(after_all_deadlines);
    if (!id) break;
    request_models_.at(*id).deadline.reset();
  }
  for (fake_target& target : targets_) target.announced_leaving = false;
}

// Callers.

void shard_simulation::StartCaller(int index) {
  fake_caller& caller = callers_[index];
  caller = {.flow = random_(), .token = std::nullopt};
  SendWithLoss({{caller.flow}, {"catalogue"}, std::nullopt, open_flow{}}, 3);
  queue_.ScheduleAfter(milliseconds(400),
                       [this, index] { RunCallerStep(index); });
}

void shard_simulation::RunCallerStep(int index) {
  fake_caller& caller = callers_[index];
  if (!caller.token) {
    StartCaller(index);
    return;
  }
  const auto send_packet = [&](caller_body body) {
    SendWithLoss({{caller.flow}, {"catalogue"}, caller.token, std::move(body)},
                 0);
  };
  if (Chance(0.01)) {
    Count("caller: close");
    send_packet(close_flow{});
    StartCaller(index);
    return;
  }
  if (Chance(0.05)) send_packet(keep_alive{});
  if (Chance(0.03)) {
    Count("caller: out of order");
    SendRequest(index, caller.number + 2);
    SendRequest(index, caller.number + 1);
    caller.number += 2;
  } else {
    SendRequest(index, ++caller.number);
  }
  if (Chance(0.03)) {
    Count("caller: cancel");
    send_packet(cancel_request{{caller.number}});
  }
  queue_.ScheduleAfter(RandomDuration(milliseconds(50), milliseconds(900)),
                       [this, index] { RunCallerStep(index); });
}

void shard_simulation::SendRequest(int index, std::uint64_t number) {
  const fake_caller& caller = callers_[index];
  const bool repeatable = index % 2 == 0;
  run_request request{{number},
                      {repeatable ? "browse" : "hold"},
                      repeatable,
                      std::chrono::duration_cast<milliseconds>(
                          RandomDuration(milliseconds(50), milliseconds(2000))),
                      "x"};
  request_models_[{caller.flow, number}].repeatable = repeatable;
  SendWithLoss({{caller.flow}, {"catalogue"}, caller.token, std::move(request)},
               2);
}

void shard_simulation::SendWithLoss(caller_packet packet, int resends) {
  const int copies = 1 + resends;
  for (int copy = 0; copy < copies; ++copy) {
    if (Chance(0.1)) continue;  // Lost.
    if (copy > 0 && Chance(0.7)) continue;
    const microseconds delay =
        RandomDuration(milliseconds(1), milliseconds(10)) +
        copy * milliseconds(200) +
        (Chance(0.02) ? RandomDuration(milliseconds(0), milliseconds(5000))
                      : microseconds(0));
    queue_.ScheduleAfter(delay, [this, packet] {
      const auto* request = std::get_if<run_request>(&packet.body);
      if (request != nullptr) {
        request_model& model =
            request_models_[{packet.flow.value, request->number.value}];
        if (!model.answer && !model.deadline) {
          model.deadline = queue_.Now() + request->deadline;
          deadlines_.Schedule(*model.deadline,
                              {packet.flow.value, request->number.value});
        }
      }
      Reduce(shard_packet_received{packet, {"10.0.0.1:9"}});
    });
  }
}

void shard_simulation::HandleAnswer(const caller_answer& answer) {
  Count("answer: " + std::string(ToString(answer.kind)) + ", " +
        std::string(ToString(answer.reason)));
  if (answer.request.value != 0) {
    auto it = request_models_.find({answer.flow.value, answer.request.value});
    CHECK(it != request_models_.end())
        << "an answer to a request that was never sent";
    CheckAnswer(answer, &it->second);
  }
  for (fake_caller& caller : callers_) {
    if (caller.flow != answer.flow.value) continue;
    if (answer.token) caller.token = answer.token;
    if (answer.kind == answer_kind::kFlowLost) caller.token.reset();
    return;
  }
}

// Checks an answer against the reference model: every resend must get the same
// answer. It may differ only if an unknown outcome has become known, or if the
// record has expired or was lost with its owner or flow.
void shard_simulation::CheckAnswer(const caller_answer& answer,
                                   request_model* model) {
  if (model->deadline) {
    deadlines_.Remove(*model->deadline,
                      {answer.flow.value, answer.request.value});
    model->deadline.reset();
  }
  if (answer.kind == answer_kind::kFlowLost) return;
  if (answer.kind == answer_kind::kNotRun) {
    CHECK_EQ(model->runs, 0) << "a request that ran was answered with NOT_RUN";
    CHECK(answer.retry_after > milliseconds(0))
        << "a NOT_RUN answer has no retry-after interval";
  }
  if (answer.kind == answer_kind::kServed) {
    CHECK_GT(model->runs, 0)
        << "a request that never ran was answered with SERVED";
    const run_order order{.flow = answer.flow, .request = answer.request};
    CHECK_EQ(answer.body, ExpectedBody(order))
        << "wrong or incomplete answer body";
  }
  if (model->answer && model->answer_epoch == epoch_ &&
      *model->answer != answer.kind) {
    const bool became_known = *model->answer == answer_kind::kOutcomeUnknown;
    const bool record_expired =
        answer.kind == answer_kind::kOutcomeUnknown &&
        (answer.reason == refusal_reason::kTooOld ||
         answer.reason == refusal_reason::kOwnerChanged ||
         answer.reason == refusal_reason::kFlowUnknown);
    CHECK(became_known || record_expired)
        << "a resend got " << ToString(answer.kind) << " after "
        << ToString(*model->answer);
    Count(became_known ? "difference: outcome became known"
                       : "difference: record expired");
  }
  model->answer = answer.kind;
  model->reason = answer.reason;
  model->answer_epoch = epoch_;
  model->answered = queue_.Now();
}

// Targets.

void shard_simulation::Announce(int index) {
  InjectTargetFault(index);
  fake_target& target = targets_[index];
  if (queue_.Now() >= target.frozen_until) {
    const bool misreports_busy = Chance(0.3);
    Reduce(shard_announcement_received{
        {target.name.value + "/" + std::to_string(target.boot)},
        {.target = target.name,
         .service = {"catalogue"},
         .boot = {target.boot},
         .state = target.state,
         .slots = target.slots,
         .connections = 60,
         .reported_busy = misreports_busy ? 99U : 0U}});
    target.announced_leaving = target.state == target_state::kLeaving;
  }
  queue_.ScheduleAfter(milliseconds(200), [this, index] { Announce(index); });
}

void shard_simulation::InjectTargetFault(int index) {
  fake_target& target = targets_[index];
  const double rate = settings_.fault_rate;
  const auto restart = [&] {
    target.boot = ++last_boot_;
    target.running.clear();
    target.cancelled.clear();
    target.state = target_state::kReady;
    target.announced_leaving = false;
    target.cold_until = queue_.Now() + seconds(3);
  };
  if (Chance(0.004 * rate)) {
    Count("fault: target crash");
    if (Chance(0.5)) {
      Count("fault: connection lost");
      Reduce(shard_target_disconnected{
          {target.name.value + "/" + std::to_string(target.boot)}});
    }
    restart();
  } else if (Chance(0.004 * rate)) {
    Count("fault: target became cold");
    target.cold_until = queue_.Now() + RandomDuration(seconds(1), seconds(5));
  } else if (Chance(0.002 * rate)) {
    Count("fault: target frozen");
    target.frozen_until = queue_.Now() + RandomDuration(seconds(1), seconds(6));
  } else if (Chance(0.004 * rate)) {
    Count("fault: target draining");
    target.state = target_state::kDraining;
  } else if (Chance(0.003 * rate)) {
    Count("fault: target leaving");
    target.state = target_state::kLeaving;
  } else if (target.state != target_state::kReady && Chance(0.05)) {
    restart();
  } else if (Chance(0.004 * rate)) {
    Count("fault: slots changed");
    target.slots = 1 + static_cast<std::uint32_t>(random_() % 3);
  }
}

int shard_simulation::TargetIndexOf(const target_connection& connection,
                                    std::uint64_t* boot) const {
  const auto slash = connection.value.find('/');
  *boot = std::stoull(connection.value.substr(slash + 1));
  return std::stoi(connection.value.substr(1, slash - 1));
}

void shard_simulation::HandleRun(const send_run& run) {
  CHECK(!view_.out)
      << "a request was sent while the data centre is out of service";
  CHECK_EQ(run.order.service.value, "catalogue")
      << "a request of another service";
  std::uint64_t boot = 0;
  const int index = TargetIndexOf(run.to, &boot);
  fake_target& target = targets_[index];
  CHECK(target.boot != boot || !target.announced_leaving)
      << "a request was sent to a leaving target";
  const microseconds delay =
      std::max(target.frozen_until - queue_.Now(), microseconds(0)) +
      RandomDuration(milliseconds(0), milliseconds(2));
  target.cancelled[run.order.attempt] = false;
  queue_.ScheduleAfter(delay, [this, index, boot, order = run.order] {
    StartRequest(index, boot, order);
  });
}

void shard_simulation::HandleCancel(const send_cancel& cancel) {
  CHECK(!view_.out)
      << "a cancel was sent while the data centre is out of service";
  std::uint64_t boot = 0;
  fake_target& target = targets_[TargetIndexOf(cancel.to, &boot)];
  auto it = target.cancelled.find(cancel.attempt);
  if (target.boot == boot && it != target.cancelled.end()) it->second = true;
}

void shard_simulation::StartRequest(int index, std::uint64_t boot,
                                    const run_order& order) {
  fake_target& target = targets_[index];
  if (target.boot != boot) return;  // The process was restarted.
  const bool cancelled = target.cancelled[order.attempt];
  target.cancelled.erase(order.attempt);
  const bool cold = queue_.Now() < target.cold_until;
  std::uint32_t& running = target.running[order.epoch.value];
  if (cancelled || Chance(0.002) || (cold && running > 0)) {
    Count(cancelled ? "fault: abandoned" : "fault: shed");
    SendAnswer(index, boot, order,
               cancelled ? run_status::kAbandoned : run_status::kShed);
    return;
  }
  request_model& model =
      request_models_[{order.flow.value, order.request.value}];
  ++model.runs;
  CHECK(model.repeatable || model.runs == 1)
      << "a request that may not be repeated ran twice";
  CHECK(model.answer != answer_kind::kNotRun)
      << "a request ran after a NOT_RUN answer: " << ToString(model.reason)
      << ", runs " << model.runs << ", repeatable " << model.repeatable
      << ", epochs " << model.answer_epoch << " and " << order.epoch;
  ++running;
  // InjectTargetFault sets at most 3 slots.
  CHECK_LE(running, 3U) << "a target runs more requests than its slots";
  std::exponential_distribution<> time(1.0 /
                                       (kMeanServiceTimeMs * (cold ? 8 : 1)));
  const auto service_time =
      microseconds(static_cast<std::int64_t>(1000 * time(random_)));
  queue_.ScheduleAfter(service_time, [this, index, boot, order] {
    if (targets_[index].boot != boot) return;
    --targets_[index].running[order.epoch.value];
    SendAnswer(index, boot, order, run_status::kDone);
  });
}

void shard_simulation::SendAnswer(int index, std::uint64_t boot,
                                  const run_order& order, run_status status) {
  const std::string body =
      status == run_status::kDone ? ExpectedBody(order) : std::string();
  const std::uint32_t parts =
      status == run_status::kDone
          ? 1 + static_cast<std::uint32_t>(random_() % 3)
          : 1;
  const std::size_t size = (body.size() + parts - 1) / parts;
  for (std::uint32_t part = 0; part < parts; ++part) {
    run_answer answer{order.attempt, status, part, parts,
                      body.substr(std::min(body.size(), part * size), size)};
    int copies = 1;
    if (Chance(0.002 * settings_.fault_rate)) {
      Count("fault: part lost");
      copies = 0;
    } else if (Chance(0.02 * settings_.fault_rate)) {
      Count("fault: part duplicated");
      copies = 2;
    }
    if (parts > 1 && part > 0 && Chance(0.01)) {
      Count("fault: inconsistent part");
      answer.parts += 1;
      ++copies;
    }
    for (int copy = 0; copy < copies; ++copy) {
      if (copy > 0) answer.parts = parts;
      const microseconds delay =
          RandomDuration(milliseconds(0), milliseconds(3)) +
          (Chance(0.005) ? RandomDuration(milliseconds(0), milliseconds(4000))
                         : microseconds(0));
      queue_.ScheduleAfter(delay, [this, index, boot, answer] {
        fake_target& target = targets_[index];
        if (target.boot != boot) return;
        Reduce(shard_answer_received{
            {target.name.value + "/" + std::to_string(boot)}, answer});
      });
    }
  }
}

}  // namespace lavendertack::testing
