// What a shard believes of its targets, and what becomes of their work.
#include <glog/logging.h>

#include <algorithm>

#include "Traffic/service_shard.h"

namespace lavendertack {

namespace {

// Pause between two looks for silent targets.
constexpr milliseconds kSilenceCheck{250};
// Ticks come every 10 ms; after such a pause the process was suspended.
constexpr milliseconds kSuspendedAfter{500};
// Targets announce themselves several times a second: those that join later
// than this after the owner's start weren't there before it.
constexpr milliseconds kTakeOverTime{1500};
// Longest time that requests of an earlier owner count.
constexpr milliseconds kInheritedFor{5000};
bool WasNotRun(run_status status) {
  return status == run_status::kShed || status == run_status::kAbandoned;
}

}  // namespace

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

}  // namespace lavendertack
