#include "Model/fleet_model.h"

#include <algorithm>
#include <utility>

namespace lavendertack {
namespace {

constexpr std::size_t kControlCount = 3;
constexpr milliseconds kControlTick{25};
constexpr milliseconds kEntryTick{50};
constexpr milliseconds kHeartbeatInterval{1200};
// One-way delays: between callers and their data centre, within a data centre,
// and between data centres.
constexpr microseconds kCallerDelay{3000};
constexpr microseconds kLocalDelay{500};
constexpr microseconds kInterDataCentreDelay{4200};
// Time for the control instances to bootstrap and to receive the targets'
// reports.
constexpr milliseconds kStartupTime{6000};
// Callers resend the opening packet this long after the first one; at the last
// of these times the try fails.
constexpr std::array kOpeningTimeouts{milliseconds(200), milliseconds(600),
                                      milliseconds(1400)};
// Request packets are resent until the target receives the request; the
// interval doubles each time.
constexpr milliseconds kFirstResendInterval{200};
constexpr milliseconds kMaxResendInterval{1600};
constexpr int kMaxTries = 3;
// Delay before the second try; the delay before the third is twice as long.
constexpr milliseconds kRetryBackoff{100};
// Callers close a flow after this many requests.
constexpr int kMaxRequestsPerFlow = 20;
// Delay until routers notice that an entry instance has become ready or not
// ready: two of their probes.
constexpr milliseconds kRouterLag{1000};
// Time between the exit of an entry instance and its next start.
constexpr milliseconds kRestartTime{300};
// A draining target ends after this time at the earliest.
constexpr milliseconds kMinDrainTime{3000};

instance_name ControlAt(std::size_t i) {
  return {"10.0.0." + std::to_string(i + 1)};
}
data_centre_name DataCentreAt(std::size_t i) {
  return {"dc-" + std::to_string(i)};
}
ipv4_endpoint RouteOf(std::size_t class_index) {
  return {{0xc6120001}, {static_cast<std::uint16_t>(8000 + class_index)}};
}

}  // namespace

struct fleet_model::target_state {
  target_report report;
  std::size_t data_centre = 0;
  const model_service* service = nullptr;
  bool alive = true;
  bool unaffected_by_faults = true;  // No fault of the scenario affects it.
  std::uint32_t busy_slots = 0;
  std::deque<request_ref> queued_requests;
  std::uint64_t open_flows = 0;
  std::uint64_t requests = 0;
};

struct fleet_model::entry_state {
  std::size_t data_centre = 0;
  std::unique_ptr<entry_instance> instance;
  std::uint64_t generation = 0;
  // Times of the newest changes to not ready and to ready.
  instant not_ready_at;
  instant ready_since;
  bool ready = false;
};

struct fleet_model::flow_state {
  flow_key key;
  std::size_t class_index = 0;
  std::size_t data_centre = 0;
  target_tag tag;
  std::size_t target = 0;
  bool open = false;
  bool closed = false;
  std::uint32_t sequence = 1;
  std::uint32_t acknowledged = 0;
  int requests = 0;
};

struct fleet_model::request_state {
  std::size_t class_index = 0;
  std::size_t data_centre = 0;
  instant started_at;
  bool done = false;
  int tries = 0;
  std::uint64_t attempt = 0;  // Events of earlier attempts are ignored.
  bool reached_target = false;
  bool sent_on_open_flow = false;
  flow_ref flow;
};

// A packet sent by one attempt of a request. The attempt may have ended before
// the packet arrives.
struct fleet_model::packet_in_transit {
  request_ref request;
  flow_ref flow;
  std::uint64_t attempt = 0;
  flow_packet packet;

  bool IsCurrent() const { return request->attempt == attempt; }
};

fleet_model::fleet_model(model_scenario scenario, model_policy policy,
                         std::uint64_t seed)
    : scenario_(std::move(scenario)), policy_(policy), random_(seed) {}
fleet_model::~fleet_model() = default;

model_result fleet_model::Run() {
  queue_.RunUntil(instant(seconds(100)));
  entries_.resize(scenario_.entries);
  StartControls();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    entries_[i].data_centre = i % scenario_.data_centres;
    StartEntry(i);
  }
  AddTargets();
  traffic_start_ = Now() + kStartupTime;
  queue_.RunUntil(traffic_start_);
  for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
    ScheduleNextRequest(i);
  }
  for (const model_fault& fault : scenario_.faults) {
    queue_.ScheduleAfter(fault.at, [this, &fault] { InjectFault(fault); });
  }
  queue_.RunUntil(traffic_start_ + scenario_.duration);
  return CollectResults();
}

