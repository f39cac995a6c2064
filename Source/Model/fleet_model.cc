#include "Model/fleet_model.h"

#include <algorithm>
#include <utility>

namespace lavendertack {
namespace {

constexpr std::size_t kControls = 3;
constexpr milliseconds kControlTick{25};
constexpr milliseconds kEntryTick{50};
constexpr milliseconds kHeartbeat{1200};
// One way, between a caller and its data centre, and between data centres.
constexpr microseconds kToCaller{3000};
constexpr microseconds kWithin{500};
constexpr microseconds kBetween{4200};
// Time for the fleet to found itself and to hear its targets.
constexpr milliseconds kBeforeTraffic{6000};
// Callers repeat the first packet after these times, and give up at the last.
constexpr std::array kOpeningTimes{milliseconds(200), milliseconds(600),
                                   milliseconds(1400)};
// Packets without an answer are sent again, each time after twice as long.
constexpr milliseconds kFirstResend{200};
constexpr milliseconds kLongestResend{1600};
constexpr int kTries = 3;
// Before the second try; twice as long before the third.
constexpr milliseconds kBackoff{100};
// Callers keep a flow for so many requests.
constexpr int kRequestsPerFlow = 20;
// A routers' list of instances lags by two probes.
constexpr milliseconds kRouterLag{1000};
constexpr milliseconds kRestartTakes{300};
constexpr milliseconds kDrainTakes{3000};

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
  bool left_alone = true;  // No fault of the scenario concerns it.
  std::uint32_t busy = 0;
  std::deque<request_ref> waiting;
  std::uint64_t open_flows = 0;
  std::uint64_t requests = 0;
};

struct fleet_model::entry_state {
  std::size_t data_centre = 0;
  std::unique_ptr<entry_instance> instance;
  std::uint64_t life = 0;
  // When its probe last failed and last succeeded.
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
  instant asked;
  bool done = false;
  int tries = 0;
  std::uint64_t attempt = 0;  // Events of earlier ones are void.
  bool reached_target = false;
  bool sent_on_open_flow = false;
  flow_ref on;
};

// A packet of one attempt at a request.
struct fleet_model::on_the_way {
  request_ref one;
  flow_ref on;
  std::uint64_t attempt = 0;
  flow_packet packet;

  bool IsCurrent() const { return one->attempt == attempt; }
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
  traffic_from_ = Now() + kBeforeTraffic;
  queue_.RunUntil(traffic_from_);
  for (std::size_t i = 0; i < scenario_.classes.size(); ++i) ScheduleNext(i);
  for (const model_fault& fault : scenario_.faults) {
    queue_.After(fault.at, [this, &fault] { Play(fault); });
  }
  queue_.RunUntil(traffic_from_ + scenario_.time);
  return Results();
}

void fleet_model::StartControls() {
  manifest published{.version = {1}};
  for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
    const model_class& one = scenario_.classes[i];
    published.routes[RouteOf(i)] = {.shares = {{one.service, 1}},
                                    .priority = one.priority};
  }
  std::vector<instance_name> names;
  for (std::size_t i = 0; i < kControls; ++i) names.push_back(ControlAt(i));
  for (std::size_t i = 0; i < kControls; ++i) {
    controls_.push_back(std::make_unique<control_instance>(
        control_settings{.self = names[i],
                         .data_centre = DataCentreAt(i),
                         .seeds = names,
                         .bootstrap_voters = names,
                         .new_storage_id = {random_() | 1},
                         .seed = random_(),
                         .tolerated_losses = 1,
                         .heartbeat_interval = kHeartbeat,
                         .limits = {.kept_entries = 24,
                                    .rewrite_bytes = 1 << 20,
                                    .snapshot_interval = seconds(1)}},
        [published](const std::string&) { return published; }));
  }
  for (std::size_t i = 0; i < kControls; ++i) TickControl(i);
  queue_.After(milliseconds(2000), [this] {
    for (std::size_t i = 0; i < kControls; ++i) {
      Dispatch(i, operator_order_received{{++next_call_},
                                          publish_manifest{{1}, "1"}});
    }
  });
}

