// Measures how long the reducer of one instance takes per event and how much
// heap memory it needs per open flow. Prints a table. The figures are
// meaningful only for a release build.
#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>

#include "Node/node.h"
#include "Wire/codec.h"

DEFINE_int32(flows, 100'000, "Number of flows to open.");
DEFINE_int32(targets, 14, "Number of targets of the service.");
DEFINE_int32(events, 200'000, "Number of events of each kind to measure.");

namespace lavendertack {
namespace {

service_name ServiceName() { return {"catalogue"}; }
caller_address CallerAddress() { return {"127.0.0.1:40000"}; }

change_ticket ConfigurationTicket() {
  change_ticket ticket{.number = {1}};
  ticket.classes.push_back({{"browse"}, {1}, false});
  ticket.services.push_back({.name = ServiceName(),
                             .classes = {{"browse"}},
                             .flow_idle = seconds(3600)});
  return ticket;
}

announcement TargetAnnouncement(int i) {
  return {.target = {"catalogue-" + std::to_string(i)},
          .service = ServiceName(),
          .boot = {1},
          .state = target_state::kReady,
          .slots = 2,
          .connections = 1'000'000,
          .reported_busy = 0};
}

// The only instance of a deployment; it owns every service.
class benchmark_instance {
 public:
  benchmark_instance()
      : node_({.self = {"a"},
               .data_centre = {"dc"},
               .deployment = "bench",
               .replica = true,
               .members = {{.name = {"a"},
                            .data_centre = {"dc"},
                            .replica = true,
                            .last_heartbeat_at = std::nullopt,
                            .last_heartbeat = {}}},
               .incarnation = 1,
               .seed = 1}) {}

  std::vector<node_effect> Reduce(const node_event& event) {
    now_ += microseconds(1);
    return node_.Reduce(now_, event);
  }

  // Configures the service and announces its targets, with timer ticks between
  // the steps.
  void SetUp() {
    for (int i = 0; i < 20; ++i) Tick();
    Reduce(ticket_submitted{{1}, ConfigurationTicket()});
    for (int i = 0; i < 20; ++i) Tick();
    for (int i = 0; i < FLAGS_targets; ++i) {
      Reduce(target_announcement_received{{"c" + std::to_string(i)},
                                          TargetAnnouncement(i)});
    }
    for (int i = 0; i < 100; ++i) Tick();
  }

  void Tick() {
    now_ += milliseconds(10);
    node_.Reduce(now_, node_tick{});
  }

  // Opens the flow `id`. Returns its token, or nothing if it was refused.
  std::optional<flow_token> OpenFlow(std::uint64_t id) {
    for (const node_effect& effect :
         Reduce(caller_packet_received{CallerAddress(),
                                       {.flow = {id},
                                       .service = ServiceName(),
                                       .token = std::nullopt,
                                       .body = open_flow{}}})) {
      if (const auto* answer = std::get_if<send_answer>(&effect)) {
        if (answer->answer.kind == answer_kind::kOpened) {
          return answer->answer.token;
        }
      }
    }
    return std::nullopt;
  }

 private:
  node node_;
  instant now_;
};

// Bytes that are currently allocated on the heap.
std::size_t HeapBytes() { return mallinfo2().uordblks; }

// Mean time of a call of `action`, which gets the number of the call from 0.
double NanosecondsPerCall(int calls, const std::function<void(int)>& action) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) action(i);
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / calls;
}

void Print(const std::string& label, double value, const std::string& unit) {
  std::cout << std::left << std::setw(44) << label << std::right << std::fixed
            << std::setprecision(0) << std::setw(10) << value << " " << unit
            << "\n";
}

void RunBenchmarks() {
  benchmark_instance bench;
  bench.SetUp();
  std::vector<flow_token> tokens;
  tokens.reserve(static_cast<std::size_t>(FLAGS_flows));
  const std::size_t heap_before = HeapBytes();
  const double open_ns = NanosecondsPerCall(FLAGS_flows, [&](int i) {
    if (auto token = bench.OpenFlow(static_cast<std::uint64_t>(i) + 1)) {
      tokens.push_back(*token);
    }
  });
  const std::size_t token_bytes = tokens.size() * sizeof(flow_token);
  std::cout << "flows " << tokens.size() << ", targets " << FLAGS_targets
            << "\n";
  if (tokens.empty()) return;
  Print("open a flow", open_ns, "ns");
  Print("heap per open flow",
        static_cast<double>(HeapBytes() - heap_before - token_bytes) /
            static_cast<double>(tokens.size()),
        "bytes");
  Print("keep-alive of an open flow",
        NanosecondsPerCall(FLAGS_events,
                           [&](int i) {
                             const std::size_t index =
                                 static_cast<std::size_t>(i) % tokens.size();
                             bench.Reduce(caller_packet_received{
                                 CallerAddress(),
                                 {.flow = {index + 1},
                                  .service = ServiceName(),
                                  .token = tokens[index],
                                  .body = keep_alive{}}});
                           }),
        "ns");
  Print("announcement",
        NanosecondsPerCall(FLAGS_events,
                           [&](int i) {
                             const int index = i % FLAGS_targets;
                             bench.Reduce(target_announcement_received{
                                 {"c" + std::to_string(index)},
                                 TargetAnnouncement(index)});
                           }),
        "ns");
  Print("tick", NanosecondsPerCall(200, [&](int) { bench.Tick(); }), "ns");
}

}  // namespace
}  // namespace lavendertack

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  lavendertack::RunBenchmarks();
  return 0;
}
