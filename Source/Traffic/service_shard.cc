#include "Traffic/service_shard.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace lavendertack {
namespace {

// When a caller may come back whose refusal has no queue behind it.
constexpr milliseconds kComeBack{250};
// Pause between two looks for silent targets.
constexpr milliseconds kSilenceCheck{250};
// Ticks come every 10 ms; after such a pause the process was suspended.
constexpr milliseconds kSuspendedAfter{500};
// Targets announce themselves several times a second: those that join later
// than this after the owner's start weren't there before it.
constexpr milliseconds kTakeOverTime{1500};
// Longest time that requests of an earlier owner count.
constexpr milliseconds kInheritedFor{5000};

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

milliseconds ToMilliseconds(microseconds time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

bool WasNotRun(run_status status) {
  return status == run_status::kShed || status == run_status::kAbandoned;
}

}  // namespace

service_shard::service_shard(shard_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
  attempt_numbers_ = random_();
}

std::vector<shard_effect> service_shard::Reduce(instant now,
                                                const shard_view& view,
                                                const shard_event& event) {
  now_ = now;
  view_ = &view;
  if (!started_) started_ = now;
  NoteSuspension();
  effects_.clear();
  if (const auto* packet = std::get_if<shard_packet>(&event)) {
    HandlePacket(*packet);
  } else if (const auto* announced = std::get_if<shard_announced>(&event)) {
    HandleAnnounced(*announced);
  } else if (const auto* answered = std::get_if<shard_answered>(&event)) {
    HandleAnswered(*answered);
  } else if (const auto* lost = std::get_if<shard_disconnected>(&event)) {
    HandleDisconnected(lost->connection);
  } else if (std::holds_alternative<shard_stop_admitting>(event)) {
    admitting_ = false;
    for (auto& [name, target] : targets_.all()) {
      RefuseQueue(&target, refusal_reason::kDraining);
    }
  } else {
    HandleTick();
  }
  EraseClosedFlows();
  view_ = nullptr;
  return std::move(effects_);
}

shard_load service_shard::Load() const {
  shard_load load;
  double bearable = 0;
  for (const auto& [name, target] : targets_.all()) {
    load.busy_slots += target.busy;
    if (target.lost || target.state != target_state::kReady) continue;
    bearable += target.ramp.limit();
    load.free_connections +=
        target.connections - std::min(target.connections, target.flows);
  }
  load.ready_slots = static_cast<std::uint32_t>(std::ceil(bearable));
  return load;
}

void service_shard::CheckConsistency() const {
  std::size_t busy = 0;
  std::size_t pinned = 0;
  for (const auto& [name, target] : targets_.all()) {
    busy += target.busy;
    pinned += target.flows;
    CHECK_LE(target.queue.size(), kMaxQueue) << "a queue is too long";
  }
  CHECK_EQ(busy, attempts_.size()) << "a busy slot has no sending";
  CHECK_LE(running_, busy) << "a request runs in no slot";
  CHECK_LE(pinned, flows_.size()) << "a connection has no flow";
}

// ---- Callers.

std::vector<flow_summary> service_shard::Flows(std::size_t limit) const {
  std::vector<flow_summary> flows;
  for (const auto& [id, flow] : flows_.all()) {
    if (flows.size() >= limit) break;
    const target_record* target = targets_.Find(flow.target);
    flows.push_back(
        {id, target == nullptr ? target_name{} : target->name, flow.live});
  }
  return flows;
}

void service_shard::HandlePacket(const shard_packet& event) {
  if (std::holds_alternative<open_flow>(event.packet.body)) {
    HandleOpen(event);
    return;
  }
  flow_record* flow = FindOrRebuildFlow(event);
  if (flow == nullptr) {
    RefuseUnknownFlow(event);
    return;
  }
  flows_.Touch(flow, now_);
  if (event.packet.token->epoch != settings_.epoch) {
    flow->suspect = std::max(flow->suspect, NumberIn(event.packet));
  }
  if (RequestIn(event.packet) != nullptr) {
    HandleRequest(event, flow);
  } else if (std::holds_alternative<cancel_request>(event.packet.body)) {
    HandleCancel(event, flow);
  } else if (std::holds_alternative<close_flow>(event.packet.body)) {
    HandleClose(flow);
  } else {
    Answer(event.caller, {.flow = flow->id,
                          .kind = answer_kind::kAlive,
                          .token = TokenOf(*flow, event.packet.token)});
  }
}

void service_shard::HandleOpen(const shard_packet& event) {
  const flow_id id = event.packet.flow;
  flow_record* flow = flows_.Find(id);
  if (view_->out || !admitting_) {
    RefusePacket(event, answer_kind::kNotRun,
                 view_->out ? refusal_reason::kDataCentreOut
                            : refusal_reason::kDraining);
    return;
  }
  if ((flow == nullptr && flows_.full()) ||
      (flow != nullptr && flow->closing)) {
    RefusePacket(event, answer_kind::kNotRun, refusal_reason::kOverloaded);
    return;
  }
  if (flow == nullptr) {
    target_record* target = targets_.Choose();
    if (target == nullptr) {
      RefusePacket(event, answer_kind::kNotRun, refusal_reason::kNoTarget);
      return;
    }
    flow = flows_.Open(id, random_(), now_);
    PinFlow(flow, target);
    ++counters_.opened;
    Note("flow " + std::to_string(id.value) + " placed at target " +
             target->name.value + ", " + std::to_string(target->flows) +
             " open",
         id);
  }
  flows_.Touch(flow, now_);
  // The answer to its first open was lost: to its caller the flow is new.
  target_record* pinned = targets_.Find(flow->target);
  if (pinned != nullptr && pinned->state == target_state::kDraining &&
      flow->records.empty()) {
    MoveFlow(flow, pinned);
  }
  if (PlaceFlow(flow, std::nullopt) == nullptr) {
    RefusePacket(event, answer_kind::kNotRun, refusal_reason::kNoTarget);
    return;
  }
  Answer(event.caller, {.flow = id,
                        .kind = answer_kind::kOpened,
                        .token = TokenOf(*flow, std::nullopt)});
}

flow_record* service_shard::FindOrRebuildFlow(const shard_packet& event) {
  const auto& token = event.packet.token;
  if (!token) return nullptr;
  if (flow_record* flow = flows_.Find(event.packet.flow)) {
    return flow->nonce == token->nonce ? flow : nullptr;
  }
  // Closed or idle, in this epoch or before.
  if (token->epoch == settings_.epoch) return nullptr;
  if (flows_.EndedLately(event.packet.flow)) return nullptr;
  if (flows_.full() || std::holds_alternative<close_flow>(event.packet.body)) {
    return nullptr;
  }
  flow_record* flow = flows_.Open(event.packet.flow, token->nonce, now_);
  flow->rebuilt = true;
  const target_record* target = PlaceFlow(flow, token);
  Note("flow " + std::to_string(flow->id.value) + " rebuilt at " +
           (target == nullptr ? "no target" : "target " + target->name.value),
       flow->id);
  return flow;
}

void service_shard::RefuseUnknownFlow(const shard_packet& event) {
  const auto* request = RequestIn(event.packet);
  if (request != nullptr && !request->repeatable) {
    RefusePacket(event, answer_kind::kOutcomeUnknown,
                 refusal_reason::kFlowUnknown);
    return;
  }
  RefusePacket(event, answer_kind::kFlowLost, refusal_reason::kTargetLost);
}

// Answers a request whose number is known. False when the number is new.
bool service_shard::AnswerFromRecord(const shard_packet& event,
                                     flow_record* flow, request_number number) {
  if (request_record* record = flows_.FindRecord(flow, number)) {
    ++counters_.resends;
    if (record->live) {
      record->live->caller = event.caller;
      return true;
    }
    Answer(event.caller, AnswerOf({flow, number, record}, event.packet.token));
    return true;
  }
  if (!flow->forgotten.Contains(number)) return false;
  ++counters_.resends;
  RefusePacket(event, answer_kind::kOutcomeUnknown, refusal_reason::kTooOld);
  return true;
}

// What refuses a new request whatever the load is.
std::optional<service_shard::outcome> service_shard::CheckRequest(
    const shard_packet& event, flow_record* flow) const {
  const auto& request = *RequestIn(event.packet);
  // An owner of an earlier epoch, whose records are gone, may have sent it.
  if (!request.repeatable && request.number <= flow->suspect) {
    return outcome{answer_kind::kOutcomeUnknown, refusal_reason::kOwnerChanged,
                   ""};
  }
  const auto not_run = [](refusal_reason reason) {
    return outcome{answer_kind::kNotRun, reason, ""};
  };
  if (view_->out) return not_run(refusal_reason::kDataCentreOut);
  if (!admitting_) return not_run(refusal_reason::kDraining);
  if (!view_->classes.contains(request.service_class)) {
    return not_run(refusal_reason::kUnknownClass);
  }
  if (request.deadline <= event.waited) {
    return not_run(refusal_reason::kDeadlinePassed);
  }
  if (flow->live > kMaxLivePerFlow) {
    return not_run(refusal_reason::kOverloaded);
  }
  return std::nullopt;
}

void service_shard::HandleRequest(const shard_packet& event,
                                  flow_record* flow) {
  const auto& request = *RequestIn(event.packet);
  if (AnswerFromRecord(event, flow, request.number)) return;
  if (flow->closing) {
    RefuseUnknownFlow(event);
    return;
  }
  request_record* record = flows_.AddRecord(flow, request.number);
  const request_ref ref{flow, request.number, record};
  live_request& live = *record->live;
  live.request = request;
  live.caller = event.caller;
  live.deadline = now_ + request.deadline - event.waited;
  live.earlier_unknown = request.number <= flow->suspect;
  deadlines_.Put(live.deadline, ref.key());
  if (auto refusal = CheckRequest(event, flow)) {
    EndRequest(ref, std::move(*refusal));
    return;
  }
  live.price = view_->classes.at(request.service_class);
  target_record* target = PlaceFlow(flow, event.packet.token);
  if (target == nullptr) {
    EndRequest(ref, {answer_kind::kNotRun, refusal_reason::kNoTarget, ""});
    return;
  }
  load_.Offered(now_, request.service_class, live.price, request.deadline);
  Admit(ref, target);
}

void service_shard::HandleCancel(const shard_packet& event, flow_record* flow) {
  const request_number number = NumberIn(event.packet);
  request_record* record = flows_.FindRecord(flow, number);
  if (record == nullptr || !record->live) {
    AnswerFromRecord(event, flow, number);
    return;
  }
  record->live->caller = event.caller;
  target_record* target = targets_.Find(record->live->target);
  CHECK(target != nullptr) << "a live request has no target";
  if (record->live->running) {
    Cancel(*target, record->attempt);
    return;
  }
  CHECK(target->queue.Remove({flow->id, number})) << "a request waits nowhere";
  EndRequest({flow, number, record},
             {answer_kind::kNotRun, refusal_reason::kCancelled, ""});
  ServeQueue(target);
}

void service_shard::HandleClose(flow_record* flow) {
  flow->closing = true;
  closed_.push_back(flow->id);
  std::vector<request_number> live;
  for (const auto& [number, record] : flow->records) {
    if (record.live) live.push_back(number);
  }
  for (request_number number : live) {
    const request_ref ref{flow, number, flows_.FindRecord(flow, number)};
    target_record* target = targets_.Find(ref.record->live->target);
    if (ref.record->live->running) {
      Cancel(*target, ref.record->attempt);
      continue;
    }
    CHECK(target->queue.Remove(ref.key())) << "a request waits nowhere";
    EndRequest(ref, {answer_kind::kNotRun, refusal_reason::kCancelled, ""});
  }
}

// The target of a flow's new work. A flow whose target is gone or leaving
// moves to another one; null when there is none.
target_record* service_shard::PlaceFlow(
    flow_record* flow, const std::optional<flow_token>& token) {
  target_record* target = targets_.Find(flow->target);
  if (target != nullptr && target->usable()) return target;
  if (target == nullptr && token) {
    target_record* named = targets_.FindNamed(token->target);
    const bool known = named != nullptr && named->boot == token->boot;
    if (known && named->usable() && named->flows < named->connections) {
      PinFlow(flow, named);
      return named;
    }
    const bool learning = now_ - *started_ < kLearnTime;
    if (!known && learning && token->epoch != settings_.epoch) return nullptr;
  }
  return MoveFlow(flow, target);
}

// Moves a flow away from `from`, which is null when it is gone. Null when no
// other target takes it.
target_record* service_shard::MoveFlow(flow_record* flow, target_record* from) {
  target_record* next = targets_.Choose(flow->target);
  if (next == nullptr) return nullptr;
  if (from != nullptr) {
    --from->flows;
    targets_.Reindex(from);
  }
  PinFlow(flow, next);
  ++counters_.moved;
  Note("flow " + std::to_string(flow->id.value) + " moved to target " +
           next->name.value,
       flow->id);
  return next;
}

void service_shard::PinFlow(flow_record* flow, target_record* target) {
  CHECK_LT(target->flows, target->connections) << "no free connection";
  ++target->flows;
  flow->target = target->serial;
  targets_.Reindex(target);
}

// ---- Admission.

// Slots of the target that work of this class may use now.
std::uint32_t service_shard::UsableSlots(const target_record& target,
                                         const class_name& service_class,
                                         class_price price) const {
  const std::uint32_t bearable = target.ramp.Concurrency();
  const std::uint32_t slots = bearable - std::min(bearable, target.inherited);
  if (slots < 2) return slots;
  return load_.MustLeaveSlot(now_, service_class, price) ? slots - 1 : slots;
}

// Time until a request starts that has `ahead` others before it.
microseconds service_shard::EstimateWait(const target_record& target,
                                         std::size_t ahead,
                                         double usable) const {
  const bool slot_free = static_cast<double>(target.busy) < std::ceil(usable);
  const double turns = static_cast<double>(ahead) + (slot_free ? 0.0 : 1.0);
  const auto recent = static_cast<double>(target.ramp.RecentTime().count());
  const auto wait =
      microseconds(static_cast<std::int64_t>(turns * recent / usable));
  return std::max(wait, target.ramp.NextStart() - now_);
}

bool service_shard::MeetsDeadline(const live_request& live,
                                  const target_record& target) const {
  // Only answers can show that a slow target has recovered.
  if (target.busy == 0 && target.queue.empty()) {
    return target.ramp.NextStart() < live.deadline;
  }
  const auto usable =
      UsableSlots(target, live.request.service_class, live.price);
  const microseconds wait =
      EstimateWait(target, target.queue.CountAhead(live.price),
                   std::min<double>(usable, target.ramp.limit()));
  return now_ + wait + target.ramp.RecentTime() <= live.deadline;
}

void service_shard::Admit(const request_ref& request, target_record* target) {
  live_request& live = *request.record->live;
  CHECK(!live.running) << "a running request was queued";
  live.target = target->serial;
  const outcome refusal{answer_kind::kNotRun, refusal_reason::kOverloaded, ""};
  if (!MeetsDeadline(live, *target)) {
    EndRequest(request, refusal);
    return;
  }
  if (target->queue.full()) {
    const class_queue::entry last = target->queue.entries().back();
    if (last.price >= live.price) {
      EndRequest(request, refusal);
      return;
    }
    target->queue.Take(target->queue.size() - 1);
    ++counters_.displaced;
    EndRequest(Find(last.key), refusal);
  }
  target->queue.Insert({live.price, request.key(), live.deadline});
  ServeQueue(target);
}

void service_shard::ServeQueue(target_record* target) {
  if (view_->out || !admitting_) {
    RefuseQueue(target, view_->out ? refusal_reason::kDataCentreOut
                                   : refusal_reason::kDraining);
  }
  while (!target->queue.empty()) {
    const class_queue::entry first = target->queue.entries().front();
    const request_ref request = Find(first.key);
    if (first.deadline <= now_) {
      target->queue.Take(0);
      EndRequest(request,
                 {answer_kind::kNotRun, refusal_reason::kDeadlinePassed, ""});
      continue;
    }
    const auto& service_class = request.record->live->request.service_class;
    if (target->busy >= UsableSlots(*target, service_class, first.price)) {
      break;
    }
    if (const instant next = target->ramp.NextStart(); next > now_) {
      if (!target->wakeup || *target->wakeup > next) {
        target->wakeup = next;
        wakeups_.Put(next, target->serial);
      }
      break;
    }
    target->queue.Take(0);
    Run(request, target);
  }
  RefuseHopeless(target);
}

// Refuses at once what waits and can't start before its deadline any more.
void service_shard::RefuseHopeless(target_record* target) {
  const double usable = target->ramp.limit();
  for (std::size_t place = target->queue.size(); place-- > 0;) {
    if (place == 0 && target->busy == 0) break;  // It is the next to start.
    const class_queue::entry waiting = target->queue.entries()[place];
    const microseconds wait = EstimateWait(*target, place, usable);
    if (now_ + wait <= waiting.deadline) continue;
    target->queue.Take(place);
    ++counters_.displaced;
    EndRequest(Find(waiting.key),
               {answer_kind::kNotRun, refusal_reason::kOverloaded, ""});
  }
}

void service_shard::RefuseQueue(target_record* target, refusal_reason reason) {
  while (!target->queue.empty()) {
    const class_queue::entry last =
        target->queue.Take(target->queue.size() - 1);
    EndRequest(Find(last.key), {answer_kind::kNotRun, reason, ""});
  }
}

void service_shard::Run(const request_ref& request, target_record* target) {
  live_request& live = *request.record->live;
  CHECK_LT(target->busy, target->slots) << "no free slot";
  CHECK_LT(target->busy, target->ramp.Concurrency()) << "above the limit";
  CHECK(target->usable()) << "new work for a target that is gone";
  CHECK(!live.may_have_run) << "a request was sent twice";
  CHECK(live.sends == 0 || live.request.repeatable)
      << "a request that may not be repeated was sent again";
  ++target->busy;
  ++running_;
  ++counters_.sent;
  ++live.sends;
  live.running = true;
  live.may_have_run = true;
  live.target = target->serial;
  const attempt_id id{++attempt_numbers_};
  request.record->attempt = id;
  attempts_[id] = {.key = request.key(),
                   .nonce = request.flow->nonce,
                   .target = target->serial,
                   .service_class = live.request.service_class,
                   .started = now_,
                   .parts = {}};
  target->ramp.Started(now_);
  overdue_.Put(now_ + target->ramp.OverdueAfter(), id);
  effects_.emplace_back(
      send_run{target->connection,
               run_order{.attempt = id,
                         .flow = request.flow->id,
                         .request = request.number,
                         .service = settings_.service,
                         .target = target->name,
                         .boot = target->boot,
                         .service_class = live.request.service_class,
                         .repeatable = live.request.repeatable,
                         .remaining = ToMilliseconds(live.deadline - now_),
                         .epoch = settings_.epoch,
                         .body = live.request.body}});
}

// Sends repeatable work to another target that has a slot free right now, so
// that one target's trouble is never queued at the next.
bool service_shard::RetryElsewhere(const request_ref& request,
                                   target_serial except) {
  live_request& live = *request.record->live;
  if (!live.request.repeatable || live.sends >= kMaxSends) return false;
  if (view_->out || !admitting_ || request.flow->closing) return false;
  target_record* target =
      targets_.ChooseFitting([&](const target_record& other) {
        return other.serial != except && other.queue.empty() &&
               other.ramp.NextStart() <= now_ &&
               other.busy <
                   UsableSlots(other, live.request.service_class, live.price) &&
               now_ + other.ramp.RecentTime() <= live.deadline;
      });
  if (target == nullptr) return false;
  if (!load_.TakeRetry(live.request.service_class)) return false;
  ++counters_.retried;
  live.running = false;
  live.earlier_unknown |= live.may_have_run;
  live.may_have_run = false;
  Note("flow " + std::to_string(request.flow->id.value) + " request " +
           std::to_string(request.number.value) + " retried at target " +
           target->name.value,
       request.flow->id, request.number);
  Run(request, target);
  return true;
}

// ---- Targets.

void service_shard::HandleAnnounced(const shard_announced& event) {
  const announcement& what = event.what;
  CHECK(what.service == settings_.service)
      << "an announcement reached the shard of another service";
  target_record* target = targets_.FindNamed(what.target);
  std::vector<boot_id> past_boots;
  if (target != nullptr && target->boot != what.boot) {
    past_boots = target->past_boots;
    // An earlier life's announcement, come late.
    if (std::find(past_boots.begin(), past_boots.end(), what.boot) !=
        past_boots.end()) {
      return;
    }
    past_boots.insert(past_boots.begin(), target->boot);
    if (past_boots.size() > kMaxPastBoots) past_boots.pop_back();
    LoseTarget(target);
    EraseTarget(target);
    target = nullptr;
  }
  const bool joined = target == nullptr;
  if (joined) {
    const auto baseline = targets_.WarmBaseline();
    target = targets_.Add(what.target);
    if (target == nullptr) return;
    target->boot = what.boot;
    target->past_boots = std::move(past_boots);
    target->ramp = target_ramp(baseline);
    Note("target " + what.target.value + " joined, " +
         std::string(ToString(what.state)));
  } else if (target->state != what.state || target->lost) {
    Note("target " + what.target.value + " is now " +
         std::string(ToString(what.state)));
  }
  if (target->lost || what.state == target_state::kCold) {
    target->ramp.ClaimedCold(now_);
  }
  target->lost = false;
  target->unconfirmed = false;
  target->connection = event.connection;
  target->state = what.state;
  target->slots = std::max(what.slots, 1U);
  target->connections = what.connections;
  target->last_heard = now_;
  target->ramp.SetSlots(what.slots);
  CountInherited(target, what.reported_busy, joined);
  targets_.Reindex(target);
  if (what.state == target_state::kLeaving) {
    MoveQueue(target);
  } else {
    ServeQueue(target);
  }
}

// What waits for a leaving target was never sent and waits elsewhere.
void service_shard::MoveQueue(target_record* target) {
  while (!target->queue.empty()) {
    const class_queue::entry first = target->queue.Take(0);
    const request_ref request = Find(first.key);
    if (target_record* next = PlaceFlow(request.flow, std::nullopt)) {
      Admit(request, next);
      continue;
    }
    EndRequest(request, {answer_kind::kNotRun, refusal_reason::kNoTarget, ""});
  }
}

void service_shard::HandleAnswered(const shard_answered& event) {
  auto attempt = attempts_.find(event.answer.attempt);
  if (attempt == attempts_.end()) {
    ++counters_.dropped;  // Late, duplicated or crossed.
    return;
  }
  const target_record* target = targets_.Find(attempt->second.target);
  CHECK(target != nullptr) << "a sending has no target";
  if (target->connection != event.connection) {
    ++counters_.dropped;
    return;
  }
  const parts_verdict verdict = attempt->second.parts.Add(event.answer);
  if (verdict == parts_verdict::kIgnored) ++counters_.dropped;
  if (verdict == parts_verdict::kMore || verdict == parts_verdict::kIgnored) {
    return;
  }
  FinishAttempt(attempt, verdict);
}

void service_shard::FinishAttempt(attempt_iterator attempt,
                                  parts_verdict verdict) {
  const attempt_id id = attempt->first;
  attempt_record done = std::move(attempt->second);
  target_record* target = targets_.Find(done.target);
  const bool was_warm = target->ramp.warm();
  const microseconds took = now_ - done.started;
  if (done.parts.status() == run_status::kShed) {
    target->ramp.Shed(now_);
  } else if (done.parts.status() != run_status::kAbandoned) {
    target->ramp.Answered(now_, took, done.overdue);
    if (!done.given_up) load_.Served(done.service_class, took);
  }
  if (was_warm && !target->ramp.warm()) {
    ++counters_.collapses;
    Note("target " + target->name.value + " turned cold");
  }
  FreeSlot(attempt);
  if (done.given_up) {
    UpdateEnded(done, id, verdict, &done.parts);
  } else {
    FinishRequest(Find(done.key), done.target, verdict, &done.parts);
  }
  targets_.Reindex(target);
  ServeQueue(target);
}

void service_shard::FinishRequest(const request_ref& request,
                                  target_serial target, parts_verdict verdict,
                                  answer_parts* parts) {
  if (verdict != parts_verdict::kWhole) {
    EndRequest(request, {answer_kind::kOutcomeUnknown,
                         verdict == parts_verdict::kTooLarge
                             ? refusal_reason::kTooLarge
                             : refusal_reason::kBadAnswer,
                         ""});
    return;
  }
  if (!WasNotRun(parts->status())) {
    EndRequest(request, {answer_kind::kServed, refusal_reason::kNone,
                         parts->TakeBody()});
    return;
  }
  live_request& live = *request.record->live;
  live.may_have_run = false;
  const bool shed = parts->status() == run_status::kShed;
  if (shed && RetryElsewhere(request, target)) return;
  EndRequest(
      request,
      {answer_kind::kNotRun,
       shed ? refusal_reason::kTargetShed : refusal_reason::kCancelled, ""});
}

// A late answer makes an unknown outcome known. The caller has its answer;
// a resend gets the new one.
void service_shard::UpdateEnded(const attempt_record& attempt, attempt_id id,
                                parts_verdict verdict, answer_parts* parts) {
  ++counters_.late;
  if (verdict != parts_verdict::kWhole) return;
  flow_record* flow = flows_.Find(attempt.key.flow);
  if (flow == nullptr || flow->nonce != attempt.nonce) return;
  request_record* record = flows_.FindRecord(flow, attempt.key.number);
  if (record == nullptr || record->live || record->attempt != id) return;
  if (record->kind != answer_kind::kOutcomeUnknown) return;
  if (WasNotRun(parts->status())) {
    if (record->earlier_unknown) return;
    record->kind = answer_kind::kNotRun;
    record->come_back = kComeBack;
  } else {
    record->kind = answer_kind::kServed;
    record->reason = refusal_reason::kNone;
    record->body = parts->TakeBody();
  }
  flows_.Ended(flow, attempt.key.number, now_);
}

void service_shard::FreeSlot(attempt_iterator attempt) {
  target_record* target = targets_.Find(attempt->second.target);
  CHECK(target != nullptr) << "a sending has no target";
  CHECK_GT(target->busy, 0U) << "a slot was freed twice";
  --target->busy;
  if (!attempt->second.given_up) --running_;
  attempts_.erase(attempt);
}

// The caller gets its answer; the slot stays taken until the target answers.
void service_shard::GiveUp(attempt_iterator attempt) {
  CHECK(!attempt->second.given_up) << "a sending was given up twice";
  attempt->second.given_up = true;
  --running_;
  overdue_.Put(now_ + kSlotHold, attempt->first);
}

void service_shard::HandleDisconnected(const target_connection& connection) {
  for (auto& [name, target] : targets_.all()) {
    if (target.connection != connection || target.lost) continue;
    LoseTarget(&target);
    return;
  }
}

// The target can't be reached. It may still run what it was sent.
void service_shard::LoseTarget(target_record* target) {
  if (target->lost) return;
  Note("target " + target->name.value + " lost");
  target->lost = true;
  targets_.Reindex(target);
  RefuseQueue(target, refusal_reason::kTargetLost);
  std::vector<attempt_id> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.target == target->serial && !attempt.given_up) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (attempt_id id : ids) {
    const auto attempt = attempts_.find(id);
    const request_ref request = Find(attempt->second.key);
    GiveUp(attempt);
    if (RetryElsewhere(request, target->serial)) continue;
    EndRequest(request,
               {answer_kind::kOutcomeUnknown, refusal_reason::kTargetLost, ""});
  }
}