void fleet_model::TickControl(std::size_t i) {
  Dispatch(i, control_tick{});
  queue_.After(kControlTick, [this, i] { TickControl(i); });
}

void fleet_model::Dispatch(std::size_t i, const control_event& event) {
  for (control_effect& effect : controls_[i]->Reduce(Now(), event)) {
    if (auto* send = std::get_if<send_to_control>(&effect)) {
      SendToControl(send->to, {"control " + std::to_string(i) + " 0"},
                    std::move(send->message));
    } else if (auto* reply = std::get_if<send_to_follower>(&effect)) {
      queue_.After(kBetween, [this, to = reply->to, message = reply->message] {
        Reply(to, message);
      });
    }
  }
}

void fleet_model::SendToControl(const instance_name& name, const link_id& link,
                                wire::fleet_message message) {
  for (std::size_t to = 0; to < kControls; ++to) {
    if (ControlAt(to) != name) continue;
    queue_.After(kBetween, [this, to, link, message = std::move(message)] {
      Dispatch(to, control_message_received{link, message});
    });
    return;
  }
}

// Links are named by who asked: "control 2 0" or "entry 3" and its life.
void fleet_model::Reply(const link_id& to, const wire::fleet_message& message) {
  const std::size_t first = to.value.find(' ');
  const std::size_t second = to.value.rfind(' ');
  const std::size_t i = std::stoull(to.value.substr(first + 1));
  if (to.value.starts_with("control")) {
    Dispatch(i, control_message_received{{}, message});
  } else if (entries_[i].life == std::stoull(to.value.substr(second + 1))) {
    entries_[i].instance->Receive(Now(), message);
  }
}

void fleet_model::StartEntry(std::size_t i) {
  entry_state& one = entries_[i];
  std::vector<instance_name> seeds;
  for (std::size_t c = 0; c < kControls; ++c) seeds.push_back(ControlAt(c));
  entry_settings settings{.self = {"10.1.0." + std::to_string(i + 1)},
                          .data_centre = DataCentreAt(one.data_centre),
                          .seeds = seeds,
                          .seed = random_(),
                          .stop_within = milliseconds(6000)};
  if (policy_.placement != model_placement::kByLoad) {
    settings.choose = [this](instant, const auto& among) {
      return Choose(among);
    };
  }
  if (!policy_.refuses) {
    settings.refuse = [](double, std::uint32_t, const auto&) { return 0.0; };
  }
  one.instance = std::make_unique<entry_instance>(std::move(settings));
  const std::uint64_t life = ++one.life;
  TickEntry(i, life);
}

void fleet_model::TickEntry(std::size_t i, std::uint64_t life) {
  entry_state& one = entries_[i];
  if (one.life != life) return;
  one.instance->Tick(Now());
  for (follow_request& request : one.instance->Requests(Now())) {
    SendToControl(request.to,
                  {"entry " + std::to_string(i) + " " + std::to_string(life)},
                  std::move(request.message));
  }
  const bool ready = one.instance->IsReady(Now());
  if (ready != std::exchange(one.ready, ready)) {
    (ready ? one.ready_since : one.not_ready_at) = Now();
  }
  if (one.instance->CanExit(Now())) {
    one.instance.reset();
    ++one.life;
    queue_.After(kRestartTakes, [this, i] { StartEntry(i); });
    return;
  }
  queue_.After(kEntryTick, [this, i, life] { TickEntry(i, life); });
}

const known_target* fleet_model::Choose(
    const std::vector<const known_target*>& among) {
  if (policy_.placement == model_placement::kRandom) {
    return among[random_() % among.size()];
  }
  return *std::min_element(
      among.begin(), among.end(),
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
    targets_[fault.index].left_alone = false;
  }
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    queue_.After(milliseconds(random_() % kHeartbeat.count()),
                 [this, i] { Report(i); });
  }
}

