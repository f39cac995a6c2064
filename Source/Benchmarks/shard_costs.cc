// Measures one service shard: goodput by class under overload against first
// come first served, how evenly flows are spread, what an event and a flow
// cost, and how long a target that turned cold takes to be whole again.
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

constexpr double kServiceUs = 25'000;
constexpr std::uint32_t kSlots = 2;
constexpr std::array<milliseconds, 2> kDeadline{milliseconds(300),
                                                milliseconds(1000)};

struct later {
  instant when;
  std::function<void()> action;
  bool operator<(const later& other) const { return when > other.when; }
};

// Callers that send at random times and targets with exponential times.
class overload_run {
 public:
  overload_run(int targets, double load, bool first_come)
      : first_come_(first_come),
        targets_(targets),
        gap_us_(kServiceUs / (kSlots * targets * load)),
        busy_(static_cast<std::size_t>(targets)),
        waiting_(static_cast<std::size_t>(targets)) {
    view_.classes = {{{"hold"}, {9}}, {{"browse"}, {1}}};
    Announce();
    for (std::uint64_t flow = 1; flow <= kFlows; ++flow) {
      Packet(flow, open_flow{});
    }
    At(microseconds(0), [this] { Tick(); });
    At(microseconds(0), [this] { Arrive(); });
  }

  void RunFor(milliseconds time) {
    const instant end = now_ + time;
    while (!queue_.empty() && queue_.top().when <= end) {
      later next = queue_.top();
      queue_.pop();
      now_ = next.when;
      next.action();
    }
    now_ = end;
  }
  void ResetCounts() {
    offered = {0, 0};
    good = {0, 0};
    refused = {0, 0};
  }
  const target_record& Target(int index) const {
    return shard_.targets().at({"t" + std::to_string(index)});
  }
  std::uint64_t collapses() const { return shard_.counters().collapses; }

  std::array<std::uint64_t, 2> offered{}, good{}, refused{};
  double slow_factor = 1;  // Of target 0.

 private:
  static constexpr std::uint64_t kFlows = 1400;

  struct job {
    std::uint64_t flow;
    std::uint64_t number;
    instant deadline;
  };

  // 0: urgent, 1: patient; each target has flows of both.
  static std::size_t KindOf(std::uint64_t flow) { return flow / 14 % 2; }
  void At(microseconds delay, std::function<void()> action) {
    queue_.push({now_ + delay, std::move(action)});
  }
  void Announce() {
    for (int i = 0; i < targets_; ++i) {
      const std::string name = "t" + std::to_string(i);
      Reduce(shard_announced{{name},
                             {.target = {name},
                              .service = {"catalogue"},
                              .boot = {1},
                              .state = target_state::kReady,
                              .slots = kSlots,
                              .connections = 2000}});
    }
    At(milliseconds(200), [this] { Announce(); });
  }
  void Tick() {
    Reduce(shard_tick{});
    At(milliseconds(10), [this] { Tick(); });
  }
  void Packet(std::uint64_t flow, caller_body body) {
    caller_packet packet{{flow}, {"catalogue"}, std::nullopt, std::move(body)};
    if (auto it = tokens_.find(flow); it != tokens_.end()) {
      packet.token = it->second;
    }
    Reduce(shard_packet{std::move(packet), {"10.0.0.1:9"}});
  }
  double ServiceUs(int target) {
    std::exponential_distribution<> time(1 / kServiceUs);
    return time(random_) * (target == 0 ? slow_factor : 1.0);
  }
  void Arrive() {
    const std::uint64_t flow = 1 + random_() % kFlows;
    const std::size_t kind = KindOf(flow);
    ++offered[kind];
    const job work{flow, ++numbers_[flow], now_ + kDeadline[kind]};
    if (first_come_) {
      const int target = static_cast<int>(flow % targets_);
      waiting_[target].push_back(work);
      ServeFirstCome(target);
    } else {
      Packet(flow, run_request{{work.number},
                               {kind == 0 ? "hold" : "browse"},
                               kind == 1,
                               kDeadline[kind],
                               ""});
    }
    std::exponential_distribution<> gap(1 / gap_us_);
    At(microseconds(static_cast<std::int64_t>(gap(random_))),
       [this] { Arrive(); });
  }
  void ServeFirstCome(int target) {
    while (busy_[target] < kSlots && !waiting_[target].empty()) {
      const job work = waiting_[target].front();
      waiting_[target].pop_front();
      ++busy_[target];
      At(microseconds(static_cast<std::int64_t>(ServiceUs(target))),
         [this, target, work] {
           --busy_[target];
           if (now_ <= work.deadline) ++good[KindOf(work.flow)];
           ServeFirstCome(target);
         });
    }
  }
  void Reduce(const shard_event& event) {
    for (shard_effect& effect : shard_.Reduce(now_, view_, event)) {
      if (auto* answer = std::get_if<send_answer>(&effect)) {
        const caller_answer& a = answer->answer;
        if (a.token) tokens_[a.flow.value] = *a.token;
        const std::size_t kind = KindOf(a.flow.value);
        if (a.kind == answer_kind::kServed) ++good[kind];
        if (a.kind == answer_kind::kNotRun) ++refused[kind];
      } else if (auto* run = std::get_if<send_run>(&effect)) {
        const int target = std::stoi(run->to.value.substr(1));
        At(microseconds(static_cast<std::int64_t>(ServiceUs(target))),
           [this, to = run->to, attempt = run->order.attempt] {
             Reduce(shard_answered{to, {.attempt = attempt}});
           });
      }
    }
  }