void service_shard::EraseTarget(target_record* target) {
  std::vector<attempt_id> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.target == target->serial) ids.push_back(id);
  }
  for (attempt_id id : ids) FreeSlot(attempts_.find(id));
  targets_.Erase(target);
}

// ---- Time.

void service_shard::HandleTick() {
  FlushWhenOut();
  if (now_ >= next_silence_check_) CheckSilence();
  while (auto key = deadlines_.TakeDue(now_)) HandleDeadline(*key);
  while (auto id = overdue_.TakeDue(now_)) HandleOverdue(*id);
  while (auto serial = wakeups_.TakeDue(now_)) {
    target_record* target = targets_.Find(*serial);
    if (target == nullptr) continue;
    target->wakeup.reset();
    ServeQueue(target);
  }
  flows_.ForgetOld(now_);
  while (flow_record* idle = flows_.FindIdle(now_, view_->flow_idle)) {
    flows_.Touch(idle, now_);
    if (idle->live > 0) continue;
    idle->closing = true;
    closed_.push_back(idle->id);
    EraseClosedFlows();
  }
}

void service_shard::FlushWhenOut() {
  if (view_->out && !was_out_) {
    for (auto& [name, target] : targets_.all()) {
      RefuseQueue(&target, refusal_reason::kDataCentreOut);
    }
  }
  was_out_ = view_->out;
}

