// service_shard: admission, queueing, dispatch and retry of requests.
#include <glog/logging.h>

#include <algorithm>
#include <cmath>

#include "Traffic/service_shard.h"

namespace lavendertack {

namespace {

milliseconds ToMilliseconds(microseconds time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

// Number of slots of the target, busy ones included, that requests of this
// class may use now.
std::uint32_t service_shard::UsableSlots(const target_record& target,
                                         const class_name& service_class,
                                         class_price price) const {
  const std::uint32_t concurrency = target.ramp.Concurrency();
  const std::uint32_t slots =
      concurrency - std::min(concurrency, target.earlier_owner_busy);
  if (slots < 2) return slots;
  return load_.MustReserveSlot(now_, service_class, price) ? slots - 1 : slots;
}

// Estimates the time until a request starts that is queued behind `ahead`
// others.
microseconds service_shard::EstimateWait(const target_record& target,
                                         std::size_t ahead,
                                         double usable_slots) const {
  const bool slot_free =
      static_cast<double>(target.busy) < std::ceil(usable_slots);
  const double starts_before =
      static_cast<double>(ahead) + (slot_free ? 0.0 : 1.0);
  const auto recent = static_cast<double>(target.ramp.RecentTime().count());
  const auto wait = microseconds(
      static_cast<std::int64_t>(starts_before * recent / usable_slots));
  return std::max(wait, target.ramp.NextStart() - now_);
}

bool service_shard::CanMeetDeadline(const live_request& live,
                                    const target_record& target) const {
  // An idle target is sent a request whatever its recent latency is, because
  // only an answer can show that it has recovered.
  if (target.busy == 0 && target.queue.empty()) {
    return target.ramp.NextStart() < live.deadline;
  }
  const auto usable_slots =
      UsableSlots(target, live.request.service_class, live.price);
  const microseconds wait =
      EstimateWait(target, target.queue.CountAhead(live.price),
                   std::min<double>(usable_slots, target.ramp.limit()));
  return now_ + wait + target.ramp.RecentTime() <= live.deadline;
}

void service_shard::Admit(const request_ref& request, target_record* target) {
  live_request& live = *request.record->live;
  CHECK(!live.running) << "a running request was queued";
  live.target = target->serial;
  const outcome refusal{answer_kind::kNotRun, refusal_reason::kOverloaded, ""};
  if (!CanMeetDeadline(live, *target)) {
    EndRequest(request, refusal);
    return;
  }
  if (target->queue.full()) {
    const request_priority_queue::entry last = target->queue.entries().back();
    if (last.price >= live.price) {
      EndRequest(request, refusal);
      return;
    }
    target->queue.RemoveAt(target->queue.size() - 1);
    ++counters_.displaced;
    EndRequest(Find(last.key), refusal);
  }
  target->queue.Insert({live.price, request.key(), live.deadline});
  DispatchQueue(target);
}

void service_shard::DispatchQueue(target_record* target) {
  if (view_->out || !admitting_) {
    RefuseQueue(target, view_->out ? refusal_reason::kDataCentreOut
                                   : refusal_reason::kDraining);
  }
  while (!target->queue.empty()) {
    const request_priority_queue::entry first = target->queue.entries().front();
    const request_ref request = Find(first.key);
    if (first.deadline <= now_) {
      target->queue.RemoveAt(0);
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
        wakeups_.Schedule(next, target->serial);
      }
      break;
    }
    target->queue.RemoveAt(0);
    SendRequest(request, target);
  }
  RefuseUnmeetable(target);
}

// Refuses queued requests that aren't expected to start before their deadlines.
void service_shard::RefuseUnmeetable(target_record* target) {
  const double usable_slots = target->ramp.limit();
  for (std::size_t position = target->queue.size(); position-- > 0;) {
    if (position == 0 && target->busy == 0) break;  // Starts at NextStart().
    const request_priority_queue::entry waiting =
        target->queue.entries()[position];
    const microseconds wait = EstimateWait(*target, position, usable_slots);
    if (now_ + wait <= waiting.deadline) continue;
    target->queue.RemoveAt(position);
    ++counters_.displaced;
    EndRequest(Find(waiting.key),
               {answer_kind::kNotRun, refusal_reason::kOverloaded, ""});
  }
}

void service_shard::RefuseQueue(target_record* target, refusal_reason reason) {
  while (!target->queue.empty()) {
    const request_priority_queue::entry last =
        target->queue.RemoveAt(target->queue.size() - 1);
    EndRequest(Find(last.key), {answer_kind::kNotRun, reason, ""});
  }
}

void service_shard::SendRequest(const request_ref& request,
                                target_record* target) {
  live_request& live = *request.record->live;
  CHECK_LT(target->busy, target->slots) << "the target has no free slot";
  CHECK_LT(target->busy, target->ramp.Concurrency())
      << "the target is at its concurrency limit";
  CHECK(target->usable()) << "a request was sent to an unusable target";
  CHECK(!live.may_have_run)
      << "a request was sent again while it may be running";
  CHECK(live.attempts == 0 || live.request.repeatable)
      << "a non-repeatable request was sent again";
  ++target->busy;
  ++awaited_attempts_;
  ++counters_.sent;
  ++live.attempts;
  live.running = true;
  live.may_have_run = true;
  live.target = target->serial;
  const attempt_id id{++last_attempt_number_};
  request.record->attempt = id;
  attempts_[id] = {.key = request.key(),
                   .nonce = request.flow->nonce,
                   .target = target->serial,
                   .service_class = live.request.service_class,
                   .started = now_,
                   .parts = {}};
  target->ramp.RecordStart(now_);
  attempt_timers_.Schedule(now_ + target->ramp.OverdueAfter(), id);
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

// Sends a repeatable request to another target that has a free slot now.
// Retries are never queued, so that the load of a failing target doesn't pile
// up at the others.
bool service_shard::RetryOnOtherTarget(const request_ref& request,
                                       target_serial except) {
  live_request& live = *request.record->live;
  if (!live.request.repeatable || live.attempts >= kMaxAttempts) return false;
  if (view_->out || !admitting_ || request.flow->closing) return false;
  target_record* target =
      targets_.SelectTargetIf([&](const target_record& other) {
        return other.serial != except && other.queue.empty() &&
               other.ramp.NextStart() <= now_ &&
               other.busy <
                   UsableSlots(other, live.request.service_class, live.price) &&
               now_ + other.ramp.RecentTime() <= live.deadline;
      });
  if (target == nullptr) return false;
  if (!load_.ConsumeRetryToken(live.request.service_class)) return false;
  ++counters_.retried;
  live.running = false;
  live.earlier_may_have_run |= live.may_have_run;
  live.may_have_run = false;
  LogDecision("flow " + std::to_string(request.flow->id.value) + " request " +
                  std::to_string(request.number.value) + " retried at target " +
                  target->name.value,
              request.flow->id, request.number);
  SendRequest(request, target);
  return true;
}

}  // namespace lavendertack
