#include "Forwarding/data_centre_reachability.h"

#include <catch2/catch.hpp>
#include <functional>

#include "Forwarding/flow_router.h"

namespace lavendertack {
namespace {

const data_centre_name kOwn{"a"};
const data_centre_name kOther{"b"};
const data_centre_name kThird{"c"};

// Another data centre, in contact until the start, of which nothing arrives
// afterwards. The control instances of the third one are in contact.
class silent_data_centre {
 public:
  silent_data_centre() {
    reachability.RecordUpdate(now, kOther);
    reachability.RecordAnswered(now, kOther);
  }
  void LeaveUnanswered(int packets) {
    for (int i = 0; i < packets; ++i) reachability.RecordUnanswered(kOther);
  }
  // A control instance tells that it received the last message from the other
  // data centre `silent` ago.
  void Tell(milliseconds silent, bool has_entries) {
    reachability.RecordActivity(now, kOther, now - silent, has_entries);
  }
  bool IsSuspected() const { return reachability.IsSuspected(now, kOther); }
  bool IsUnreachable() const { return reachability.IsUnreachable(now, kOther); }

  data_centre_reachability reachability{{.own = kOwn}};
  const instant start{seconds(100)};
  instant now = start;
};

TEST_CASE("a data centre is suspected if nothing of it arrives") {
  silent_data_centre other;
  other.LeaveUnanswered(3);
  REQUIRE_FALSE(other.IsSuspected());
  other.now += milliseconds(799);
  REQUIRE_FALSE(other.IsSuspected());
  other.now += milliseconds(1);
  REQUIRE(other.IsSuspected());
  REQUIRE_FALSE(other.IsUnreachable());

  SECTION("until an update arrives") {
    other.reachability.RecordUpdate(other.now, kOther);
    REQUIRE_FALSE(other.IsSuspected());
    SECTION("and again in the next cut") {
      other.now += milliseconds(800);
      REQUIRE(other.IsSuspected());
    }
  }
  SECTION("until a target answers") {
    other.reachability.RecordAnswered(other.now, kOther);
    REQUIRE_FALSE(other.IsSuspected());
  }
}

TEST_CASE("a suspected data centre becomes unreachable") {
  silent_data_centre other;
  other.LeaveUnanswered(3);

  SECTION("1.2 s after the last message of its entry instances anywhere") {
    other.now += milliseconds(1199);
    other.Tell(milliseconds(1199), true);
    REQUIRE_FALSE(other.IsUnreachable());
    other.now += milliseconds(1);
    REQUIRE(other.IsUnreachable());
    const auto found = other.reachability.TakeUnreachable(other.now);
    REQUIRE(found.size() == 1);
    REQUIRE(found.front().name == kOther);
    REQUIRE(found.front().silent == milliseconds(1200));
    REQUIRE(found.front().unanswered == 3);
    REQUIRE(found.front().is_confirmed);
    REQUIRE(other.reachability.TakeUnreachable(other.now).empty());

    SECTION("until a control instance tells of a newer one") {
      other.Tell(milliseconds(200), true);
      REQUIRE_FALSE(other.IsUnreachable());
      REQUIRE(other.reachability.TakeUnreachable(other.now).empty());
      SECTION("and again in the next cut") {
        other.now += milliseconds(1000);
        other.Tell(milliseconds(1200), true);
        REQUIRE(other.reachability.TakeUnreachable(other.now).size() == 1);
      }
    }
    SECTION("until a target answers") {
      other.reachability.RecordAnswered(other.now, kOther);
      REQUIRE_FALSE(other.IsUnreachable());
    }
  }
  SECTION("later without entry instances: its targets report less often") {
    other.now += milliseconds(2499);
    other.Tell(milliseconds(2499), false);
    REQUIRE_FALSE(other.IsUnreachable());
    other.now += milliseconds(1);
    REQUIRE(other.IsUnreachable());
  }
  SECTION("later without word of a control instance") {
    other.now += milliseconds(2499);
    REQUIRE_FALSE(other.IsUnreachable());
    other.now += milliseconds(1);
    REQUIRE(other.IsUnreachable());
    REQUIRE_FALSE(
        other.reachability.TakeUnreachable(other.now).front().is_confirmed);
    SECTION("but not while targets elsewhere answer") {
      other.reachability.RecordAnswered(other.now, kThird);
      REQUIRE_FALSE(other.IsUnreachable());
      SECTION("unless that is the own data centre") {
        other.now += milliseconds(400);
        other.reachability.RecordAnswered(other.now, kOwn);
        REQUIRE(other.IsUnreachable());
      }
    }
  }
  SECTION("by no word that is old") {
    other.Tell(milliseconds(0), true);
    other.now += milliseconds(2400);
    REQUIRE_FALSE(other.IsUnreachable());
  }
}

// The control instance of a data centre is frozen, and one of its targets
// leaves with packets unanswered. All connections to the other targets there
// used to be reset.
TEST_CASE("a data centre with signs of life isn't unreachable") {
  silent_data_centre other;
  std::function<void()> tell;
  SECTION("its targets report to other control instances") {
    tell = [&] { other.Tell(milliseconds(1200 + 500), false); };
  }
  SECTION("its entry instances send requests to other control instances") {
    tell = [&] { other.Tell(milliseconds(500 + 250), true); };
  }
  SECTION("its messages arrive at only one of the other control instances") {
    tell = [&] {
      other.Tell(milliseconds(750), true);
      other.Tell(seconds(20), true);
    };
  }
  for (int i = 0; i < 40; ++i) {
    other.now += milliseconds(250);
    other.LeaveUnanswered(3);
    tell();
    REQUIRE_FALSE(other.IsUnreachable());
  }
}

// Guards against resets of connections that work.
TEST_CASE("one sign alone doesn't make a data centre unreachable") {
  silent_data_centre other;
  SECTION("its instances were killed, its targets answer") {
    other.LeaveUnanswered(2);
    other.now += seconds(10);
    other.Tell(seconds(10), true);
    REQUIRE_FALSE(other.IsSuspected());
    other.reachability.RecordAnswered(other.now, kOther);
    other.LeaveUnanswered(100);
    other.now += milliseconds(399);
    REQUIRE_FALSE(other.IsSuspected());
    REQUIRE_FALSE(other.IsUnreachable());
  }
  SECTION("its targets are slow, its control instances send updates") {
    other.LeaveUnanswered(100);
    other.now += seconds(10);
    other.reachability.RecordUpdate(other.now, kOther);
    other.now += milliseconds(799);
    REQUIRE_FALSE(other.IsSuspected());
    REQUIRE_FALSE(other.IsUnreachable());
  }
  SECTION("it has no control instances") {
    data_centre_reachability without{{.own = kOwn}};
    without.RecordAnswered(other.now, kOther);
    for (int i = 0; i < 10; ++i) without.RecordUnanswered(kOther);
    REQUIRE_FALSE(without.IsSuspected(other.now + seconds(10), kOther));
    REQUIRE_FALSE(without.IsUnreachable(other.now + seconds(10), kOther));
  }
  SECTION("no target there has answered yet") {
    data_centre_reachability started{{.own = kOwn}};
    started.RecordUpdate(other.now, kOther);
    for (int i = 0; i < 10; ++i) started.RecordUnanswered(kOther);
    REQUIRE_FALSE(started.IsSuspected(other.now + seconds(10), kOther));
    REQUIRE_FALSE(started.IsUnreachable(other.now + seconds(10), kOther));
  }
  SECTION("it is the own data centre") {
    data_centre_reachability own{{.own = kOther}};
    own.RecordUpdate(other.now, kOther);
    own.RecordAnswered(other.now, kOther);
    for (int i = 0; i < 10; ++i) own.RecordUnanswered(kOther);
    REQUIRE_FALSE(own.IsUnreachable(other.now + seconds(10), kOther));
  }
}

// After a suspension no update has arrived for long, and packets that callers
// retransmitted meanwhile are read at once.
TEST_CASE(
    "a suspension of the process doesn't make a data centre unreachable") {
  silent_data_centre other;
  other.now += seconds(5);
  other.reachability.Discard(other.now);
  other.LeaveUnanswered(50);
  REQUIRE_FALSE(other.IsSuspected());
  REQUIRE_FALSE(other.IsUnreachable());
  other.now += milliseconds(999);
  REQUIRE_FALSE(other.IsSuspected());
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
  flow_router router(&state, {.own = {"a"}}, 1);
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
  SECTION("only once it is certain") {
    REQUIRE_FALSE(is_reset(send(1, "b", 500, 4000)));
    REQUIRE(router.TakeUnreachableFlows(now).flows.empty());
  }
  SECTION("new ones go to targets on their side before") {
    for (std::uint16_t port = 100; port < 120; ++port) {
      const auto decision = router.Route(
          now,
          {.flow = {{{0x64400000}, {port}}, route_address}, .opens = true});
      REQUIRE(std::get<forward_to_target>(decision)
                  .target->report.data_centre.value == "a");
    }
  }
  wait(milliseconds(700));
  router.RecordActivity(now, {"b"}, now - milliseconds(1600), true);
  SECTION("at their next packet") {
    REQUIRE(is_reset(send(1, "b", 500, 4000)));
    REQUIRE_FALSE(is_reset(send(4, "a", 500, 4000)));
  }
  SECTION("and idle ones at once") {
    const auto taken = router.TakeUnreachableFlows(now);
    REQUIRE(taken.data_centres.size() == 1);
    REQUIRE(taken.flows.size() == 4);
    REQUIRE(taken.flows.front().reason == forward_reason::kUnreachable);
    REQUIRE(router.TakeUnreachableFlows(now).flows.empty());
  }
  SECTION("not any more after it") {
    router.RecordUpdate(now, {"b"});
    REQUIRE_FALSE(is_reset(send(1, "b", 500, 4000)));
  }
}

}  // namespace
}  // namespace lavendertack
