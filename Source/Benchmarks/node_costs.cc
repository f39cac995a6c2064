// What one instance's reducer costs per event, and what it keeps per flow and
// per target. Prints a table; run from a release build.
#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>

#include "Node/node.h"
#include "Wire/codec.h"

DEFINE_int32(flows, 100'000, "Open flows.");
DEFINE_int32(targets, 14, "Targets of the service in this data centre.");
DEFINE_int32(events, 200'000, "Events of each kind that are timed.");

namespace lavendertack {
namespace {

service_name Service() { return {"catalogue"}; }
caller_address Caller() { return {"127.0.0.1:40000"}; }

change_ticket FirstTicket() {
  change_ticket ticket{.number = {1}};
  ticket.classes.push_back({{"browse"}, {1}, false});
  ticket.services.push_back(
      {.name = Service(), .classes = {{"browse"}}, .flow_idle = seconds(3600)});
  return ticket;
}

announcement Announce(int i) {
  return {.target = {"catalogue-" + std::to_string(i)},
          .service = Service(),
          .boot = {1},
          .state = target_state::kReady,
          .slots = 2,
          .connections = 1'000'000,
          .reported_busy = 0};
}

// A node alone in its deployment: it owns every service.
class bench {
 public:
  bench()
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

  void Start() {
    for (int i = 0; i < 20; ++i) Tick();
    Reduce(ticket_submitted{{1}, FirstTicket()});
    for (int i = 0; i < 20; ++i) Tick();
    for (int i = 0; i < FLAGS_targets; ++i) {
      Reduce(target_announced{{"c" + std::to_string(i)}, Announce(i)});
    }
    for (int i = 0; i < 100; ++i) Tick();
  }

  void Tick() {
    now_ += milliseconds(10);
    node_.Reduce(now_, node_tick{});
  }

  // Opens flow `id`; its token, or nothing when it was refused.
  std::optional<flow_token> Open(std::uint64_t id) {
    for (const node_effect& effect :
         Reduce(caller_packet_received{Caller(),
                                       {.flow = {id},
                                       .service = Service(),
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

std::size_t HeapBytes() { return mallinfo2().uordblks; }

double NanosecondsEach(int count, const std::function<void(int)>& action) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) action(i);
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / count;
}

void Print(const std::string& what, double value, const std::string& unit) {
  std::cout << std::left << std::setw(44) << what << std::right << std::fixed
            << std::setprecision(0) << std::setw(10) << value << " " << unit
            << "\n";
}

void RunAll() {
  bench b;
  b.Start();
  std::vector<flow_token> tokens;
  tokens.reserve(static_cast<std::size_t>(FLAGS_flows));
  const std::size_t before = HeapBytes();
  const double open_ns = NanosecondsEach(FLAGS_flows, [&](int i) {
    if (auto token = b.Open(static_cast<std::uint64_t>(i) + 1)) {
      tokens.push_back(*token);
    }
  });
  const std::size_t own = tokens.size() * sizeof(flow_token);
  std::cout << "flows " << tokens.size() << ", targets " << FLAGS_targets
            << "\n";
  if (tokens.empty()) return;
  Print("open a flow", open_ns, "ns");
  Print("heap per open flow",
        static_cast<double>(HeapBytes() - before - own) /
            static_cast<double>(tokens.size()),
        "bytes");
  Print("keep-alive of an open flow",
        NanosecondsEach(
            FLAGS_events,
            [&](int i) {
              const std::size_t k = static_cast<std::size_t>(i) % tokens.size();
              b.Reduce(caller_packet_received{Caller(),
                                              {.flow = {k + 1},
                                               .service = Service(),
                                               .token = tokens[k],
                                               .body = keep_alive{}}});
            }),
        "ns");
  Print(
      "announcement",
      NanosecondsEach(
          FLAGS_events,
          [&](int i) {
            const int k = i % FLAGS_targets;
            b.Reduce(target_announced{{"c" + std::to_string(k)}, Announce(k)});
          }),
      "ns");
  Print("tick", NanosecondsEach(200, [&](int) { b.Tick(); }), "ns");
}

}  // namespace
}  // namespace lavendertack

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  lavendertack::RunAll();
  return 0;
}
