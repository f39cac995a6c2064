// Measures the time and the heap allocations for one forwarded packet, for
// several numbers of flows.
//
// Usage: forward_costs
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <new>
#include <random>

#include "Forwarding/flow_router.h"

namespace {

std::uint64_t g_allocations = 0;  // Counted by operator new below.

}  // namespace

void* operator new(std::size_t size) {
  ++g_allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace lavendertack {
namespace {

constexpr int kTargetCount = 150;
constexpr int kPacketCount = 1'000'000;

// Forwards packets of random flows and prints the mean cost of a packet.
void MeasureForwarding(std::uint32_t flow_count) {
  routing_state state;
  state.has_manifest = true;
  const ipv4_endpoint service_address{{0xc6120001}, {443}};
  state.routes[service_address] = {.shares = {{{"desk"}, 1}}, .priority = 1};
  const instant now{seconds(100)};
  std::vector<target_tag> tags;
  for (int i = 0; i < kTargetCount; ++i) {
    target_report report{
        .id = {"i-" + std::to_string(i)},
        .version = {1, 1},
        .service = {"desk"},
        .address = {{static_cast<std::uint32_t>(0x0a000000 + i)}, {8080}},
        .data_centre = {"a"},
        .slots = 2};
    state.targets.Apply(now, {"10.0.0.1"}, report);
    tags.push_back(TagOf(report.id));
  }
  flow_router router(&state, {.own = {"a"}}, 1);
  router.Tick(now);
  std::mt19937 random(1);
  const auto make_packet = [&](std::uint32_t flow_number) {
    return flow_packet{.flow = {{{0x64400000 + flow_number},
                                 {static_cast<std::uint16_t>(1025)}},
                                service_address},
                       .tag = tags[flow_number % kTargetCount],
                       .data_bytes = 100};
  };
  // Warm-up, which isn't measured.
  for (int i = 0; i < kPacketCount / 10; ++i) {
    router.Route(now, make_packet(random() % flow_count));
  }
  const std::uint64_t allocations_before = g_allocations;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kPacketCount; ++i) {
    router.Route(now + microseconds(i), make_packet(random() % flow_count));
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  const double allocations =
      static_cast<double>(g_allocations - allocations_before) / kPacketCount;
  std::cout << flow_count << " flows: " << elapsed.count() / kPacketCount
            << " ns per packet, " << allocations << " allocations per packet\n";
}

}  // namespace
}  // namespace lavendertack

int main() {
  for (const std::uint32_t flow_count :
       {1'000U, 10'000U, 100'000U, 1'000'000U}) {
    lavendertack::MeasureForwarding(flow_count);
  }
}
