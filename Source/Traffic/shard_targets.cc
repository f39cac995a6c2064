// service_shard: state, answers and loss of targets.
#include <glog/logging.h>

#include <algorithm>

#include "Traffic/service_shard.h"

namespace lavendertack {

namespace {

// Interval between checks for targets without announcements.
constexpr milliseconds kTimeoutCheckInterval{250};
// Ticks arrive every 10 ms. A longer gap between events than this means that
// the process was suspended.
constexpr milliseconds kSuspensionThreshold{500};
// Targets announce themselves several times a second, so a target whose first
// announcement arrives later than this after the shard's start is new and has
// no requests of an earlier owner.
constexpr milliseconds kTakeoverWindow{1500};
// Requests of an earlier owner reserve slots for at most this long after the
// shard's start.
constexpr milliseconds kEarlierOwnerWindow{5000};

bool WasNotRun(run_status status) {
  return status == run_status::kShed || status == run_status::kAbandoned;
}

}  // namespace

void service_shard::HandleAnnouncement(
    const shard_announcement_received& event) {
  const announcement& message = event.message;
  CHECK(message.service == settings_.service)
      << "an announcement was passed to the shard of another service";
  target_record* target = targets_.FindByName(message.target);
  std::vector<boot_id> past_boots;
  if (target != nullptr && target->boot != message.boot) {
    past_boots = target->past_boots;
    // Ignores a delayed announcement of an earlier incarnation.
    if (std::find(past_boots.begin(), past_boots.end(), message.boot) !=
        past_boots.end()) {
      return;
    }
    past_boots.insert(past_boots.begin(), target->boot);
    if (past_boots.size() > kMaxPastBoots) past_boots.pop_back();
    MarkTargetLost(target);
    EraseTarget(target);
    target = nullptr;
  }
  const bool joined = target == nullptr;
  if (joined) {
    const auto baseline = targets_.WarmBaseline();
    target = targets_.Add(message.target);
    if (target == nullptr) return;
    target->boot = message.boot;
    target->past_boots = std::move(past_boots);
    target->ramp = target_ramp(baseline);
    LogDecision("target " + message.target.value + " joined, " +
                std::string(ToString(message.state)));
  } else if (target->state != message.state || target->lost) {
    LogDecision("target " + message.target.value + " is now " +
                std::string(ToString(message.state)));
  }
  if (target->lost || message.state == target_state::kCold) {
    target->ramp.RecordColdReport(now_);
  }
  target->lost = false;
  target->unconfirmed = false;
  target->connection = event.connection;
  target->state = message.state;
  target->slots = std::max(message.slots, 1U);
  target->connections = message.connections;
  target->last_announced = now_;
  target->ramp.SetSlots(message.slots);
  UpdateEarlierOwnerBusy(target, message.reported_busy, joined);
  targets_.Reindex(target);
  if (message.state == target_state::kLeaving) {
    MoveQueue(target);
  } else {
    DispatchQueue(target);
  }
}

// Moves the queue of a leaving target to others: its requests were never sent.
void service_shard::MoveQueue(target_record* target) {
  while (!target->queue.empty()) {
    const request_priority_queue::entry first = target->queue.RemoveAt(0);
    const request_ref request = Find(first.key);
    if (target_record* next = PlaceFlow(request.flow, std::nullopt)) {
      Admit(request, next);
      continue;
    }
    EndRequest(request, {answer_kind::kNotRun, refusal_reason::kNoTarget, ""});
  }
}

void service_shard::HandleAnswer(const shard_answer_received& event) {
  auto attempt = attempts_.find(event.answer.attempt);
  if (attempt == attempts_.end()) {
    ++counters_.dropped;  // The attempt has ended.
    return;
  }
  const target_record* target = targets_.Find(attempt->second.target);
  CHECK(target != nullptr) << "an attempt has no target";
  if (target->connection != event.connection) {
    ++counters_.dropped;
    return;
  }
  const assembly_result result = attempt->second.parts.Add(event.answer);
  if (result == assembly_result::kIgnored) ++counters_.dropped;
  if (result == assembly_result::kIncomplete ||
      result == assembly_result::kIgnored) {
    return;
  }
  FinishAttempt(attempt, result);
}

void service_shard::FinishAttempt(attempt_iterator attempt,
                                  assembly_result result) {
  const attempt_id id = attempt->first;
  attempt_record done = std::move(attempt->second);
  target_record* target = targets_.Find(done.target);
  const bool was_warm = target->ramp.warm();
  const microseconds took = now_ - done.started;
  if (done.parts.status() == run_status::kShed) {
    target->ramp.RecordShed(now_);
  } else if (done.parts.status() != run_status::kAbandoned) {
    target->ramp.RecordAnswer(now_, took, done.overdue);
    if (!done.detached) load_.RecordServed(done.service_class, took);
  }
  if (was_warm && !target->ramp.warm()) {
    ++counters_.cold_detections;
    LogDecision("target " + target->name.value + " became cold");
  }
  FreeSlot(attempt);
  if (done.detached) {
    UpdateEndedRequest(done, id, result, &done.parts);
  } else {
    FinishRequest(Find(done.key), done.target, result, &done.parts);
  }
  targets_.Reindex(target);
  DispatchQueue(target);
}

void service_shard::FinishRequest(const request_ref& request,
                                  target_serial target, assembly_result result,
                                  answer_assembler* parts) {
  if (result != assembly_result::kComplete) {
    EndRequest(request, {answer_kind::kOutcomeUnknown,
                         result == assembly_result::kTooLarge
                             ? refusal_reason::kTooLarge
                             : refusal_reason::kBadAnswer,
                         ""});
    return;
  }
  if (!WasNotRun(parts->status())) {
    EndRequest(request, {answer_kind::kServed, refusal_reason::kNone,
                         parts->JoinBody()});
    return;
  }
  live_request& live = *request.record->live;
  live.may_have_run = false;
  const bool shed = parts->status() == run_status::kShed;
  if (shed && RetryOnOtherTarget(request, target)) return;
  EndRequest(
      request,
      {answer_kind::kNotRun,
       shed ? refusal_reason::kTargetShed : refusal_reason::kCancelled, ""});
}

// Replaces an unknown outcome with a late answer. The caller gets it only when
// it resends the request.
void service_shard::UpdateEndedRequest(const attempt_record& attempt,
                                       attempt_id id, assembly_result result,
                                       answer_assembler* parts) {
  ++counters_.late_answers;
  if (result != assembly_result::kComplete) return;
  flow_record* flow = flows_.Find(attempt.key.flow);
  if (flow == nullptr || flow->nonce != attempt.nonce) return;
  request_record* record = flows_.FindRecord(flow, attempt.key.number);
  if (record == nullptr || record->live || record->attempt != id) return;
  if (record->kind != answer_kind::kOutcomeUnknown) return;
  if (WasNotRun(parts->status())) {
    if (record->earlier_may_have_run) return;
    record->kind = answer_kind::kNotRun;
    record->retry_after = kDefaultRetryAfter;
  } else {
    record->kind = answer_kind::kServed;
    record->reason = refusal_reason::kNone;
    record->body = parts->JoinBody();
  }
  flows_.RecordEnd(flow, attempt.key.number, now_);
}

void service_shard::FreeSlot(attempt_iterator attempt) {
  target_record* target = targets_.Find(attempt->second.target);
  CHECK(target != nullptr) << "an attempt has no target";
  CHECK_GT(target->busy, 0U) << "a slot was freed twice";
  --target->busy;
  if (!attempt->second.detached) --awaited_attempts_;
  attempts_.erase(attempt);
}

// Stops waiting for an attempt. Its slot stays taken until the target answers
// or kSlotTimeout has passed.
void service_shard::DetachAttempt(attempt_iterator attempt) {
  CHECK(!attempt->second.detached) << "an attempt was detached twice";
  attempt->second.detached = true;
  --awaited_attempts_;
  attempt_timers_.Schedule(now_ + kSlotTimeout, attempt->first);
}

void service_shard::HandleDisconnect(const target_connection& connection) {
  for (auto& [name, target] : targets_.targets()) {
    if (target.connection != connection || target.lost) continue;
    MarkTargetLost(&target);
    return;
  }
}

// Marks a target as unreachable: refuses its queued requests, and retries or
// ends those sent to it. The target may still run the latter.
void service_shard::MarkTargetLost(target_record* target) {
  if (target->lost) return;
  LogDecision("target " + target->name.value + " lost");
  target->lost = true;
  targets_.Reindex(target);
  RefuseQueue(target, refusal_reason::kTargetLost);
  std::vector<attempt_id> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.target == target->serial && !attempt.detached) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (attempt_id id : ids) {
    const auto attempt = attempts_.find(id);
    const request_ref request = Find(attempt->second.key);
    DetachAttempt(attempt);
    if (RetryOnOtherTarget(request, target->serial)) continue;
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

// A new owner has no record of the requests that the earlier owner left
// running, so it reserves slots for those that the targets report as running.
// Reports may be wrong, so the number of reserved slots never increases and
// becomes 0 after kEarlierOwnerWindow.
void service_shard::UpdateEarlierOwnerBusy(target_record* target,
                                           std::uint32_t reported_busy,
                                           bool joined) {
  const auto owned_for = now_ - *started_;
  if (owned_for > kEarlierOwnerWindow) {
    target->earlier_owner_busy = 0;
  } else if (joined && owned_for <= kTakeoverWindow) {
    target->earlier_owner_busy = std::min(reported_busy, target->slots);
  } else {
    target->earlier_owner_busy =
        std::min(target->earlier_owner_busy, reported_busy);
  }
}

void service_shard::DetectSuspension() {
  const microseconds gap = last_event_ ? now_ - *last_event_ : microseconds(0);
  last_event_ = now_;
  if (gap <= kSuspensionThreshold) return;
  LogDecision("process was suspended, new flows wait for announcements");
  for (auto& [name, target] : targets_.targets()) {
    target.unconfirmed = true;
    // No announcement could arrive in this time, so it doesn't show that the
    // target is lost, and its running requests aren't given up.
    target.last_announced += gap;
    targets_.Reindex(&target);
  }
}

void service_shard::CheckTargetTimeouts() {
  next_timeout_check_ = now_ + kTimeoutCheckInterval;
  std::vector<target_record*> expired;
  for (auto& [name, target] : targets_.targets()) {
    const auto silent_for = now_ - target.last_announced;
    if (silent_for > kTargetTimeout && !target.lost) MarkTargetLost(&target);
    if (silent_for > kLostTargetRetention) expired.push_back(&target);
  }
  for (target_record* target : expired) EraseTarget(target);
  CheckConsistency();
}

}  // namespace lavendertack
