#include "Traffic/service_shard.h"

#include <glog/logging.h>

#include <algorithm>
#include <numeric>

namespace lavendertack {
namespace {

// A target that says nothing for so long gets no more packets.
constexpr milliseconds kTargetSilence{3000};
// When a refused caller may come back.
constexpr milliseconds kComeBack{250};
// Longest queue of one target, in requests.
constexpr std::size_t kMaxQueue = 64;
// How long the record of an ended request is kept.
constexpr seconds kRecordRetention{120};

}  // namespace

service_shard::service_shard(shard_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
  attempts_ = random_();
}

std::vector<shard_effect> service_shard::Reduce(instant now,
                                                const shard_view& view,
                                                const shard_event& event) {
  now_ = now;
  view_ = &view;
  effects_.clear();
  if (const auto* packet = std::get_if<shard_packet>(&event)) {
    HandlePacket(*packet);
  } else if (const auto* announced = std::get_if<shard_announced>(&event)) {
    HandleAnnounced(*announced);
  } else if (const auto* answered = std::get_if<shard_answered>(&event)) {
    HandleAnswered(*answered);
  } else if (const auto* lost = std::get_if<shard_disconnected>(&event)) {
    HandleDisconnected(lost->connection);
  } else {
    HandleTick();
  }
  view_ = nullptr;
  return std::move(effects_);
}

shard_load service_shard::Load() const {
  shard_load load;
  for (const auto& [name, target] : targets_) {
    load.busy_slots += target.busy;
    if (target.state != target_state::kReady) continue;
    load.ready_slots += target.slots;
    load.free_connections +=
        target.connections - std::min(target.connections, target.flows);
  }
  return load;
}

void service_shard::HandlePacket(const shard_packet& event) {
  if (std::holds_alternative<open_flow>(event.packet.body)) {
    HandleOpen(event);
    return;
  }
  const auto* request = std::get_if<run_request>(&event.packet.body);
  flow_record* flow = FindOrRebuildFlow(event);
  if (flow == nullptr) {
    if (request != nullptr && !request->repeatable) {
      Refuse(event, request->number, answer_kind::kOutcomeUnknown,
             refusal_reason::kTargetLost);
    } else {
      Refuse(event, request == nullptr ? request_number{} : request->number,
             answer_kind::kFlowLost, refusal_reason::kTargetLost);
    }
    return;
  }
  flow->last_packet = now_;
  flow->caller = event.caller;
  if (request != nullptr) {
    HandleRequest(event, flow);
  } else if (const auto* cancel =
                 std::get_if<cancel_request>(&event.packet.body)) {
    HandleCancel(*cancel, flow);
  } else if (std::holds_alternative<close_flow>(event.packet.body)) {
    CloseFlow(event.packet.flow);
  } else {
    Answer(event.caller, {.flow = event.packet.flow,
                          .kind = answer_kind::kAlive,
                          .token = flow->token});
  }
}

void service_shard::HandleOpen(const shard_packet& event) {
  const flow_id id = event.packet.flow;
  if (view_->out) {
    Refuse(event, {}, answer_kind::kNotRun, refusal_reason::kDataCentreOut);
    return;
  }
  if (auto it = flows_.find(id); it != flows_.end()) {
    Answer(
        event.caller,
        {.flow = id, .kind = answer_kind::kOpened, .token = it->second.token});
    return;
  }
  target_record* target = ChooseTarget();
  if (target == nullptr) {
    Refuse(event, {}, answer_kind::kNotRun, refusal_reason::kNoTarget);
    return;
  }
  const flow_token token{.data_centre = settings_.data_centre,
                         .target = target->name,
                         .boot = target->boot,
                         .epoch = settings_.epoch,
                         .nonce = random_()};
  ++target->flows;
  flows_[id] = {.token = token,
                .caller = event.caller,
                .last_packet = now_,
                .forgotten = {},
                .requests = {}};
  Note("flow " + std::to_string(id.value) + " placed at target " +
       target->name.value + ", " + std::to_string(target->flows) + " open");
  Answer(event.caller,
         {.flow = id, .kind = answer_kind::kOpened, .token = token});
}

service_shard::flow_record* service_shard::FindOrRebuildFlow(
    const shard_packet& event) {
  const flow_id id = event.packet.flow;
  const auto& token = event.packet.token;
  if (!token) return nullptr;
  if (auto it = flows_.find(id); it != flows_.end()) {
    return it->second.token.nonce == token->nonce ? &it->second : nullptr;
  }
  if (token->epoch == settings_.epoch) return nullptr;  // Closed or idle.
  target_record* target = FindTarget(*token);
  if (target == nullptr) return nullptr;
  ++target->flows;
  flow_record& flow = flows_[id];
  flow.token = *token;
  flow.token.epoch = settings_.epoch;
  Note("flow " + std::to_string(id.value) + " rebuilt at target " +
       target->name.value);
  return &flow;
}

void service_shard::HandleRequest(const shard_packet& event,
                                  flow_record* flow) {
  const auto& request = std::get<run_request>(event.packet.body);
  const request_key key{event.packet.flow, request.number};
  if (auto it = flow->requests.find(request.number);
      it != flow->requests.end()) {
    it->second.caller = event.caller;
    if (it->second.step == request_step::kEnded) {
      Answer(event.caller, it->second.answer);
    }
    return;
  }
  if (request.number <= flow->forgotten) {
    Refuse(event, request.number,
           request.repeatable ? answer_kind::kNotRun
                              : answer_kind::kOutcomeUnknown,
           refusal_reason::kTooOld);
    return;
  }
  // A token of an earlier epoch: the request may have been sent by the owner
  // of that time, whose records are gone.
  if (!request.repeatable && event.packet.token->epoch != settings_.epoch) {
    Refuse(event, request.number, answer_kind::kOutcomeUnknown,
           refusal_reason::kOwnerChanged);
    return;
  }
  const auto price = view_->classes.find(request.service_class);
  if (price == view_->classes.end()) {
    Refuse(event, request.number, answer_kind::kNotRun,
           refusal_reason::kUnknownClass);
    return;
  }
  target_record* target = FindTarget(flow->token);
  if (view_->out || target == nullptr) {
    Refuse(event, request.number, answer_kind::kNotRun,
           view_->out ? refusal_reason::kDataCentreOut
                      : refusal_reason::kTargetLost);
    return;
  }
  auto& queue = queues_[target->name];
  if (request.deadline <= event.waited || queue.size() >= kMaxQueue) {
    Refuse(event, request.number, answer_kind::kNotRun,
           queue.size() >= kMaxQueue ? refusal_reason::kOverloaded
                                     : refusal_reason::kDeadlinePassed);
    return;
  }
  request_record& record = flow->requests[request.number];
  record.repeatable = request.repeatable;
  record.caller = event.caller;
  record.request = request;
  record.deadline = now_ + request.deadline - event.waited;
  queue.emplace(queue_key{price->second, ++arrivals_}, key);
  ServeQueue(target);
}

void service_shard::HandleCancel(const cancel_request& cancel,
                                 flow_record* flow) {
  auto it = flow->requests.find(cancel.number);
  if (it == flow->requests.end()) return;
  request_record& record = it->second;
  if (record.step != request_step::kRunning) return;
  if (const target_record* target = FindTarget(flow->token)) {
    effects_.emplace_back(send_cancel{target->connection, record.attempt});
  }
}

void service_shard::HandleAnnounced(const shard_announced& event) {
  const announcement& what = event.what;
  CHECK(what.service == settings_.service)
      << "an announcement reached the shard of another service";
  auto it = targets_.find(what.target);
  if (it != targets_.end() && it->second.boot != what.boot) {
    LoseTarget(what.target);
    it = targets_.end();
  }
  if (it == targets_.end()) {
    it = targets_.emplace(what.target, target_record{}).first;
    Note("target " + what.target.value + " joined, " +
         std::string(ToString(what.state)));
  } else if (it->second.state != what.state) {
    Note("target " + what.target.value + " is now " +
         std::string(ToString(what.state)));
  }
  target_record& target = it->second;
  target.name = what.target;
  target.boot = what.boot;
  target.connection = event.connection;
  target.state = what.state;
  target.slots = what.slots;
  target.connections = what.connections;
  target.last_heard = now_;
  ServeQueue(&target);
}

void service_shard::HandleAnswered(const shard_answered& event) {
  const run_answer& answer = event.answer;
  auto running = running_.find(answer.attempt);
  if (running == running_.end()) return;  // Late, duplicated or crossed.
  const request_key key = running->second;
  auto flow = flows_.find(key.flow);
  CHECK(flow != flows_.end()) << "a running request has no flow";
  request_record& record = flow->second.requests.at(key.number);
  target_record* target = FindTarget(flow->second.token);
  if (target == nullptr || target->connection != event.connection) return;
  record.parts.resize(answer.parts);
  if (answer.part >= record.parts.size()) return;
  record.parts[answer.part] = answer.body;
  record.parts_seen.insert(answer.part);
  if (record.parts_seen.size() < record.parts.size()) return;
  running_.erase(running);
  CHECK_GT(target->busy, 0U) << "a slot was freed twice";
  --target->busy;
  std::string body =
      std::accumulate(record.parts.begin(), record.parts.end(), std::string());
  if (answer.status == run_status::kShed ||
      answer.status == run_status::kAbandoned) {
    EndRequest(key, &record, answer_kind::kNotRun,
               answer.status == run_status::kShed ? refusal_reason::kTargetShed
                                                  : refusal_reason::kCancelled,
               "");
  } else {
    EndRequest(key, &record, answer_kind::kServed, refusal_reason::kNone,
               std::move(body));
  }
  ServeQueue(target);
}

void service_shard::HandleDisconnected(const target_connection& connection) {
  for (const auto& [name, target] : targets_) {
    if (target.connection != connection) continue;
    LoseTarget(target_name{name});
    return;
  }
}

void service_shard::HandleTick() {
  std::vector<target_name> silent;
  for (auto& [name, target] : targets_) {
    if (now_ - target.last_heard > kTargetSilence) silent.push_back(name);
  }
  for (const target_name& name : silent) LoseTarget(name);
  for (auto& [name, target] : targets_) ServeQueue(&target);
  std::vector<flow_id> idle;
  for (auto& [id, flow] : flows_) {
    if (now_ - flow.last_packet > view_->flow_idle) idle.push_back(id);
    while (!flow.requests.empty()) {
      const auto& [number, record] = *flow.requests.begin();
      if (record.step != request_step::kEnded) break;
      if (now_ - record.ended < kRecordRetention) break;
      flow.forgotten = number;
      flow.requests.erase(flow.requests.begin());
    }
  }
  for (flow_id id : idle) CloseFlow(id);
}

service_shard::target_record* service_shard::ChooseTarget() {
  target_record* best = nullptr;
  for (auto& [name, target] : targets_) {
    if (target.state != target_state::kReady) continue;
    if (target.flows >= target.connections) continue;
    if (best == nullptr ||
        target.flows + target.busy < best->flows + best->busy) {
      best = &target;
    }
  }
  return best;
}

service_shard::target_record* service_shard::FindTarget(
    const flow_token& token) {
  auto it = targets_.find(token.target);
  if (it == targets_.end() || it->second.boot != token.boot) return nullptr;
  return &it->second;
}

void service_shard::LoseTarget(const target_name& name) {
  Note("target " + name.value + " lost");
  std::vector<flow_id> flows;
  for (auto& [id, flow] : flows_) {
    if (flow.token.target == name) flows.push_back(id);
  }
  for (flow_id id : flows) {
    for (auto& [number, record] : flows_.at(id).requests) {
      if (record.step == request_step::kEnded) continue;
      const bool sent = record.step == request_step::kRunning;
      if (sent) running_.erase(record.attempt);
      EndRequest({id, number}, &record,
                 sent && !record.repeatable ? answer_kind::kOutcomeUnknown
                                            : answer_kind::kNotRun,
                 refusal_reason::kTargetLost, "");
    }
    flows_.erase(id);
  }
  queues_.erase(name);
  targets_.erase(name);
}

void service_shard::CloseFlow(flow_id id) {
  auto it = flows_.find(id);
  if (it == flows_.end()) return;
  for (const auto& [number, record] : it->second.requests) {
    if (record.step != request_step::kEnded) return;  // Still at work.
  }
  if (target_record* target = FindTarget(it->second.token)) --target->flows;
  flows_.erase(it);
}

void service_shard::ServeQueue(target_record* target) {
  auto& queue = queues_[target->name];
  for (auto it = queue.begin(); it != queue.end();) {
    const request_key key = it->second;
    request_record& record = flows_.at(key.flow).requests.at(key.number);
    if (view_->out || record.deadline <= now_) {
      it = queue.erase(it);
      EndRequest(key, &record, answer_kind::kNotRun,
                 view_->out ? refusal_reason::kDataCentreOut
                            : refusal_reason::kDeadlinePassed,
                 "");
      continue;
    }
    if (target->busy >= target->slots) {
      ++it;
      continue;
    }
    it = queue.erase(it);
    Run(target, key, &record);
  }
}

void service_shard::Run(target_record* target, const request_key& key,
                        request_record* record) {
  CHECK_LT(target->busy, target->slots) << "no free slot";
  ++target->busy;
  record->step = request_step::kRunning;
  record->attempt = {++attempts_};
  running_[record->attempt] = key;
  effects_.emplace_back(
      send_run{target->connection,
               run_order{.attempt = record->attempt,
                         .flow = key.flow,
                         .request = key.number,
                         .service = settings_.service,
                         .target = target->name,
                         .boot = target->boot,
                         .service_class = record->request.service_class,
                         .repeatable = record->repeatable,
                         .remaining = std::chrono::duration_cast<milliseconds>(
                             record->deadline - now_),
                         .epoch = settings_.epoch,
                         .body = record->request.body}});
}

void service_shard::EndRequest(const request_key& key, request_record* record,
                               answer_kind kind, refusal_reason reason,
                               std::string body) {
  CHECK(record->step != request_step::kEnded) << "a request ended twice";
  record->step = request_step::kEnded;
  record->ended = now_;
  record->request.body.clear();
  record->parts.clear();
  record->answer = {
      .flow = key.flow,
      .request = key.number,
      .kind = kind,
      .reason = reason,
      .come_back = kind == answer_kind::kNotRun ? kComeBack : milliseconds(0),
      .token = flows_.at(key.flow).token,
      .body = std::move(body)};
  Answer(record->caller, record->answer);
}

void service_shard::Refuse(const shard_packet& event, request_number number,
                           answer_kind kind, refusal_reason reason) {
  Note("flow " + std::to_string(event.packet.flow.value) + " request " +
       std::to_string(number.value) + " refused, " +
       std::string(ToString(kind)) + ", " + std::string(ToString(reason)));
  caller_answer answer{
      .flow = event.packet.flow,
      .request = number,
      .kind = kind,
      .reason = reason,
      .come_back = kind == answer_kind::kNotRun ? kComeBack : milliseconds(0)};
  if (auto it = flows_.find(event.packet.flow); it != flows_.end()) {
    answer.token = it->second.token;
  }
  Answer(event.caller, std::move(answer));
}

void service_shard::Answer(const caller_address& to, caller_answer answer) {
  effects_.emplace_back(send_answer{to, std::move(answer)});
}

void service_shard::Note(std::string text) {
  effects_.emplace_back(note_decision{std::move(text)});
}

}  // namespace lavendertack
