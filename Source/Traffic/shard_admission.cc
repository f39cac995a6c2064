// When work starts, waits or is refused.
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

}  // namespace lavendertack