void service_shard::HandleDeadline(const request_key& key) {
  const request_ref request = Find(key);
  const live_request& live = *request.record->live;
  target_record* target = targets_.Find(live.target);
  CHECK(target != nullptr) << "a live request has no target";
  if (!live.running) {
    CHECK(target->queue.Remove(key)) << "a request waits nowhere";
    EndRequest(request,
               {answer_kind::kNotRun, refusal_reason::kDeadlinePassed, ""});
    return;
  }
  const auto attempt = attempts_.find(request.record->attempt);
  const outcome unknown{answer_kind::kOutcomeUnknown,
                        refusal_reason::kDeadlinePassed, ""};
  if (attempt->second.parts.begun()) {
    FreeSlot(attempt);
    EndRequest(request, unknown);
    ServeQueue(target);
    return;
  }
  Cancel(*target, attempt->first);
  GiveUp(attempt);
  EndRequest(request, unknown);
}

void service_shard::HandleOverdue(attempt_id id) {
  auto attempt = attempts_.find(id);
  if (attempt == attempts_.end()) return;
  target_record* target = targets_.Find(attempt->second.target);
  if (!attempt->second.overdue) {
    attempt->second.overdue = true;
    const bool was_warm = target->ramp.warm();
    target->ramp.Overdue(now_);
    if (was_warm && !target->ramp.warm()) {
      ++counters_.collapses;
      Note("target " + target->name.value + " turned cold");
    }
  } else {
    ++counters_.slots_held;
    Note("target " + target->name.value + " never answered a request");
    FreeSlot(attempt);
  }
  targets_.Reindex(target);
  ServeQueue(target);
}