void fleet_model::StartControls() {
  manifest published{.version = {1}};
  for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
    const model_class& request_class = scenario_.classes[i];
    published.routes[RouteOf(i)] = {.shares = {{request_class.service, 1}},
                                    .priority = request_class.priority};
  }
  for (const model_service& service : scenario_.services) {
    published.services.push_back({.name = service.name});
  }
  std::vector<instance_name> names;
  for (std::size_t i = 0; i < kControlCount; ++i) names.push_back(ControlAt(i));
  for (std::size_t i = 0; i < kControlCount; ++i) {
    controls_.push_back(std::make_unique<control_instance>(
        control_settings{.self = names[i],
                         .data_centre = DataCentreAt(i),
                         .seeds = names,
                         .bootstrap_voters = names,
                         .new_storage_id = {random_() | 1},
                         .seed = random_(),
                         .tolerated_losses = 1,
                         .heartbeat_interval = kHeartbeatInterval,
                         .limits = {.kept_entries = 24,
                                    .rewrite_bytes = 1 << 20,
                                    .snapshot_interval = seconds(1)}},
        [published](const std::string&) { return published; }));
  }
  for (std::size_t i = 0; i < kControlCount; ++i) TickControl(i);
  queue_.ScheduleAfter(milliseconds(2000), [this] {
    for (std::size_t i = 0; i < kControlCount; ++i) {
      Dispatch(i, operator_order_received{{++last_order_id_},
                                          publish_manifest{{1}, "1"}});
    }
  });
}

void fleet_model::TickControl(std::size_t i) {
  Dispatch(i, control_tick{});
  queue_.ScheduleAfter(kControlTick, [this, i] { TickControl(i); });
}

void fleet_model::Dispatch(std::size_t i, const control_event& event) {
  for (control_effect& effect : controls_[i]->Reduce(Now(), event)) {
    if (auto* send = std::get_if<send_to_control>(&effect)) {
      SendToControl(send->to, {"control " + std::to_string(i) + " 0"},
                    std::move(send->message));
    } else if (auto* reply = std::get_if<send_to_follower>(&effect)) {
      queue_.ScheduleAfter(kInterDataCentreDelay,
                           [this, to = reply->to, message = reply->message] {
                             DeliverReply(to, message);
                           });
    }
  }
}

void fleet_model::SendToControl(const instance_name& name, const link_id& link,
                                wire::fleet_message message) {
  for (std::size_t to = 0; to < kControlCount; ++to) {
    if (ControlAt(to) != name) continue;
    queue_.ScheduleAfter(
        kInterDataCentreDelay, [this, to, link, message = std::move(message)] {
          Dispatch(to, control_message_received{link, message});
        });
    return;
  }
}

// Link ids name the requester: "control 2 0", or "entry 3 1" where 1 is the
// generation of the entry instance. Replies to an earlier generation are
// dropped.
void fleet_model::DeliverReply(const link_id& to,
                               const wire::fleet_message& message) {
  const std::size_t first = to.value.find(' ');
  const std::size_t second = to.value.rfind(' ');
  const std::size_t i = std::stoull(to.value.substr(first + 1));
  if (to.value.starts_with("control")) {
    Dispatch(i, control_message_received{{}, message});
  } else if (entries_[i].generation ==
             std::stoull(to.value.substr(second + 1))) {
    entries_[i].instance->Receive(Now(), message);
    for (const lost_flow& lost : entries_[i].instance->TakeLostFlows()) {
      queue_.ScheduleAfter(kCallerDelay, [this, key = lost.last_packet.flow] {
        HandleLostFlow(key);
      });
    }
  }
}

void fleet_model::HandleLostFlow(const flow_key& key) {
  const auto it = last_requests_.find(key);
  const request_ref request =
      it == last_requests_.end() ? nullptr : it->second.lock();
  if (request == nullptr || request->flow->key != key) return;
  const flow_ref flow = request->flow;
  if (flow->closed) return;
  if (targets_[flow->target].alive) ++result_.broken_flows;
  flow->closed = true;
  std::erase(idle_flows_[{flow->class_index, flow->data_centre}], flow);
  EndTry(request, false, false);
}

