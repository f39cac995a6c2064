#include <catch2/catch.hpp>

#include "Forwarding/flow_router.h"
#include "UnitTests/Forwarding/caller_load.h"

namespace lavendertack {
namespace {

const service_name kService{"catalogue"};
const ipv4_endpoint kUrgentRoute{{0xc6120001}, {443}};
const ipv4_endpoint kPatientRoute{{0xc6120001}, {8443}};
constexpr std::uint32_t kHeavyCaller = 0x64400000;
constexpr std::uint32_t kFirstCaller = 0x64410000;
constexpr std::uint32_t kCallers = 100;

// A router of a service under overload, with a fixed share to refuse.
class overloaded_router {
 public:
  explicit overloaded_router(double refused_share) {
    state.has_manifest = true;
    state.routes[kUrgentRoute] = {.shares = {{kService, 1}}, .priority = 1};
    state.routes[kPatientRoute] = {.shares = {{kService, 1}}, .priority = 2};
    state.priorities = PrioritiesOf(state.routes);
    state.demand[kService] = {{{"a"}, 1e6}};
    state.targets.Apply(start_, {"10.0.0.1"},
                        {.id = {"i-1"},
                         .version = {1000, 1},
                         .service = kService,
                         .address = {{0x0a000001}, {8080}},
                         .data_centre = {"a"},
                         .slots = 2,
                         .phase = target_phase::kReady});
    router.set_refusal_policy(
        [refused_share](double, std::uint32_t priority, const auto&) {
          return priority == 2 ? refused_share : 0;
        });
    MeasureResponseTime();
  }

  bool Refuses(instant now, const flow_packet& packet) {
    const auto decision = router.Route(now, packet);
    const auto* reset = std::get_if<reset_caller>(&decision);
    return reset != nullptr && reset->reason == forward_reason::kOverloaded;
  }

 private:
  // The pressure is 0 until a response has been timed.
  void MeasureResponseTime() {
    flow_packet packet{.flow = {{{1}, {1025}}, kUrgentRoute}, .opens = true};
    router.Tick(start_);
    router.Route(start_, packet);
    packet.opens = false;
    packet.tag = TagOf({"i-1"});
    packet.acknowledged = 1;
    packet.data_bytes = 100;
    router.Route(start_ + milliseconds(1), packet);
    packet.acknowledged = 4000;
    packet.data_bytes = 0;
    router.Route(start_ + milliseconds(40), packet);
  }

  instant start_{seconds(99)};

 public:
  routing_state state;
  flow_router router{&state, {.own = {"a"}}, 1};
};

// Replays one caller that asks for 20 times as much as each of 100 others. With
// its retries at once, the load is 1.5 times the capacity. An independent draw
// per opening refuses a third of everyone's openings.
TEST_CASE("one caller with many requests doesn't cost the others theirs") {
  overloaded_router overloaded(1 - 1 / 1.5);
  caller_load load(
      kPatientRoute,
      [&](instant now, const auto& packet) {
        return overloaded.Refuses(now, packet);
      },
      [&](instant now) { overloaded.router.Tick(now); });
  load.Add(kHeavyCaller, 1, 20);
  load.Add(kFirstCaller, kCallers, 1);
  load.Run(seconds(10));
  const auto counts = load.Run(seconds(60));
  const load_counts heavy = SumOf(counts, kHeavyCaller, kHeavyCaller + 1);
  const load_counts others =
      SumOf(counts, kFirstCaller, kFirstCaller + kCallers);
  load_counts all = heavy;
  all += others;
  CAPTURE(heavy.RefusedShare(), heavy.UnservedShare(), others.RefusedShare(),
          others.UnservedShare(), all.RefusedShare());

  SECTION("the others are hardly refused") {
    REQUIRE(others.RefusedShare() < 0.02);
  }
  SECTION("it isn't refused completely") {
    REQUIRE(heavy.UnservedShare() > 0.5);
    REQUIRE(heavy.UnservedShare() < 0.95);
  }
  SECTION("the total refused share is the required one") {
    REQUIRE(all.RefusedShare() == Approx(1 - 1 / 1.5).margin(0.02));
  }
}

// Retries mostly arrive at another instance. If it decided on its own, refused
// callers would get in there.
TEST_CASE("instances refuse a caller in the same periods") {
  constexpr milliseconds kStartDifference{123'456};
  overloaded_router first(0.5);
  overloaded_router second(0.5);
  const auto agreeing_decisions = [&] {
    std::size_t same = 0;
    caller_load load(
        kPatientRoute,
        [&](instant now, const auto& packet) {
          const bool refused = first.Refuses(now, packet);
          same +=
              second.Refuses(now + kStartDifference, packet) == refused ? 1 : 0;
          return false;
        },
        [&](instant now) {
          first.router.Tick(now);
          second.router.Tick(now + kStartDifference);
        });
    load.Add(kFirstCaller, kCallers, 1);
    const auto counts = load.Run(seconds(20));
    const load_counts all = SumOf(counts, 0, 0xffffffff);
    return 1.0 * static_cast<double>(same) / all.openings;
  };

  SECTION("with the same wall clock, though they started at different times") {
    second.router.set_wall_clock_offset(-kStartDifference);
    REQUIRE(agreeing_decisions() > 0.95);
  }
  SECTION("not with different wall clocks; refusals go on") {
    REQUIRE(agreeing_decisions() < 0.85);
  }
}

// A gap between ticks means that the process was suspended. What it had decided
// before is out of date.
TEST_CASE("decisions from before a suspension are discarded") {
  overloaded_router overloaded(0.5);
  caller_load load(
      kPatientRoute,
      [&](instant now, const auto& packet) {
        return overloaded.Refuses(now, packet);
      },
      [&](instant now) { overloaded.router.Tick(now); });
  load.Add(kHeavyCaller, 1, 100);
  load.Add(kFirstCaller, kCallers, 0.1);
  load.Run(seconds(10));
  const caller_shares& shares = overloaded.router.callers().begin()->second;
  REQUIRE(shares.above_share() > 0);
  SECTION("after regular ticks they aren't") {
    overloaded.router.Tick(load.now() + milliseconds(200));
    REQUIRE(shares.above_share() > 0);
  }
  SECTION("after a gap they are") {
    overloaded.router.Tick(load.now() + milliseconds(400));
    REQUIRE(shares.above_share() == 0);
  }
}

TEST_CASE("nothing changes without a refused share") {
  overloaded_router overloaded(0);
  caller_load load(
      kPatientRoute,
      [&](instant now, const auto& packet) {
        return overloaded.Refuses(now, packet);
      },
      [&](instant now) { overloaded.router.Tick(now); });
  load.Add(kHeavyCaller, 1, 100);
  const auto counts = load.Run(seconds(10));
  REQUIRE(counts.at({kHeavyCaller}).refused == 0);
}

TEST_CASE("callers are tracked only for routes that may be refused") {
  overloaded_router overloaded(0);
  const instant now{seconds(100)};
  const auto open = [&](const ipv4_endpoint& route) {
    overloaded.Refuses(
        now, {.flow = {{{kFirstCaller}, {1025}}, route}, .opens = true});
  };
  open(kUrgentRoute);
  REQUIRE(overloaded.router.callers().empty());
  open(kPatientRoute);
  REQUIRE(overloaded.router.callers().size() == 1);

  SECTION("until the route is removed") {
    overloaded.state.routes.erase(kPatientRoute);
    overloaded.state.priorities = PrioritiesOf(overloaded.state.routes);
    overloaded.router.Tick(now);
    REQUIRE(overloaded.router.callers().empty());
  }
}

}  // namespace
}  // namespace lavendertack