// A new owner doesn't know what the one before it left running. Reports may
// mislead, so they hold slots back only for a while and never more than before.
void service_shard::CountInherited(target_record* target,
                                   std::uint32_t reported_busy, bool joined) {
  const auto owned = now_ - *started_;
  if (owned > kInheritedFor) {
    target->inherited = 0;
  } else if (joined && owned <= kTakeOverTime) {
    target->inherited = std::min(reported_busy, target->slots);
  } else {
    target->inherited = std::min(target->inherited, reported_busy);
  }
}

void service_shard::NoteSuspension() {
  const bool was_suspended =
      last_event_ && now_ - *last_event_ > kSuspendedAfter;
  last_event_ = now_;
  if (!was_suspended) return;
  Note("suspended, placements wait for the targets");
  for (auto& [name, target] : targets_.all()) {
    target.unconfirmed = true;
    targets_.Reindex(&target);
  }
}

void service_shard::CheckSilence() {
  next_silence_check_ = now_ + kSilenceCheck;
  std::vector<target_record*> gone;
  for (auto& [name, target] : targets_.all()) {
    const auto silence = now_ - target.last_heard;
    if (silence > kTargetSilence && !target.lost) LoseTarget(&target);
    if (silence > kLostRetention) gone.push_back(&target);
  }
  for (target_record* target : gone) EraseTarget(target);
  CheckConsistency();
}