void fleet_model::StartEntry(std::size_t i) {
  entry_state& entry = entries_[i];
  std::vector<instance_name> seeds;
  for (std::size_t c = 0; c < kControlCount; ++c) seeds.push_back(ControlAt(c));
  entry_settings settings{.self = {"10.1.0." + std::to_string(i + 1)},
                          .data_centre = DataCentreAt(entry.data_centre),
                          .seeds = seeds,
                          .seed = random_(),
                          .stop_within = milliseconds(6000)};
  if (policy_.placement != model_placement::kByLoad) {
    settings.choose = [this](instant, const auto& candidates) {
      return SelectTarget(candidates);
    };
  }
  if (!policy_.refuse_overload) {
    settings.refuse = [](double, std::uint32_t, const auto&) { return 0.0; };
  }
  entry.instance = std::make_unique<entry_instance>(std::move(settings));
  const std::uint64_t generation = ++entry.generation;
  TickEntry(i, generation);
}

void fleet_model::TickEntry(std::size_t i, std::uint64_t generation) {
  entry_state& entry = entries_[i];
  if (entry.generation != generation) return;
  entry.instance->Tick(Now());
  for (follow_request& request : entry.instance->Requests(Now())) {
    if (!policy_.report_unanswered) {
      request.message.mutable_follow()->clear_unanswered();
    }
    SendToControl(
        request.to,
        {"entry " + std::to_string(i) + " " + std::to_string(generation)},
        std::move(request.message));
  }
  const bool ready = entry.instance->IsReady(Now());
  if (ready != std::exchange(entry.ready, ready)) {
    (ready ? entry.ready_since : entry.not_ready_at) = Now();
  }
  if (entry.instance->CanExit(Now())) {
    entry.instance.reset();
    ++entry.generation;
    queue_.ScheduleAfter(kRestartTime, [this, i] { StartEntry(i); });
    return;
  }
  queue_.ScheduleAfter(kEntryTick,
                       [this, i, generation] { TickEntry(i, generation); });
}

const known_target* fleet_model::SelectTarget(
    const std::vector<const known_target*>& candidates) {
  if (policy_.placement == model_placement::kRandom) {
    return candidates[random_() % candidates.size()];
  }
  return *std::min_element(
      candidates.begin(), candidates.end(),
      [this](const known_target* a, const known_target* b) {
        return targets_[target_index_.at(a->report.id)].open_flows <
               targets_[target_index_.at(b->report.id)].open_flows;
      });
}

void fleet_model::AddTargets() {
  for (const model_service& service : scenario_.services) {
    for (std::size_t i = 0; i < service.targets; ++i) {
      target_state& added = targets_.emplace_back();
      const std::size_t number = targets_.size();
      added.data_centre = i % scenario_.data_centres;
      added.service = &service;
      added.report = {
          .id = {"i-" + std::to_string(number)},
          .version = {1000, 0},
          .service = service.name,
          .address = {{static_cast<std::uint32_t>(0x0a400000 + number)},
                      {8080}},
          .data_centre = DataCentreAt(added.data_centre),
          .slots = service.slots};
      target_index_[added.report.id] = number - 1;
    }
  }
  for (const model_fault& fault : scenario_.faults) {
    if (fault.kind == model_fault_kind::kRestartEntry) continue;
    targets_[fault.index].unaffected_by_faults = false;
  }
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    queue_.ScheduleAfter(milliseconds(random_() % kHeartbeatInterval.count()),
                         [this, i] { SendReport(i); });
  }
}

void fleet_model::SendReport(std::size_t i) {
  target_state& target = targets_[i];
  if (!target.alive) return;
  ++target.report.version.sequence;
  Dispatch(i % kControlCount, target_report_received{target.report});
  queue_.ScheduleAfter(kHeartbeatInterval, [this, i] { SendReport(i); });
}

void fleet_model::InjectFault(const model_fault& fault) {
  switch (fault.kind) {
    case model_fault_kind::kCrashTarget:
      targets_[fault.index].alive = false;
      targets_[fault.index].queued_requests.clear();
      break;
    case model_fault_kind::kDrainTarget:
      StartDrain(fault.index);
      break;
    case model_fault_kind::kRestartEntry:
      if (entries_[fault.index].instance != nullptr) {
        entries_[fault.index].instance->Stop(Now());
      }
      break;
  }
}

