// Cost of one forwarded packet, and the allocations that it makes, by the
// number of open connections. Usage: forward_costs
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <new>
#include <random>

#include "Forwarding/flow_router.h"

namespace {

std::uint64_t g_allocations = 0;

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

constexpr int kTargets = 150;
constexpr int kPackets = 1'000'000;

void Measure(std::uint32_t flows) {
  routing_state state;
  state.has_manifest = true;
  const ipv4_endpoint at{{0xc6120001}, {443}};
  state.routes[at] = {.shares = {{{"desk"}, 1}}, .priority = 1};
  const instant now{seconds(100)};
  std::vector<target_tag> tags;
  for (int i = 0; i < kTargets; ++i) {
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
  flow_router router(&state, {"a"}, 1);
  router.Tick(now);
  std::mt19937 random(1);
  const auto packet = [&](std::uint32_t flow) {
    return flow_packet{
        .flow = {{{0x64400000 + flow}, {static_cast<std::uint16_t>(1025)}}, at},
        .tag = tags[flow % kTargets],
        .data_bytes = 100};
  };
  for (int i = 0; i < kPackets / 10; ++i) {
    router.Route(now, packet(random() % flows));
  }
  const std::uint64_t before = g_allocations;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kPackets; ++i) {
    router.Route(now + microseconds(i), packet(random() % flows));
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  const double allocations =
      static_cast<double>(g_allocations - before) / kPackets;
  std::cout << flows << " flows: " << took.count() / kPackets
            << " ns a packet, " << allocations << " allocations\n";
}

}  // namespace
}  // namespace lavendertack

int main() {
  for (const std::uint32_t flows : {1'000U, 10'000U, 100'000U, 1'000'000U}) {
    lavendertack::Measure(flows);
  }
}