void service_shard::EraseClosedFlows() {
  for (flow_id id : closed_) {
    flow_record* flow = flows_.Find(id);
    if (flow == nullptr || !flow->closing || flow->live > 0) continue;
    if (target_record* target = targets_.Find(flow->target)) {
      CHECK_GT(target->flows, 0U) << "a connection was freed twice";
      --target->flows;
      targets_.Reindex(target);
    }
    flows_.Erase(flow, now_);
  }
  closed_.clear();
}

// ---- Answers.

service_shard::request_ref service_shard::Find(const request_key& key) {
  flow_record* flow = flows_.Find(key.flow);
  CHECK(flow != nullptr) << "a live request has no flow";
  request_record* record = flows_.FindRecord(flow, key.number);
  CHECK(record != nullptr && record->live) << "a live request has no record";
  return {flow, key.number, record};
}

void service_shard::EndRequest(const request_ref& request, outcome result) {
  request_record* record = request.record;
  CHECK(record->live) << "a request ended twice";
  const live_request& live = *record->live;
  const bool refused = result.kind == answer_kind::kNotRun;
  CHECK(!refused || !live.may_have_run)
      << "not run was said of a request that may have run";
  // It won't be sent now, but it may have run before.
  if (refused && live.earlier_unknown) {
    result.kind = answer_kind::kOutcomeUnknown;
  }
  ++counters_.ended[{result.kind, result.reason}];
  record->kind = result.kind;
  record->reason = result.reason;
  record->body = std::move(result.body);
  record->earlier_unknown = live.earlier_unknown;
  if (refused) {
    load_.Refused(live.request.service_class);
    record->come_back = Spread(ComeBack(live));
    Note("flow " + std::to_string(request.flow->id.value) + " request " +
             std::to_string(request.number.value) + " refused, " +
             std::string(ToString(result.reason)),
         request.flow->id, request.number);
  }
  effects_.emplace_back(
      request_ended{live.request.service_class, result.kind,
                    now_ - (live.deadline - live.request.deadline)});
  deadlines_.Remove(live.deadline, request.key());
  Answer(live.caller, AnswerOf(request, std::nullopt));
  if (request.flow->closing) closed_.push_back(request.flow->id);
  flows_.Ended(request.flow, request.number, now_);
}