void fleet_model::StartDrain(std::size_t i) {
  target_state& target = targets_[i];
  target.report.phase = target_phase::kDraining;
  ++target.report.version.sequence;
  Dispatch(i % kControlCount, target_report_received{target.report});
  queue_.ScheduleAfter(kMinDrainTime, [this, i] { FinishDrain(i); });
}

void fleet_model::FinishDrain(std::size_t i) {
  target_state& target = targets_[i];
  if (target.busy_slots > 0 || !target.queued_requests.empty()) {
    queue_.ScheduleAfter(milliseconds(100), [this, i] { FinishDrain(i); });
    return;
  }
  target.alive = false;
  Dispatch(i % kControlCount, target_ended{target.report.id});
}

microseconds fleet_model::PathDelay(std::size_t data_centre,
                                    std::size_t target) const {
  return targets_[target].data_centre == data_centre ? kLocalDelay
                                                     : kInterDataCentreDelay;
}

flow_packet fleet_model::MakePacket(const flow_state& from) const {
  return {.flow = from.key,
          .tag = from.tag,
          .sequence = from.sequence,
          .acknowledged = from.acknowledged};
}

void fleet_model::ScheduleNextRequest(std::size_t class_index) {
  const model_class& request_class = scenario_.classes[class_index];
  const double rate = request_class.requests_per_s *
                      (request_class.scales_with_load ? scenario_.load : 1.0);
  std::exponential_distribution<double> gap(rate);
  queue_.ScheduleAfter(
      microseconds(static_cast<std::int64_t>(gap(random_) * 1e6)),
      [this, class_index] {
        StartRequest(class_index);
        ScheduleNextRequest(class_index);
      });
}

void fleet_model::StartRequest(std::size_t class_index) {
  auto request = std::make_shared<request_state>();
  request->class_index = class_index;
  request->data_centre = random_() % scenario_.data_centres;
  request->started_at = Now();
  const model_class& request_class = scenario_.classes[class_index];
  if (IsCounted(*request)) ++result_.classes[request_class.name].requests;
  queue_.ScheduleAfter(request_class.deadline, [this, request] {
    if (request->done) return;
    const flow_ref flow = request->flow;
    if (flow != nullptr && flow->open && !flow->closed &&
        targets_[flow->target].alive && request->sent_on_open_flow &&
        !request->reached_target) {
      ++result_.broken_flows;
    }
    if (flow != nullptr) flow->closed = true;
    RecordUnserved(request, false);
  });
  StartTry(request);
}

void fleet_model::StartTry(const request_ref& request) {
  if (request->done) return;
  ++request->tries;
  ++request->attempt;
  request->reached_target = false;
  request->sent_on_open_flow = false;
  const model_class& request_class = scenario_.classes[request->class_index];
  auto& idle = idle_flows_[{request->class_index, request->data_centre}];
  if (request_class.reuses_flows && !idle.empty()) {
    const std::size_t index = random_() % idle.size();
    request->flow = idle[index];
    idle[index] = idle.back();
    idle.pop_back();
    last_requests_[request->flow->key] = request;
    SendRequest(request, kFirstResendInterval);
    return;
  }
  ++last_caller_number_;
  request->flow = std::make_shared<flow_state>();
  request->flow->key = {
      {{0x64400000 + (last_caller_number_ >> 14)},
       {static_cast<std::uint16_t>(1024 + (last_caller_number_ & 0x3fff))}},
      RouteOf(request->class_index)};
  request->flow->class_index = request->class_index;
  request->flow->data_centre = request->data_centre;
  last_requests_[request->flow->key] = request;
  SendOpeningPacket(request, 0);
}

void fleet_model::SendOpeningPacket(const request_ref& request,
                                    std::uint32_t retransmission) {
  const std::uint64_t attempt = request->attempt;
  if (request->done || request->flow->open) return;
  if (retransmission == kOpeningTimeouts.size()) {
    EndTry(request, false, true);
    return;
  }
  flow_packet packet = MakePacket(*request->flow);
  packet.opens = true;
  packet.retransmission = retransmission;
  packet.acknowledged = retransmission;
  SendPacket(request, packet);
  const milliseconds previous_timeout =
      retransmission == 0 ? milliseconds(0)
                          : kOpeningTimeouts[retransmission - 1];
  queue_.ScheduleAfter(kOpeningTimeouts[retransmission] - previous_timeout,
                       [this, request, attempt, retransmission] {
                         if (request->attempt == attempt) {
                           SendOpeningPacket(request, retransmission + 1);
                         }
                       });
}

