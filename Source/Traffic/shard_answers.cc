// service_shard: final answers to callers.
#include <glog/logging.h>

#include <algorithm>

#include "Traffic/service_shard.h"

namespace lavendertack {

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
      << "a request that may have run was answered as not run";
  // The latest attempt didn't run the request, but an earlier one may have.
  if (refused && live.earlier_may_have_run) {
    result.kind = answer_kind::kOutcomeUnknown;
  }
  ++counters_.ended[{result.kind, result.reason}];
  record->kind = result.kind;
  record->reason = result.reason;
  record->body = std::move(result.body);
  record->earlier_may_have_run = live.earlier_may_have_run;
  if (refused) {
    load_.RecordRefused(live.request.service_class);
    record->retry_after = AddJitter(RetryAfter(live));
    LogDecision("flow " + std::to_string(request.flow->id.value) + " request " +
                    std::to_string(request.number.value) + " refused, " +
                    std::string(ToString(result.reason)),
                request.flow->id, request.number);
  }
  effects_.emplace_back(
      request_ended{live.request.service_class, result.kind,
                    now_ - (live.deadline - live.request.deadline)});
  deadlines_.Remove(live.deadline, request.key());
  SendAnswer(live.caller, BuildAnswer(request, live.token));
  if (request.flow->closing) closing_flows_.push_back(request.flow->id);
  flows_.RecordEnd(request.flow, request.number, now_);
}

void service_shard::EndAllRequests(refusal_reason reason) {
  admitting_ = false;
  for (auto& [name, target] : targets_.targets()) RefuseQueue(&target, reason);
  std::vector<attempt_id> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt.detached) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (attempt_id id : ids) {
    const auto attempt = attempts_.find(id);
    const request_ref request = Find(attempt->second.key);
    DetachAttempt(attempt);
    EndRequest(request, {answer_kind::kOutcomeUnknown, reason, ""});
  }
}

caller_answer service_shard::BuildAnswer(
    const request_ref& request,
    const std::optional<flow_token>& caller_token) const {
  const request_record& record = *request.record;
  return {.flow = request.flow->id,
          .request = request.number,
          .kind = record.kind,
          .reason = record.reason,
          .retry_after = record.retry_after,
          .token = BuildToken(*request.flow, caller_token),
          .body = record.body};
}

// Builds the token for an answer. For a flow without a target it repeats the
// target in `caller_token`; unset when there is neither.
std::optional<flow_token> service_shard::BuildToken(
    const flow_record& flow,
    const std::optional<flow_token>& caller_token) const {
  flow_token token{.data_centre = settings_.data_centre,
                   .epoch = settings_.epoch,
                   .nonce = flow.nonce};
  if (const target_record* target = targets_.Find(flow.target)) {
    token.target = target->name;
    token.boot = target->boot;
    return token;
  }
  if (!caller_token) return std::nullopt;
  token.target = caller_token->target;
  token.boot = caller_token->boot;
  return token;
}

// Retry-after interval of a refused request, from the estimated time until the
// requests ahead of it are done.
milliseconds service_shard::RetryAfter(const live_request& live) {
  target_record* target = targets_.Find(live.target);
  if (target == nullptr || !target->usable()) return kDefaultRetryAfter;
  const microseconds drain = EstimateWait(
      *target, target->queue.CountAhead(live.price), target->ramp.limit());
  return load_.RetryAfter(live.request.service_class, drain);
}

// Adds up to half of `wait` at random, so that callers that were refused at the
// same time don't retry at the same time.
milliseconds service_shard::AddJitter(milliseconds wait) {
  const auto bound = static_cast<std::uint64_t>(wait.count() / 2 + 1);
  return wait + milliseconds(static_cast<std::int64_t>(random_() % bound));
}

// Refuses a packet without recording the refusal.
void service_shard::RefusePacket(const shard_packet_received& event,
                                 answer_kind kind, refusal_reason reason) {
  LogDecision("flow " + std::to_string(event.packet.flow.value) + " request " +
                  std::to_string(NumberIn(event.packet).value) + " refused, " +
                  std::string(ToString(kind)) + ", " +
                  std::string(ToString(reason)),
              event.packet.flow, NumberIn(event.packet));
  caller_answer answer{.flow = event.packet.flow,
                       .request = NumberIn(event.packet),
                       .kind = kind,
                       .reason = reason};
  if (kind == answer_kind::kNotRun) {
    answer.retry_after = AddJitter(kDefaultRetryAfter);
  }
  const flow_record* flow = flows_.Find(event.packet.flow);
  const auto& token = event.packet.token;
  if (flow != nullptr && token && token->nonce == flow->nonce) {
    answer.token = BuildToken(*flow, token);
  }
  SendAnswer(event.caller, std::move(answer));
}

void service_shard::SendAnswer(const caller_address& to, caller_answer answer) {
  effects_.emplace_back(send_answer{to, std::move(answer)});
}

// Sends nothing to a lost target, nor to any target of a data centre that is
// out of service.
void service_shard::SendCancel(const target_record& target,
                               attempt_id attempt) {
  if (view_->out || target.lost) return;
  effects_.emplace_back(send_cancel{target.connection, attempt});
}

void service_shard::LogDecision(std::string text, flow_id flow,
                                request_number request) {
  effects_.emplace_back(log_decision{std::move(text), flow, request});
}

}  // namespace lavendertack