caller_answer service_shard::AnswerOf(
    const request_ref& request, const std::optional<flow_token>& seen) const {
  const request_record& record = *request.record;
  return {.flow = request.flow->id,
          .request = request.number,
          .kind = record.kind,
          .reason = record.reason,
          .come_back = record.come_back,
          .token = TokenOf(*request.flow, seen),
          .body = record.body};
}

// A flow without a target goes on with the place in the token that it `seen`.
std::optional<flow_token> service_shard::TokenOf(
    const flow_record& flow, const std::optional<flow_token>& seen) const {
  flow_token token{.data_centre = settings_.data_centre,
                   .epoch = settings_.epoch,
                   .nonce = flow.nonce};
  if (const target_record* target = targets_.Find(flow.target)) {
    token.target = target->name;
    token.boot = target->boot;
    return token;
  }
  if (!seen) return std::nullopt;
  token.target = seen->target;
  token.boot = seen->boot;
  return token;
}

// When the work ahead of a refused request will be done.
milliseconds service_shard::ComeBack(const live_request& live) {
  target_record* target = targets_.Find(live.target);
  if (target == nullptr || !target->usable()) return kComeBack;
  const microseconds drain = EstimateWait(
      *target, target->queue.CountAhead(live.price), target->ramp.limit());
  return load_.ComeBack(live.request.service_class, drain);
}