// Routers send a packet to an entry instance of the caller's data centre that
// was ready kRouterLag ago, selected by a hash of the flow's two endpoints.
void fleet_model::SendPacket(const request_ref& request,
                             const flow_packet& packet) {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const entry_state& entry = entries_[i];
    if (entry.data_centre != request->data_centre) continue;
    const bool was_ready = entry.ready
                               ? Now() - entry.ready_since > kRouterLag
                               : Now() - entry.not_ready_at < kRouterLag;
    if (was_ready) ready.push_back(i);
  }
  if (ready.empty()) return;
  const std::size_t to =
      ready[std::hash<flow_key>()(packet.flow) % ready.size()];
  const packet_in_transit sent{request, request->flow, request->attempt,
                               packet};
  queue_.ScheduleAfter(kCallerDelay,
                       [this, sent, to] { ArriveAtEntry(sent, to); });
}

void fleet_model::ArriveAtEntry(const packet_in_transit& sent, std::size_t i) {
  if (entries_[i].instance == nullptr) return;
  const forward_decision decision =
      entries_[i].instance->Route(Now(), sent.packet);
  if (std::holds_alternative<reset_caller>(decision)) {
    const bool refused = sent.packet.opens;
    if (!refused && targets_[sent.flow->target].alive) ++result_.broken_flows;
    queue_.ScheduleAfter(kCallerDelay, [this, sent, refused] {
      sent.flow->closed = true;
      if (sent.IsCurrent()) EndTry(sent.request, refused, refused);
    });
    return;
  }
  const auto* forward = std::get_if<forward_to_target>(&decision);
  if (forward == nullptr) return;
  const std::size_t to = target_index_.at(forward->target->report.id);
  const target_tag tag = forward->target->tag;
  queue_.ScheduleAfter(
      PathDelay(sent.flow->data_centre, to),
      [this, sent, to, tag] { ArriveAtTarget(sent, to, tag); });
}

void fleet_model::ArriveAtTarget(const packet_in_transit& sent, std::size_t i,
                                 target_tag tag) {
  if (!sent.IsCurrent() || !targets_[i].alive) return;
  if (sent.packet.opens) {
    sent.flow->tag = tag;
    ++targets_[i].open_flows;
    queue_.ScheduleAfter(PathDelay(sent.flow->data_centre, i) + kCallerDelay,
                         [this, sent, i] {
                           if (!sent.IsCurrent() || sent.flow->open) return;
                           sent.flow->target = i;
                           HandleFlowOpened(sent.request);
                         });
  } else if (sent.packet.data_bytes > 0 && !sent.request->reached_target) {
    sent.request->reached_target = true;
    EnqueueRequest(i, sent.request);
  }
}

void fleet_model::HandleFlowOpened(const request_ref& request) {
  request->flow->open = true;
  request->flow->acknowledged = 1;
  ++result_.flows;
  SendRequest(request, kFirstResendInterval);
}

void fleet_model::SendRequest(const request_ref& request,
                              milliseconds resend_interval) {
  const std::uint64_t attempt = request->attempt;
  if (request->done || request->reached_target) return;
  request->sent_on_open_flow = true;
  flow_packet packet = MakePacket(*request->flow);
  packet.data_bytes = 100;
  SendPacket(request, packet);
  queue_.ScheduleAfter(
      resend_interval, [this, request, attempt, resend_interval] {
        if (request->attempt != attempt) return;
        SendRequest(request, std::min(resend_interval * 2, kMaxResendInterval));
      });
}

void fleet_model::EnqueueRequest(std::size_t i, const request_ref& request) {
  target_state& target = targets_[i];
  ++target.requests;
  if (target.busy_slots < target.service->slots) {
    StartProcessing(i, request);
  } else if (target.queued_requests.size() < target.service->queue) {
    target.queued_requests.push_back(request);
  } else {
    const std::uint64_t attempt = request->attempt;
    queue_.ScheduleAfter(PathDelay(request->data_centre, i) + kCallerDelay,
                         [this, request, attempt] {
                           if (request->attempt == attempt) {
                             EndTry(request, true, true);
                           }
                         });
  }
}

