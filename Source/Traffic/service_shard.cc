#include "Traffic/service_shard.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
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
  // An owner of an earlier epoch, whose records are gone, may have sent it, or
  // have said that it never runs.
  if (request.number <= flow->suspect) {
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
  live.token = event.packet.token;
  live.deadline = now_ + request.deadline - event.waited;
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
    if (!known && learning && flow->rebuilt) return nullptr;
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

}  // namespace lavendertack
