// Measures one service shard in virtual time: goodput by priority under
// overload, compared with first come, first served (FCFS); detection and
// recovery of a target that becomes cold. Also measures the time per event, the
// memory per flow and how evenly flows are spread over the targets.
//
// Usage: shard_costs
#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>

#include "Traffic/service_shard.h"

namespace lavendertack {
namespace {

// Mean service time of a request at a warm target, in microseconds.
constexpr double kMeanServiceUs = 25'000;
constexpr std::uint32_t kSlots = 2;  // Of each target.
// Deadlines of requests, by priority index.
constexpr std::array<milliseconds, 2> kDeadlines{milliseconds(300),
                                                 milliseconds(1000)};

struct scheduled_action {
  instant due;
  std::function<void()> action;
  bool operator<(const scheduled_action& other) const {
    return due > other.due;
  }
};

// Simulates callers with Poisson arrivals and targets with exponential service
// times. `load` is the offered load as a multiple of the targets' capacity.
// With `fcfs` each target has a plain FIFO queue in place of the shard.
class overload_simulation {
 public:
  overload_simulation(int targets, double load, bool fcfs)
      : fcfs_(fcfs),
        target_count_(targets),
        mean_gap_us_(kMeanServiceUs / (kSlots * targets * load)),
        busy_(static_cast<std::size_t>(targets)),
        queues_(static_cast<std::size_t>(targets)) {
    view_.classes = {{{"hold"}, {9}}, {{"browse"}, {1}}};
    AnnounceTargets();
    for (std::uint64_t flow = 1; flow <= kFlows; ++flow) {
      SendPacket(flow, open_flow{});
    }
    Schedule(microseconds(0), [this] { Tick(); });
    Schedule(microseconds(0), [this] { SendRequest(); });
  }

  // Simulates the next `duration`.
  void RunFor(milliseconds duration) {
    const instant end = now_ + duration;
    while (!actions_.empty() && actions_.top().due <= end) {
      scheduled_action next = actions_.top();
      actions_.pop();
      now_ = next.due;
      next.action();
    }
    now_ = end;
  }
  void ResetCounts() {
    offered = {0, 0};
    in_time = {0, 0};
    refused = {0, 0};
  }
  // The target's state in the shard.
  const target_record& Target(int index) const {
    return shard_.targets().at({"t" + std::to_string(index)});
  }
  std::uint64_t cold_detections() const {
    return shard_.counters().cold_detections;
  }

  // Counts of requests by priority index: sent, answered within the deadline
  // and refused.
  std::array<std::uint64_t, 2> offered{}, in_time{}, refused{};
  double slow_factor = 1;  // Multiplies the service times of target 0.

 private:
  static constexpr std::uint64_t kFlows = 1400;

  struct queued_request {
    std::uint64_t flow;
    std::uint64_t number;
    instant deadline;
  };

