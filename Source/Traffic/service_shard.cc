#include "Traffic/service_shard.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
service_shard::service_shard(shard_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
  last_attempt_number_ = random_();
}

std::vector<shard_effect> service_shard::Reduce(instant now,
                                                const shard_view& view,
                                                const shard_event& event) {
  now_ = now;
  view_ = &view;
  if (!started_) started_ = now;
  DetectSuspension();
  effects_.clear();
  if (const auto* packet = std::get_if<shard_packet_received>(&event)) {
    HandlePacket(*packet);
  } else if (const auto* announced =
                 std::get_if<shard_announcement_received>(&event)) {
    HandleAnnouncement(*announced);
  } else if (const auto* answered =
                 std::get_if<shard_answer_received>(&event)) {
    HandleAnswer(*answered);
  } else if (const auto* lost =
                 std::get_if<shard_target_disconnected>(&event)) {
    HandleDisconnect(lost->connection);
  } else if (const auto* end = std::get_if<shard_end_requests>(&event)) {
    EndAllRequests(end->reason);
  } else if (std::holds_alternative<shard_stop_admitting>(event)) {
    admitting_ = false;
    for (auto& [name, target] : targets_.targets()) {
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
  double total_limit = 0;
  for (const auto& [name, target] : targets_.targets()) {
    load.busy_slots += target.busy;
    if (target.lost || target.state != target_state::kReady) continue;
    total_limit += target.ramp.limit();
    load.free_connections +=
        target.connections - std::min(target.connections, target.flows);
  }
  load.ready_slots = static_cast<std::uint32_t>(std::ceil(total_limit));
  return load;
}

void service_shard::CheckConsistency() const {
  std::size_t busy = 0;
  std::size_t pinned = 0;
  for (const auto& [name, target] : targets_.targets()) {
    busy += target.busy;
    pinned += target.flows;
    CHECK_LE(target.queue.size(), kMaxQueuedRequests)
        << "a queue exceeds its limit";
  }
  CHECK_EQ(busy, attempts_.size()) << "busy slots differ from attempts";
  CHECK_LE(awaited_attempts_, busy) << "an awaited attempt has no slot";
  CHECK_LE(pinned, flows_.size()) << "more flows are pinned than open";
}

std::vector<flow_summary> service_shard::Flows(std::size_t limit) const {
  std::vector<flow_summary> flows;
  for (const auto& [id, flow] : flows_.flows()) {
    if (flows.size() >= limit) break;
    const target_record* target = targets_.Find(flow.target);
    flows.push_back({id, target == nullptr ? target_name{} : target->name,
                     flow.live_requests});
  }
  return flows;
}

void service_shard::HandlePacket(const shard_packet_received& event) {
  if (std::holds_alternative<open_flow>(event.packet.body)) {
    HandleOpen(event);
    return;
  }
  flow_record* flow = FindOrRebuildFlow(event);
  if (flow == nullptr) {
    RefuseUnknownFlow(event);
    return;
  }
  flows_.RecordPacket(flow, now_);
  if (event.packet.token->epoch != settings_.epoch) {
    flow->max_earlier_epoch_number =
        std::max(flow->max_earlier_epoch_number, NumberIn(event.packet));
  }
  if (RequestIn(event.packet) != nullptr) {
    HandleRequest(event, flow);
  } else if (std::holds_alternative<cancel_request>(event.packet.body)) {
    HandleCancel(event, flow);
  } else if (std::holds_alternative<close_flow>(event.packet.body)) {
    HandleClose(flow);
  } else {
    SendAnswer(event.caller, {.flow = flow->id,
                              .kind = answer_kind::kAlive,
                              .token = BuildToken(*flow, event.packet.token)});
  }
}

void service_shard::HandleOpen(const shard_packet_received& event) {
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
    target_record* target = targets_.SelectTarget();
    if (target == nullptr) {
      RefusePacket(event, answer_kind::kNotRun, refusal_reason::kNoTarget);
      return;
    }
    flow = flows_.Open(id, random_(), now_);
    PinFlow(flow, target);
    ++counters_.opened;
    LogDecision("flow " + std::to_string(id.value) + " placed at target " +
                    target->name.value + ", " + std::to_string(target->flows) +
                    " open",
                id);
  }
  flows_.RecordPacket(flow, now_);
  // If the open is a repeated one, the caller hasn't received the first answer,
  // and a flow without requests needn't stay at a draining target.
  target_record* pinned = targets_.Find(flow->target);
  if (pinned != nullptr && pinned->state == target_state::kDraining &&
      flow->records.empty()) {
    MoveFlow(flow, pinned);
  }
  if (PlaceFlow(flow, std::nullopt) == nullptr) {
    RefusePacket(event, answer_kind::kNotRun, refusal_reason::kNoTarget);
    return;
  }
  SendAnswer(event.caller, {.flow = id,
                            .kind = answer_kind::kOpened,
                            .token = BuildToken(*flow, std::nullopt)});
}

flow_record* service_shard::FindOrRebuildFlow(
    const shard_packet_received& event) {
  const auto& token = event.packet.token;
  if (!token) return nullptr;
  if (flow_record* flow = flows_.Find(event.packet.flow)) {
    return flow->nonce == token->nonce ? flow : nullptr;
  }
  // A flow of this epoch that isn't in the table has been erased. A flow of an
  // earlier epoch that was rebuilt and erased isn't rebuilt again within
  // kRecordRetention.
  if (token->epoch == settings_.epoch) return nullptr;
  if (flows_.EndedWithinRetention(event.packet.flow)) return nullptr;
  if (flows_.full() || std::holds_alternative<close_flow>(event.packet.body)) {
    return nullptr;
  }
  flow_record* flow = flows_.Open(event.packet.flow, token->nonce, now_);
  flow->rebuilt = true;
  const target_record* target = PlaceFlow(flow, token);
  LogDecision(
      "flow " + std::to_string(flow->id.value) + " rebuilt at " +
          (target == nullptr ? "no target" : "target " + target->name.value),
      flow->id);
  return flow;
}

void service_shard::RefuseUnknownFlow(const shard_packet_received& event) {
  const auto* request = RequestIn(event.packet);
  if (request != nullptr && !request->repeatable) {
    RefusePacket(event, answer_kind::kOutcomeUnknown,
                 refusal_reason::kFlowUnknown);
    return;
  }
  RefusePacket(event, answer_kind::kFlowLost, refusal_reason::kTargetLost);
}

// Handles a resend of a request that has, or had, a record: answers it, or
// notes the caller's address for the later answer. False when the number is
// new.
bool service_shard::AnswerFromRecord(const shard_packet_received& event,
                                     flow_record* flow, request_number number) {
  if (request_record* record = flows_.FindRecord(flow, number)) {
    ++counters_.resends;
    if (record->live) {
      record->live->caller = event.caller;
      return true;
    }
    SendAnswer(event.caller,
               BuildAnswer({flow, number, record}, event.packet.token));
    return true;
  }
  if (!flow->dropped_numbers.Contains(number)) return false;
  ++counters_.resends;
  RefusePacket(event, answer_kind::kOutcomeUnknown, refusal_reason::kTooOld);
  return true;
}

// Makes the checks of a new request that don't depend on the load of the
// targets. Returns the refusal, if any.
std::optional<service_shard::outcome> service_shard::CheckRequest(
    const shard_packet_received& event, flow_record* flow) const {
  const auto& request = *RequestIn(event.packet);
  // An owner of an earlier epoch may have sent this request to a target or have
  // answered that it never runs. Its records are no longer available.
  if (request.number <= flow->max_earlier_epoch_number) {
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
  if (flow->live_requests > kMaxLivePerFlow) {
    return not_run(refusal_reason::kOverloaded);
  }
  return std::nullopt;
}

void service_shard::HandleRequest(const shard_packet_received& event,
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
  deadlines_.Schedule(live.deadline, ref.key());
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
  load_.RecordOffered(now_, request.service_class, live.price,
                      request.deadline);
  Admit(ref, target);
}

void service_shard::HandleCancel(const shard_packet_received& event,
                                 flow_record* flow) {
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
    SendCancel(*target, record->attempt);
    return;
  }
  CHECK(target->queue.Remove({flow->id, number}))
      << "a waiting request isn't queued";
  EndRequest({flow, number, record},
             {answer_kind::kNotRun, refusal_reason::kCancelled, ""});
  DispatchQueue(target);
}

void service_shard::HandleClose(flow_record* flow) {
  flow->closing = true;
  closing_flows_.push_back(flow->id);
  std::vector<request_number> live;
  for (const auto& [number, record] : flow->records) {
    if (record.live) live.push_back(number);
  }
  for (request_number number : live) {
    const request_ref ref{flow, number, flows_.FindRecord(flow, number)};
    target_record* target = targets_.Find(ref.record->live->target);
    if (ref.record->live->running) {
      SendCancel(*target, ref.record->attempt);
      continue;
    }
    CHECK(target->queue.Remove(ref.key())) << "a waiting request isn't queued";
    EndRequest(ref, {answer_kind::kNotRun, refusal_reason::kCancelled, ""});
  }
}

// Returns the target for new requests of a flow. A flow whose target is gone,
// lost or leaving is moved to another one. Null when there is none, or while
// the target of a rebuilt flow may still announce itself.
target_record* service_shard::PlaceFlow(
    flow_record* flow, const std::optional<flow_token>& token) {
  target_record* target = targets_.Find(flow->target);
  if (target != nullptr && target->usable()) return target;
  if (target == nullptr && token) {
    target_record* token_target = targets_.FindByName(token->target);
    const bool has_joined =
        token_target != nullptr && token_target->boot == token->boot;
    if (has_joined && token_target->usable() &&
        token_target->flows < token_target->connections) {
      PinFlow(flow, token_target);
      return token_target;
    }
    const bool discovering = now_ - *started_ < kTargetDiscoveryTime;
    if (!has_joined && discovering && flow->rebuilt) return nullptr;
  }
  return MoveFlow(flow, target);
}

// Moves a flow from `from`, which is null if the target no longer exists, to
// another target. Null when no other target accepts it.
target_record* service_shard::MoveFlow(flow_record* flow, target_record* from) {
  target_record* next = targets_.SelectTarget(flow->target);
  if (next == nullptr) return nullptr;
  if (from != nullptr) {
    --from->flows;
    targets_.Reindex(from);
  }
  PinFlow(flow, next);
  ++counters_.moved;
  LogDecision("flow " + std::to_string(flow->id.value) + " moved to target " +
                  next->name.value,
              flow->id);
  return next;
}

void service_shard::PinFlow(flow_record* flow, target_record* target) {
  CHECK_LT(target->flows, target->connections)
      << "no free connection at the target";
  ++target->flows;
  flow->target = target->serial;
  targets_.Reindex(target);
}

void service_shard::HandleTick() {
  RefuseQueuesWhenOut();
  if (now_ >= next_timeout_check_) CheckTargetTimeouts();
  while (auto key = deadlines_.PopDue(now_)) HandleDeadline(*key);
  while (auto id = attempt_timers_.PopDue(now_)) HandleAttemptTimer(*id);
  while (auto serial = wakeups_.PopDue(now_)) {
    target_record* target = targets_.Find(*serial);
    if (target == nullptr) continue;
    target->wakeup.reset();
    DispatchQueue(target);
  }
  flows_.DropExpired(now_);
  while (flow_record* idle = flows_.FindIdle(now_, view_->flow_idle)) {
    // Restarts the idle time, because a flow with live requests stays open.
    flows_.RecordPacket(idle, now_);
    if (idle->live_requests > 0) continue;
    idle->closing = true;
    closing_flows_.push_back(idle->id);
    EraseClosedFlows();
  }
}

void service_shard::RefuseQueuesWhenOut() {
  if (view_->out && !was_out_) {
    for (auto& [name, target] : targets_.targets()) {
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
    CHECK(target->queue.Remove(key)) << "a waiting request isn't queued";
    EndRequest(request,
               {answer_kind::kNotRun, refusal_reason::kDeadlinePassed, ""});
    return;
  }
  const auto attempt = attempts_.find(request.record->attempt);
  const outcome unknown{answer_kind::kOutcomeUnknown,
                        refusal_reason::kDeadlinePassed, ""};
  if (attempt->second.parts.has_parts()) {
    // The target no longer runs the request, so its slot is free.
    FreeSlot(attempt);
    EndRequest(request, unknown);
    DispatchQueue(target);
    return;
  }
  SendCancel(*target, attempt->first);
  DetachAttempt(attempt);
  EndRequest(request, unknown);
}

// Handles the first timer of an attempt, after which it counts as overdue, and
// the second one, which DetachAttempt sets to free the slot.
void service_shard::HandleAttemptTimer(attempt_id id) {
  auto attempt = attempts_.find(id);
  if (attempt == attempts_.end()) return;
  target_record* target = targets_.Find(attempt->second.target);
  if (!attempt->second.overdue) {
    attempt->second.overdue = true;
    const bool was_warm = target->ramp.warm();
    target->ramp.RecordOverdue(now_);
    if (was_warm && !target->ramp.warm()) {
      ++counters_.cold_detections;
      LogDecision("target " + target->name.value + " became cold");
    }
  } else {
    ++counters_.slots_timed_out;
    LogDecision("target " + target->name.value +
                " never answered a request, slot freed");
    FreeSlot(attempt);
  }
  targets_.Reindex(target);
  DispatchQueue(target);
}

void service_shard::EraseClosedFlows() {
  for (flow_id id : closing_flows_) {
    flow_record* flow = flows_.Find(id);
    if (flow == nullptr || !flow->closing || flow->live_requests > 0) continue;
    if (target_record* target = targets_.Find(flow->target)) {
      CHECK_GT(target->flows, 0U) << "a connection was freed twice";
      --target->flows;
      targets_.Reindex(target);
    }
    flows_.Erase(flow, now_);
  }
  closing_flows_.clear();
}

}  // namespace lavendertack