void fleet_model::StartProcessing(std::size_t i, const request_ref& request) {
  target_state& target = targets_[i];
  ++target.busy_slots;
  const model_class& request_class = scenario_.classes[request->class_index];
  // Half of the processing time is constant, the rest is distributed
  // exponentially.
  std::exponential_distribution<double> variable_part(
      2.0 / static_cast<double>(
                microseconds(request_class.mean_processing_time).count()));
  const auto processing_time =
      microseconds(request_class.mean_processing_time) / 2 +
      microseconds(static_cast<std::int64_t>(variable_part(random_)));
  const std::uint64_t attempt = request->attempt;
  queue_.ScheduleAfter(processing_time, [this, i, request, attempt] {
    FinishProcessing(i, attempt, request);
  });
}

void fleet_model::FinishProcessing(std::size_t i, std::uint64_t attempt,
                                   const request_ref& request) {
  target_state& target = targets_[i];
  if (!target.alive) return;
  --target.busy_slots;
  if (!target.queued_requests.empty()) {
    const request_ref next = target.queued_requests.front();
    target.queued_requests.pop_front();
    StartProcessing(i, next);
  }
  queue_.ScheduleAfter(PathDelay(request->data_centre, i) + kCallerDelay,
                       [this, request, attempt] {
                         if (request->attempt == attempt && !request->done) {
                           HandleAnswer(request);
                         }
                       });
}

void fleet_model::HandleAnswer(const request_ref& request) {
  const model_class& request_class = scenario_.classes[request->class_index];
  request->done = true;
  const auto latency =
      std::chrono::duration_cast<microseconds>(Now() - request->started_at);
  if (IsCounted(*request)) {
    class_result& counts = result_.classes[request_class.name];
    ++(latency <= request_class.latency_objective ? counts.within_objective
                                                  : counts.late);
    counts.latencies.push_back(latency);
  }
  const flow_ref flow = request->flow;
  flow->acknowledged += request_class.answer_packets * 1000;
  flow->sequence += 100;
  if (request_class.answer_packets > 1) SendPacket(request, MakePacket(*flow));
  const bool draining =
      targets_[flow->target].report.phase == target_phase::kDraining;
  if (request_class.reuses_flows && ++flow->requests < kMaxRequestsPerFlow &&
      !draining) {
    idle_flows_[{flow->class_index, flow->data_centre}].push_back(flow);
  } else {
    flow->closed = true;
    --targets_[flow->target].open_flows;
  }
}

void fleet_model::EndTry(const request_ref& request, bool refused,
                         bool certainly_not_run) {
  if (request->done) return;
  ++request->attempt;
  const model_class& request_class = scenario_.classes[request->class_index];
  if ((!certainly_not_run && !request_class.repeatable) ||
      request->tries >= kMaxTries) {
    RecordUnserved(request, refused);
    return;
  }
  queue_.ScheduleAfter(kRetryBackoff * request->tries,
                       [this, request] { StartTry(request); });
}

void fleet_model::RecordUnserved(const request_ref& request, bool refused) {
  request->done = true;
  ++request->attempt;
  if (!IsCounted(*request)) return;
  class_result& counts =
      result_.classes[scenario_.classes[request->class_index].name];
  ++(refused ? counts.refused : counts.failed);
}

bool fleet_model::IsCounted(const request_state& request) const {
  // Requests whose deadline is after the end of the run may still be pending.
  return request.started_at >= traffic_start_ + scenario_.warm_up &&
         request.started_at + scenario_.classes[request.class_index].deadline <
             traffic_start_ + scenario_.duration;
}

model_result fleet_model::CollectResults() {
  for (const model_service& service : scenario_.services) {
    double max = 0;
    double total = 0;
    int count = 0;
    for (const target_state& target : targets_) {
      if (target.service != &service || !target.unaffected_by_faults) continue;
      max = std::max(max, static_cast<double>(target.requests));
      total += static_cast<double>(target.requests);
      ++count;
    }
    result_.imbalance[service.name] = total > 0 ? max * count / total : 0;
  }
  return std::move(result_);
}

}  // namespace lavendertack