  bool first_come_;
  int targets_;
  double gap_us_;
  std::mt19937_64 random_{1};
  instant now_;
  std::priority_queue<later> queue_;
  service_shard shard_{{{"catalogue"}, {"nairobi"}, {1}, 1}};
  shard_view view_;
  std::map<std::uint64_t, flow_token> tokens_;
  std::map<std::uint64_t, std::uint64_t> numbers_;
  std::vector<std::uint32_t> busy_;
  std::vector<std::deque<job>> waiting_;
};

void MeasureGoodput() {
  std::printf(
      "goodput, share of the offered; 14 targets, half of it urgent\n"
      "load  shard urgent  shard patient  fcfs urgent  fcfs patient\n");
  for (double load : {0.5, 1.0, 2.0, 5.0}) {
    std::array<double, 4> share{};
    for (int first_come = 0; first_come < 2; ++first_come) {
      overload_run run(14, load, first_come == 1);
      run.RunFor(seconds(20));
      run.ResetCounts();
      run.RunFor(seconds(20));
      for (int kind = 0; kind < 2; ++kind) {
        share[2 * first_come + kind] = static_cast<double>(run.good[kind]) /
                                       static_cast<double>(run.offered[kind]);
      }
    }
    std::printf("%4.1f  %12.3f  %13.3f  %11.3f  %12.3f\n", load, share[0],
                share[1], share[2], share[3]);
  }
}

void MeasureCollapse() {
  overload_run run(14, 0.6, false);
  run.RunFor(seconds(20));
  const auto before = run.collapses();
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
      "collapse at load 0.6: found within %d ms, limit %.2f of %u slots while "
      "cold, whole %d s after it was warm, %d other targets cold, %d alarms\n",
      detect_ms, cold_limit, kSlots, recover_s, others_cold,
      static_cast<int>(run.collapses() - before));
}

double Nanoseconds(const std::function<void()>& work, int times) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < times; ++i) work();
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / times;
}

void MeasureCosts(int targets, int flows) {
  service_shard shard({{"catalogue"}, {"nairobi"}, {1}, 1});
  shard_view view;
  view.classes = {{{"hold"}, {9}}};
  const instant now{seconds(100)};
  for (int i = 0; i < targets; ++i) {
    const std::string name = "t" + std::to_string(i);
    shard.Reduce(now, view,
                 shard_announced{{name},
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
  const double open_ns = Nanoseconds(
      [&] {
        caller_packet packet{
            {random()}, {"catalogue"}, std::nullopt, open_flow{}};
        for (auto& effect :
             shard.Reduce(now, view, shard_packet{packet, {"10.0.0.1:9"}})) {
          if (auto* answer = std::get_if<send_answer>(&effect)) {
            packet.token = answer->answer.token;
          }
        }
        packet.body = keep_alive{};
        packets.push_back(std::move(packet));
      },
      flows);
  // The packets lie in memory that was reserved before.
  const double bytes =
      static_cast<double>(mallinfo2().uordblks - bytes_before) / flows;
  const double packet_ns = Nanoseconds(
      [&] {
        shard.Reduce(
            now, view,
            shard_packet{packets[random() % packets.size()], {"10.0.0.1:9"}});
      },
      100'000);
  const double tick_ns =
      Nanoseconds([&] { shard.Reduce(now, view, shard_tick{}); }, 1000);
  std::uint32_t most = 0;
  for (const auto& [name, target] : shard.targets()) {
    most = std::max(most, target.flows);
  }
  std::vector<int> plain(static_cast<std::size_t>(targets));
  for (int i = 0; i < flows; ++i) ++plain[random() % plain.size()];
  const double mean = static_cast<double>(flows) / targets;
  std::printf("%7d  %8d  %7.0f  %9.0f  %7.0f  %10.0f  %8.3f  %10.3f\n", targets,
              flows, open_ns, packet_ns, tick_ns, bytes, most / mean,
              *std::max_element(plain.begin(), plain.end()) / mean);
}

}  // namespace
}  // namespace lavendertack

int main() {
  lavendertack::MeasureGoodput();
  lavendertack::MeasureCollapse();
  std::printf(
      "targets     flows  open ns  packet ns  tick ns  bytes/flow  max/mean  "
      "plain hash\n");
  for (int flows : {1'000, 100'000, 1'000'000}) {
    lavendertack::MeasureCosts(14, flows);
    lavendertack::MeasureCosts(2000, flows);
  }
}