  // Priority of the flow's requests: 0 is high, 1 is low. Each target has flows
  // of both priorities.
  static std::size_t PriorityIndex(std::uint64_t flow) { return flow / 14 % 2; }
  void Schedule(microseconds delay, std::function<void()> action) {
    actions_.push({now_ + delay, std::move(action)});
  }
  void AnnounceTargets() {
    for (int i = 0; i < target_count_; ++i) {
      const std::string name = "t" + std::to_string(i);
      Reduce(shard_announcement_received{{name},
                                         {.target = {name},
                                          .service = {"catalogue"},
                                          .boot = {1},
                                          .state = target_state::kReady,
                                          .slots = kSlots,
                                          .connections = 2000}});
    }
    Schedule(milliseconds(200), [this] { AnnounceTargets(); });
  }
  void Tick() {
    Reduce(shard_tick{});
    Schedule(milliseconds(10), [this] { Tick(); });
  }
  void SendPacket(std::uint64_t flow, caller_body body) {
    caller_packet packet{{flow}, {"catalogue"}, std::nullopt, std::move(body)};
    if (auto it = tokens_.find(flow); it != tokens_.end()) {
      packet.token = it->second;
    }
    Reduce(shard_packet_received{std::move(packet), {"10.0.0.1:9"}});
  }
  double RandomServiceUs(int target) {
    std::exponential_distribution<> duration(1 / kMeanServiceUs);
    return duration(random_) * (target == 0 ? slow_factor : 1.0);
  }
  // Sends a request on a random flow and schedules the next one.
  void SendRequest() {
    const std::uint64_t flow = 1 + random_() % kFlows;
    const std::size_t priority = PriorityIndex(flow);
    ++offered[priority];
    const queued_request request{flow, ++last_request_numbers_[flow],
                                 now_ + kDeadlines[priority]};
    if (fcfs_) {
      const int target = static_cast<int>(flow % target_count_);
      queues_[target].push_back(request);
      StartQueuedRequests(target);
    } else {
      SendPacket(flow, run_request{{request.number},
                                   {priority == 0 ? "hold" : "browse"},
                                   priority == 1,
                                   kDeadlines[priority],
                                   ""});
    }
    std::exponential_distribution<> gap(1 / mean_gap_us_);
    Schedule(microseconds(static_cast<std::int64_t>(gap(random_))),
             [this] { SendRequest(); });
  }
  // FCFS: starts requests while the target has free slots.
  void StartQueuedRequests(int target) {
    while (busy_[target] < kSlots && !queues_[target].empty()) {
      const queued_request request = queues_[target].front();
      queues_[target].pop_front();
      ++busy_[target];
      Schedule(microseconds(static_cast<std::int64_t>(RandomServiceUs(target))),
               [this, target, request] {
                 --busy_[target];
                 if (now_ <= request.deadline) {
                   ++in_time[PriorityIndex(request.flow)];
                 }
                 StartQueuedRequests(target);
               });
    }
  }
  void Reduce(const shard_event& event) {
    for (shard_effect& effect : shard_.Reduce(now_, view_, event)) {
      if (auto* answer = std::get_if<send_answer>(&effect)) {
        const caller_answer& a = answer->answer;
        if (a.token) tokens_[a.flow.value] = *a.token;
        const std::size_t priority = PriorityIndex(a.flow.value);
        if (a.kind == answer_kind::kServed) ++in_time[priority];
        if (a.kind == answer_kind::kNotRun) ++refused[priority];
      } else if (auto* run = std::get_if<send_run>(&effect)) {
        const int target = std::stoi(run->to.value.substr(1));
        Schedule(
            microseconds(static_cast<std::int64_t>(RandomServiceUs(target))),
            [this, to = run->to, attempt = run->order.attempt] {
              Reduce(shard_answer_received{to, {.attempt = attempt}});
            });
      }
    }
  }

  bool fcfs_;
  int target_count_;
  double mean_gap_us_;
  std::mt19937_64 random_{1};
  instant now_;
  std::priority_queue<scheduled_action> actions_;
  service_shard shard_{{{"catalogue"}, {"nairobi"}, {1}, 1}};
  shard_view view_;
  std::map<std::uint64_t, flow_token> tokens_;
  std::map<std::uint64_t, std::uint64_t> last_request_numbers_;
  std::vector<std::uint32_t> busy_;
  std::vector<std::deque<queued_request>> queues_;
};

// Compares the goodput of the shard and of FCFS for several loads.
void MeasureGoodput() {
  std::printf(
      "goodput as a fraction of the offered load; 14 targets, half high "
      "priority\n"
      "load    shard high      shard low    fcfs high      fcfs low\n");
  for (double load : {0.5, 1.0, 2.0, 5.0}) {
    std::array<double, 4> shares{};
    for (int fcfs = 0; fcfs < 2; ++fcfs) {
      overload_simulation run(14, load, fcfs == 1);
      run.RunFor(seconds(20));
      run.ResetCounts();
      run.RunFor(seconds(20));
      for (int priority = 0; priority < 2; ++priority) {
        shares[2 * fcfs + priority] =
            static_cast<double>(run.in_time[priority]) /
            static_cast<double>(run.offered[priority]);
      }
    }
    std::printf("%4.1f  %12.3f  %13.3f  %11.3f  %12.3f\n", load, shares[0],
                shares[1], shares[2], shares[3]);
  }
}

// Makes one target 8 times slower. Measures when the shard detects that the
// target is cold, and how long the target takes to get its full limit back
// afterwards.
void MeasureColdDetection() {
  overload_simulation run(14, 0.6, false);
  run.RunFor(seconds(20));
  const auto detections_before = run.cold_detections();
  run.slow_factor = 8;
  int detect_ms = 0;
  while (run.Target(0).ramp.warm() && detect_ms < 30'000) {
    run.RunFor(milliseconds(50));
    detect_ms += 50;
  }
  run.RunFor(seconds(5));
  const double cold_limit = run.Target(0).ramp.limit();
  run.slow_factor = 1;
  int recover_s = 0;
  while (!run.Target(0).ramp.warm() && recover_s < 120) {
    run.RunFor(seconds(1));
    ++recover_s;
  }
  int others_cold = 0;
  for (int i = 1; i < 14; ++i) others_cold += !run.Target(i).ramp.warm();
  std::printf(
      "cold target at load 0.6: detected within %d ms, limit %.2f of %u slots "
      "while cold, warm again %d s after the slowdown ended, %d other targets "
      "cold, %d detections\n",
      detect_ms, cold_limit, kSlots, recover_s, others_cold,
      static_cast<int>(run.cold_detections() - detections_before));
}

// Mean time of a call of `action`.
double NanosecondsPerCall(const std::function<void()>& action, int calls) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) action();
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / calls;
}