void fleet_model::Report(std::size_t i) {
  target_state& one = targets_[i];
  if (!one.alive) return;
  ++one.report.version.sequence;
  Dispatch(i % kControls, target_report_received{one.report});
  queue_.After(kHeartbeat, [this, i] { Report(i); });
}

void fleet_model::Play(const model_fault& fault) {
  switch (fault.kind) {
    case model_fault_kind::kCrashTarget:
      targets_[fault.index].alive = false;
      targets_[fault.index].waiting.clear();
      break;
    case model_fault_kind::kDrainTarget:
      Drain(fault.index);
      break;
    case model_fault_kind::kRestartEntry:
      if (entries_[fault.index].instance != nullptr) {
        entries_[fault.index].instance->Stop(Now());
      }
      break;
  }
}

void fleet_model::Drain(std::size_t i) {
  target_state& one = targets_[i];
  one.report.phase = target_phase::kDraining;
  ++one.report.version.sequence;
  Dispatch(i % kControls, target_report_received{one.report});
  queue_.After(kDrainTakes, [this, i] { EndDrained(i); });
}

void fleet_model::EndDrained(std::size_t i) {
  target_state& one = targets_[i];
  if (one.busy > 0 || !one.waiting.empty()) {
    queue_.After(milliseconds(100), [this, i] { EndDrained(i); });
    return;
  }
  one.alive = false;
  Dispatch(i % kControls, target_ended{one.report.id});
}

microseconds fleet_model::PathTo(std::size_t data_centre,
                                 std::size_t target) const {
  return targets_[target].data_centre == data_centre ? kWithin : kBetween;
}

flow_packet fleet_model::PacketOf(const flow_state& from) const {
  return {.flow = from.key,
          .tag = from.tag,
          .sequence = from.sequence,
          .acknowledged = from.acknowledged};
}

void fleet_model::ScheduleNext(std::size_t class_index) {
  const model_class& one = scenario_.classes[class_index];
  const double rate = one.requests_per_s * (one.grows ? scenario_.load : 1.0);
  std::exponential_distribution<double> gap(rate);
  queue_.After(microseconds(static_cast<std::int64_t>(gap(random_) * 1e6)),
               [this, class_index] {
                 Ask(class_index);
                 ScheduleNext(class_index);
               });
}

void fleet_model::Ask(std::size_t class_index) {
  auto one = std::make_shared<request_state>();
  one->class_index = class_index;
  one->data_centre = random_() % scenario_.data_centres;
  one->asked = Now();
  const model_class& kind = scenario_.classes[class_index];
  if (IsCounted(*one)) ++result_.classes[kind.name].asked;
  queue_.After(kind.deadline, [this, one] {
    if (one->done) return;
    const flow_ref on = one->on;
    if (on != nullptr && on->open && !on->closed &&
        targets_[on->target].alive && one->sent_on_open_flow &&
        !one->reached_target) {
      ++result_.broken_flows;
    }
    if (on != nullptr) on->closed = true;
    Finish(one, false);
  });
  Try(one);
}

void fleet_model::Try(const request_ref& one) {
  if (one->done) return;
  ++one->tries;
  ++one->attempt;
  one->reached_target = false;
  one->sent_on_open_flow = false;
  const model_class& kind = scenario_.classes[one->class_index];
  auto& idle = idle_[{one->class_index, one->data_centre}];
  if (kind.keeps_flows && !idle.empty()) {
    const std::size_t at = random_() % idle.size();
    one->on = idle[at];
    idle[at] = idle.back();
    idle.pop_back();
    SendRequest(one, kFirstResend);
    return;
  }
  ++next_caller_;
  one->on = std::make_shared<flow_state>();
  one->on->key = {
      {{0x64400000 + (next_caller_ >> 14)},
       {static_cast<std::uint16_t>(1024 + (next_caller_ & 0x3fff))}},
      RouteOf(one->class_index)};
  one->on->class_index = one->class_index;
  one->on->data_centre = one->data_centre;
  SendOpening(one, 0);
}

