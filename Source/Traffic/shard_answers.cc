// Final answers to callers.
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
  Answer(live.caller, AnswerOf(request, live.token));
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