// Prints time per event, memory per flow and the ratio of the highest to the
// mean number of flows per target; the last for the shard and for plain
// hashing.
void MeasureCosts(int targets, int flows) {
  service_shard shard({{"catalogue"}, {"nairobi"}, {1}, 1});
  shard_view view;
  view.classes = {{{"hold"}, {9}}};
  const instant now{seconds(100)};
  for (int i = 0; i < targets; ++i) {
    const std::string name = "t" + std::to_string(i);
    shard.Reduce(now, view,
                 shard_announcement_received{{name},
                                             {.target = {name},
                                              .service = {"catalogue"},
                                              .boot = {1},
                                              .state = target_state::kReady,
                                              .slots = kSlots,
                                              .connections = 1'000'000}});
  }
  std::mt19937_64 random(7);
  std::vector<caller_packet> packets;
  packets.reserve(static_cast<std::size_t>(flows));
  const std::size_t bytes_before = mallinfo2().uordblks;
  const double open_ns = NanosecondsPerCall(
      [&] {
        caller_packet packet{
            {random()}, {"catalogue"}, std::nullopt, open_flow{}};
        for (auto& effect : shard.Reduce(
                 now, view, shard_packet_received{packet, {"10.0.0.1:9"}})) {
          if (auto* answer = std::get_if<send_answer>(&effect)) {
            packet.token = answer->answer.token;
          }
        }
        packet.body = keep_alive{};
        packets.push_back(std::move(packet));
      },
      flows);
  // Doesn't include the vector of packets, which was reserved before.
  const double bytes =
      static_cast<double>(mallinfo2().uordblks - bytes_before) / flows;
  const double packet_ns = NanosecondsPerCall(
      [&] {
        shard.Reduce(now, view,
                     shard_packet_received{packets[random() % packets.size()],
                                           {"10.0.0.1:9"}});
      },
      100'000);
  const double tick_ns =
      NanosecondsPerCall([&] { shard.Reduce(now, view, shard_tick{}); }, 1000);
  std::uint32_t max_flows = 0;
  for (const auto& [name, target] : shard.targets()) {
    max_flows = std::max(max_flows, target.flows);
  }
  std::vector<int> hash_flows(static_cast<std::size_t>(targets));
  for (int i = 0; i < flows; ++i) ++hash_flows[random() % hash_flows.size()];
  const double mean = static_cast<double>(flows) / targets;
  std::printf("%7d  %8d  %7.0f  %9.0f  %7.0f  %10.0f  %8.3f  %10.3f\n", targets,
              flows, open_ns, packet_ns, tick_ns, bytes, max_flows / mean,
              *std::max_element(hash_flows.begin(), hash_flows.end()) / mean);
}

}  // namespace
}  // namespace lavendertack

int main() {
  lavendertack::MeasureGoodput();
  lavendertack::MeasureColdDetection();
  std::printf(
      "targets     flows  open ns  packet ns  tick ns  bytes/flow  max/mean  "
      "plain hash\n");
  for (int flows : {1'000, 100'000, 1'000'000}) {
    lavendertack::MeasureCosts(14, flows);
    lavendertack::MeasureCosts(2000, flows);
  }
}