void fleet_model::SendOpening(const request_ref& one,
                              std::uint32_t retransmission) {
  const std::uint64_t attempt = one->attempt;
  if (one->done || one->on->open) return;
  if (retransmission == kOpeningTimes.size()) {
    EndTry(one, false, true);
    return;
  }
  flow_packet packet = PacketOf(*one->on);
  packet.opens = true;
  packet.retransmission = retransmission;
  packet.acknowledged = retransmission;
  SendPacket(one, packet);
  const milliseconds before =
      retransmission == 0 ? milliseconds(0) : kOpeningTimes[retransmission - 1];
  queue_.After(kOpeningTimes[retransmission] - before,
               [this, one, attempt, retransmission] {
                 if (one->attempt == attempt)
                   SendOpening(one, retransmission + 1);
               });
}

// Routers send a packet to an instance of the caller's data centre that was
// ready a moment ago, by a hash of its two ends.
void fleet_model::SendPacket(const request_ref& one,
                             const flow_packet& packet) {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const entry_state& each = entries_[i];
    if (each.data_centre != one->data_centre) continue;
    const bool was_ready = each.ready ? Now() - each.ready_since > kRouterLag
                                      : Now() - each.not_ready_at < kRouterLag;
    if (was_ready) ready.push_back(i);
  }
  if (ready.empty()) return;
  const std::size_t to =
      ready[std::hash<flow_key>()(packet.flow) % ready.size()];
  const on_the_way sent{one, one->on, one->attempt, packet};
  queue_.After(kToCaller, [this, sent, to] { ReachEntry(sent, to); });
}

void fleet_model::ReachEntry(const on_the_way& sent, std::size_t i) {
  if (entries_[i].instance == nullptr) return;
  const forward_decision verdict =
      entries_[i].instance->Route(Now(), sent.packet);
  if (std::holds_alternative<reset_caller>(verdict)) {
    const bool refused = sent.packet.opens;
    if (!refused && targets_[sent.on->target].alive) ++result_.broken_flows;
    queue_.After(kToCaller, [this, sent, refused] {
      sent.on->closed = true;
      if (sent.IsCurrent()) EndTry(sent.one, refused, refused);
    });
    return;
  }
  const auto* forward = std::get_if<forward_to_target>(&verdict);
  if (forward == nullptr) return;
  const std::size_t to = target_index_.at(forward->target->report.id);
  const target_tag tag = forward->target->tag;
  queue_.After(PathTo(sent.on->data_centre, to),
               [this, sent, to, tag] { ReachTarget(sent, to, tag); });
}

void fleet_model::ReachTarget(const on_the_way& sent, std::size_t i,
                              target_tag tag) {
  if (!sent.IsCurrent() || !targets_[i].alive) return;
  if (sent.packet.opens) {
    sent.on->tag = tag;
    ++targets_[i].open_flows;
    queue_.After(PathTo(sent.on->data_centre, i) + kToCaller, [this, sent, i] {
      if (!sent.IsCurrent() || sent.on->open) return;
      sent.on->target = i;
      Opened(sent.one);
    });
  } else if (sent.packet.data_bytes > 0 && !sent.one->reached_target) {
    sent.one->reached_target = true;
    TakeRequest(i, sent.one);
  }
}

void fleet_model::Opened(const request_ref& one) {
  one->on->open = true;
  one->on->acknowledged = 1;
  ++result_.flows;
  SendRequest(one, kFirstResend);
}

void fleet_model::SendRequest(const request_ref& one,
                              milliseconds again_after) {
  const std::uint64_t attempt = one->attempt;
  if (one->done || one->reached_target) return;
  one->sent_on_open_flow = true;
  flow_packet packet = PacketOf(*one->on);
  packet.data_bytes = 100;
  SendPacket(one, packet);
  queue_.After(again_after, [this, one, attempt, again_after] {
    if (one->attempt != attempt) return;
    SendRequest(one, std::min(again_after * 2, kLongestResend));
  });
}