// Callers that were refused together don't come back together.
milliseconds service_shard::Spread(milliseconds wait) {
  const auto most = static_cast<std::uint64_t>(wait.count() / 2 + 1);
  return wait + milliseconds(static_cast<std::int64_t>(random_() % most));
}

// Refuses a packet that leaves no record.
void service_shard::RefusePacket(const shard_packet& event, answer_kind kind,
                                 refusal_reason reason) {
  Note("flow " + std::to_string(event.packet.flow.value) + " request " +
           std::to_string(NumberIn(event.packet).value) + " refused, " +
           std::string(ToString(kind)) + ", " + std::string(ToString(reason)),
       event.packet.flow, NumberIn(event.packet));
  caller_answer answer{.flow = event.packet.flow,
                       .request = NumberIn(event.packet),
                       .kind = kind,
                       .reason = reason};
  if (kind == answer_kind::kNotRun) answer.come_back = Spread(kComeBack);
  const flow_record* flow = flows_.Find(event.packet.flow);
  const auto& token = event.packet.token;
  if (flow != nullptr && token && token->nonce == flow->nonce) {
    answer.token = TokenOf(*flow, token);
  }
  Answer(event.caller, std::move(answer));
}

void service_shard::Answer(const caller_address& to, caller_answer answer) {
  effects_.emplace_back(send_answer{to, std::move(answer)});
}

// Nothing is sent into a data centre that is taken out, a cancel neither.
void service_shard::Cancel(const target_record& target, attempt_id attempt) {
  if (view_->out || target.lost) return;
  effects_.emplace_back(send_cancel{target.connection, attempt});
}

void service_shard::Note(std::string text, flow_id flow,
                         request_number request) {
  effects_.emplace_back(note_decision{std::move(text), flow, request});
}

}  // namespace lavendertack
