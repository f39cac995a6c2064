#include "Forwarding/data_centre_reachability.h"

#include <catch2/catch.hpp>

#include "Forwarding/flow_router.h"

namespace lavendertack {
namespace {

const data_centre_name kOther{"b"};

// A data centre in contact until `now`, of which nothing arrives afterwards.
struct contact_fixture {
  data_centre_reachability reachability;
  instant now{seconds(100)};

  contact_fixture() {
    reachability.RecordUpdate(now, kOther);
    reachability.RecordAnswered(now, kOther);
  }
  void LeaveUnanswered(int packets) {
    for (int i = 0; i < packets; ++i) reachability.RecordUnanswered(kOther);
  }
  bool IsUnreachable() const { return reachability.IsUnreachable(now, kOther); }
};

TEST_CASE("a data centre is unreachable if nothing of it arrives") {
  contact_fixture other;
  other.LeaveUnanswered(3);
  REQUIRE_FALSE(other.IsUnreachable());
  other.now += milliseconds(800);
  REQUIRE(other.IsUnreachable());
  REQUIRE(other.reachability.TakeLost(other.now) == std::vector{kOther});
  REQUIRE(other.reachability.TakeLost(other.now).empty());

  SECTION("until an update arrives") {
    other.reachability.RecordUpdate(other.now, kOther);
    REQUIRE_FALSE(other.IsUnreachable());
    REQUIRE(other.reachability.TakeLost(other.now).empty());
    SECTION("and again in the next cut") {
      other.now += milliseconds(800);
      REQUIRE(other.reachability.TakeLost(other.now) == std::vector{kOther});
    }
  }
  SECTION("until a target answers") {
    other.reachability.RecordAnswered(other.now, kOther);
    REQUIRE_FALSE(other.IsUnreachable());
  }
}

// Guards against resets of connections that work.
TEST_CASE("one sign alone doesn't make a data centre unreachable") {
  contact_fixture other;
  SECTION("its control instances were killed, its targets answer") {
    other.LeaveUnanswered(2);
    other.now += seconds(10);
    REQUIRE_FALSE(other.IsUnreachable());
    other.reachability.RecordAnswered(other.now, kOther);
    other.LeaveUnanswered(100);
    other.now += milliseconds(399);
    REQUIRE_FALSE(other.IsUnreachable());
  }
  SECTION("its targets are slow, its control instances send updates") {
    other.LeaveUnanswered(100);
    other.now += seconds(10);
    other.reachability.RecordUpdate(other.now, kOther);
    other.now += milliseconds(799);
    REQUIRE_FALSE(other.IsUnreachable());
  }
  SECTION("it has no control instances") {
    data_centre_reachability without;
    without.RecordAnswered(other.now, kOther);
    for (int i = 0; i < 10; ++i) without.RecordUnanswered(kOther);
    REQUIRE_FALSE(without.IsUnreachable(other.now + seconds(10), kOther));
  }
  SECTION("no target there has answered yet") {
    data_centre_reachability started;
    started.RecordUpdate(other.now, kOther);
    for (int i = 0; i < 10; ++i) started.RecordUnanswered(kOther);
    REQUIRE_FALSE(started.IsUnreachable(other.now + seconds(10), kOther));
  }
}

// After a suspension no update has arrived for long, and packets that callers
// retransmitted meanwhile are read at once.
TEST_CASE(
    "a suspension of the process doesn't make a data centre unreachable") {
  contact_fixture other;
  other.now += seconds(5);
  other.reachability.Discard(other.now);
  other.LeaveUnanswered(50);
  REQUIRE_FALSE(other.IsUnreachable());
  other.now += milliseconds(999);
  REQUIRE_FALSE(other.IsUnreachable());
}

// Replays callers of a data centre that is cut off: they have connections to
// targets on both sides. Each of their requests across the cut used to wait
// until its deadline.
TEST_CASE("callers get a reset on connections across a cut") {
  const service_name service{"desk"};
  const ipv4_endpoint route_address{{0xc6120001}, {8000}};
  routing_state state;
  state.has_manifest = true;
  state.routes[route_address] = {.shares = {{service, 1}}, .priority = 1};
  instant now{seconds(100)};
  for (const char* name : {"a", "b"}) {
    state.targets.Apply(now, {"10.0.0.1"},
                        {.id = {name},
                         .version = {1000, 1},
                         .service = service,
                         .address = {{static_cast<std::uint32_t>(*name)}, {80}},
                         .data_centre = {name},
                         .slots = 2});
  }
  flow_router router(&state, {"a"}, 1);
  const auto send = [&](std::uint16_t port, const char* target,
                        std::uint32_t data, std::uint32_t acknowledged) {
    return router.Route(now, {.flow = {{{0x64400000}, {port}}, route_address},
                              .tag = TagOf({target}),
                              .sequence = 1,
                              .acknowledged = acknowledged,
                              .data_bytes = data});
  };
  const auto is_reset = [](const forward_decision& decision) {
    const auto* reset = std::get_if<reset_caller>(&decision);
    return reset != nullptr && reset->reason == forward_reason::kUnreachable;
  };
  const auto wait = [&](milliseconds time) {
    for (const instant end = now + time; now < end; now += milliseconds(50)) {
      router.Tick(now);
    }
  };
  wait(milliseconds(1100));
  router.RecordUpdate(now, {"b"});
  for (std::uint16_t port = 1; port <= 8; ++port) {
    send(port, port % 2 == 0 ? "a" : "b", 500, 10);
    send(port, port % 2 == 0 ? "a" : "b", 0, 4000);
  }

  // The cut begins: nothing of "b" arrives, "a" answers.
  for (int copy = 0; copy < 2; ++copy) {
    for (const std::uint16_t port : {1, 3, 5}) send(port, "b", 500, 4000);
    send(2, "a", 500, 4000);
    send(2, "a", 0, 8000);
    wait(milliseconds(200));
  }
  REQUIRE_FALSE(is_reset(send(1, "b", 500, 4000)));
  wait(milliseconds(500));
  SECTION("at their next packet") {
    REQUIRE(is_reset(send(1, "b", 500, 4000)));
    REQUIRE_FALSE(is_reset(send(4, "a", 500, 4000)));
  }
  SECTION("and idle ones at once") {
    REQUIRE(router.TakeUnreachableFlows(now).size() == 4);
    REQUIRE(router.TakeUnreachableFlows(now).empty());
  }
  SECTION("and new ones go to targets on their side") {
    for (std::uint16_t port = 100; port < 120; ++port) {
      const auto decision = router.Route(
          now,
          {.flow = {{{0x64400000}, {port}}, route_address}, .opens = true});
      REQUIRE(std::get<forward_to_target>(decision)
                  .target->report.data_centre.value == "a");
    }
  }
  SECTION("not any more after it") {
    router.RecordUpdate(now, {"b"});
    REQUIRE_FALSE(is_reset(send(1, "b", 500, 4000)));
  }
}

}  // namespace
}  // namespace lavendertack