void fleet_model::TakeRequest(std::size_t i, const request_ref& one) {
  target_state& at = targets_[i];
  ++at.requests;
  if (at.busy < at.service->slots) {
    Work(i, one);
  } else if (at.waiting.size() < at.service->queue) {
    at.waiting.push_back(one);
  } else {
    const std::uint64_t attempt = one->attempt;
    queue_.After(PathTo(one->data_centre, i) + kToCaller, [this, one, attempt] {
      if (one->attempt == attempt) EndTry(one, true, true);
    });
  }
}

void fleet_model::Work(std::size_t i, const request_ref& one) {
  target_state& at = targets_[i];
  ++at.busy;
  const model_class& kind = scenario_.classes[one->class_index];
  // Half of the work is the same for each request.
  std::exponential_distribution<double> varies(
      2.0 / static_cast<double>(microseconds(kind.work).count()));
  const auto took = microseconds(kind.work) / 2 +
                    microseconds(static_cast<std::int64_t>(varies(random_)));
  const std::uint64_t attempt = one->attempt;
  queue_.After(took, [this, i, one, attempt] { EndWork(i, attempt, one); });
}

void fleet_model::EndWork(std::size_t i, std::uint64_t attempt,
                          const request_ref& one) {
  target_state& at = targets_[i];
  if (!at.alive) return;
  --at.busy;
  if (!at.waiting.empty()) {
    const request_ref next = at.waiting.front();
    at.waiting.pop_front();
    Work(i, next);
  }
  queue_.After(PathTo(one->data_centre, i) + kToCaller, [this, one, attempt] {
    if (one->attempt == attempt && !one->done) Served(one);
  });
}

void fleet_model::Served(const request_ref& one) {
  const model_class& kind = scenario_.classes[one->class_index];
  one->done = true;
  const auto took =
      std::chrono::duration_cast<microseconds>(Now() - one->asked);
  if (IsCounted(*one)) {
    class_result& counts = result_.classes[kind.name];
    ++(took <= kind.aim ? counts.in_aim : counts.late);
    counts.took.push_back(took);
  }
  const flow_ref on = one->on;
  on->acknowledged += kind.answer_packets * 1000;
  on->sequence += 100;
  if (kind.answer_packets > 1) SendPacket(one, PacketOf(*on));
  const bool draining =
      targets_[on->target].report.phase == target_phase::kDraining;
  if (kind.keeps_flows && ++on->requests < kRequestsPerFlow && !draining) {
    idle_[{on->class_index, on->data_centre}].push_back(on);
  } else {
    on->closed = true;
    --targets_[on->target].open_flows;
  }
}

void fleet_model::EndTry(const request_ref& one, bool refused,
                         bool may_repeat) {
  if (one->done) return;
  ++one->attempt;
  const model_class& kind = scenario_.classes[one->class_index];
  if ((!may_repeat && !kind.repeatable) || one->tries >= kTries) {
    Finish(one, refused);
    return;
  }
  queue_.After(kBackoff * one->tries, [this, one] { Try(one); });
}

void fleet_model::Finish(const request_ref& one, bool refused) {
  one->done = true;
  ++one->attempt;
  if (!IsCounted(*one)) return;
  class_result& counts =
      result_.classes[scenario_.classes[one->class_index].name];
  ++(refused ? counts.refused : counts.failed);
}

bool fleet_model::IsCounted(const request_state& one) const {
  // Those asked last may still be under way at the end.
  return one.asked >= traffic_from_ + scenario_.warm_up &&
         one.asked + scenario_.classes[one.class_index].deadline <
             traffic_from_ + scenario_.time;
}

model_result fleet_model::Results() {
  for (const model_service& service : scenario_.services) {
    double most = 0;
    double sum = 0;
    int count = 0;
    for (const target_state& one : targets_) {
      if (one.service != &service || !one.left_alone) continue;
      most = std::max(most, static_cast<double>(one.requests));
      sum += static_cast<double>(one.requests);
      ++count;
    }
    result_.imbalance[service.name] = sum > 0 ? most * count / sum : 0;
  }
  return std::move(result_);
}

}  // namespace lavendertack
