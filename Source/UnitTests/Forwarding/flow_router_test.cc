#include "Forwarding/flow_router.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

const report_source kControl{"10.0.0.1"};
const ipv4_endpoint kRoute{{0xc6120001}, {443}};
const ipv4_endpoint kOtherRoute{{0xc6120002}, {443}};
const service_name kCatalogue{"catalogue"};
const service_name kGuides{"guides"};

// A router in data centre "a" with a routing state that the test fills.
class router_fixture {
 public:
  router_fixture() {
    state.has_manifest = true;
    state.routes[kRoute] = {.shares = {{kCatalogue, 1}}, .priority = 1};
  }

  void AddTarget(const std::string& id, const char* data_centre,
                 target_phase phase = target_phase::kReady,
                 const service_name& service = kCatalogue) {
    target_report report{.id = {id},
                         .version = {1000, ++sequence_},
                         .service = service,
                         .address = {{++next_ip_}, {8080}},
                         .data_centre = {data_centre},
                         .slots = 2,
                         .phase = phase,
                         .cold_left = milliseconds(0)};
    if (const auto* existing = state.targets.Find(report.id)) {
      report.address = existing->report.address;
    }
    state.targets.Apply(now, kControl, report);
  }

  // The target neither reports nor answers callers.
  void LoseTarget(const target_id& id) {
    target_report silence = state.targets.Find(id)->report;
    silence.phase = target_phase::kSilent;
    silence.unanswered = true;
    state.targets.Apply(now, kControl, silence);
  }

  // Another target reports with the address of `id`.
  void ReportAtAddressOf(const target_id& id, const std::string& by) {
    target_report report = state.targets.Find(id)->report;
    report.id = {by};
    report.version = {2000, 1};
    state.targets.Apply(now, kControl, report);
  }

  flow_packet OpeningPacket(std::uint32_t caller,
                            std::uint32_t retransmission = 0,
                            const ipv4_endpoint& route = kRoute) const {
    return {.flow = {{{0x64400000 + caller}, {1025}}, route},
            .opens = true,
            .retransmission = retransmission,
            .sequence = 7,
            .acknowledged = retransmission};
  }

  flow_packet FollowingPacket(std::uint32_t caller, const target_id& id,
                              std::uint32_t data = 100) const {
    return {.flow = {{{0x64400000 + caller}, {1025}}, kRoute},
            .tag = TagOf(id),
            .sequence = 8,
            .acknowledged = 99,
            .data_bytes = data};
  }

  // Sends an opening packet and returns the id of its target; empty when it was
  // refused.
  std::string OpenFlow(std::uint32_t caller, std::uint32_t retransmission = 0) {
    const forward_decision decision =
        router.Route(now, OpeningPacket(caller, retransmission));
    const auto* forward = std::get_if<forward_to_target>(&decision);
    return forward == nullptr ? "" : forward->target->report.id.value;
  }

  forward_reason ReasonOf(const flow_packet& packet) {
    return std::visit([](const auto& decision) { return decision.reason; },
                      router.Route(now, packet));
  }

  // A caller without a connection.
  std::uint32_t NextCaller() { return 10'000 + ++callers_; }

  // Opens `count` connections, 5 ms apart, and counts them by target id;
  // refused ones under an empty id.
  std::map<std::string, int> OpenFlows(int count) {
    std::map<std::string, int> opened;
    for (int i = 0; i < count; ++i) {
      const std::uint32_t caller = NextCaller();
      const std::string id = OpenFlow(caller);
      ++opened[id];
      if (!id.empty()) router.Route(now, FollowingPacket(caller, {id}));
      now += milliseconds(5);
    }
    return opened;
  }

  instant now{seconds(100)};
  routing_state state;
  flow_router router{&state, {.own = {"a"}}, 1};

 private:
  std::uint64_t sequence_ = 0;
  std::uint32_t next_ip_ = 0x0a000000;
  std::uint32_t callers_ = 0;
};

TEST_CASE("packets of an open connection are routed by their tag") {
  router_fixture setup;
  setup.AddTarget("i-1", "a");
  setup.AddTarget("i-2", "a");

  SECTION("without any state of the flow") {
    REQUIRE(setup.ReasonOf(setup.FollowingPacket(1, {"i-2"})) ==
            forward_reason::kFollows);
  }
  SECTION("while the target is draining") {
    setup.AddTarget("i-2", "a", target_phase::kDraining);
    REQUIRE(setup.ReasonOf(setup.FollowingPacket(1, {"i-2"})) ==
            forward_reason::kFollows);
  }
  SECTION("while its data centre is closed") {
    setup.state.closed = {{"a"}};
    REQUIRE(setup.ReasonOf(setup.FollowingPacket(1, {"i-2"})) ==
            forward_reason::kFollows);
  }
  SECTION("until one second after the target is gone") {
    setup.AddTarget("i-2", "a", target_phase::kGone);
    REQUIRE(setup.ReasonOf(setup.FollowingPacket(1, {"i-2"})) ==
            forward_reason::kFollows);
    setup.now += milliseconds(1001);
    const auto decision =
        setup.router.Route(setup.now, setup.FollowingPacket(1, {"i-2"}));
    REQUIRE(std::get<reset_caller>(decision).reason ==
            forward_reason::kTargetOver);
  }
  SECTION("are dropped when the tag is unknown") {
    const auto decision =
        setup.router.Route(setup.now, setup.FollowingPacket(1, {"i-9"}));
    REQUIRE(std::get<drop_packet>(decision).reason ==
            forward_reason::kUnknownTag);
  }
  SECTION("are reset when their route was removed") {
    setup.state.routes.clear();
    const auto decision =
        setup.router.Route(setup.now, setup.FollowingPacket(1, {"i-2"}));
    REQUIRE(std::get<reset_caller>(decision).reason ==
            forward_reason::kNoRoute);
  }
  SECTION("nothing is reset before the first manifest") {
    setup.state.has_manifest = false;
    REQUIRE(std::holds_alternative<drop_packet>(
        setup.router.Route(setup.now, setup.OpeningPacket(1))));
  }
}

TEST_CASE("a new connection goes to a target that accepts it") {
  router_fixture setup;

  SECTION("is refused at once when there is no target") {
    const auto decision = setup.router.Route(setup.now, setup.OpeningPacket(1));
    REQUIRE(std::get<reset_caller>(decision).reason ==
            forward_reason::kNoTarget);
  }
  SECTION("is refused at once without a route") {
    const auto decision =
        setup.router.Route(setup.now, setup.OpeningPacket(1, 0, kOtherRoute));
    REQUIRE(std::get<reset_caller>(decision).reason ==
            forward_reason::kNoRoute);
  }
  SECTION("not to a draining target or one in a closed data centre") {
    setup.AddTarget("i-1", "a");
    setup.AddTarget("i-2", "a", target_phase::kDraining);
    setup.AddTarget("i-3", "b");
    setup.state.closed = {{"b"}};
    const auto opened = setup.OpenFlows(100);
    REQUIRE(opened.size() == 1);
    REQUIRE(opened.contains("i-1"));
  }
  SECTION("not to another service") {
    setup.AddTarget("i-1", "a");
    setup.AddTarget("i-2", "a", target_phase::kReady, kGuides);
    REQUIRE_FALSE(setup.OpenFlows(100).contains("i-2"));
  }
  SECTION("by the weights of its route") {
    setup.AddTarget("i-1", "a");
    setup.AddTarget("i-2", "a", target_phase::kReady, kGuides);
    setup.state.routes[kRoute].shares = {{kCatalogue, 90}, {kGuides, 10}};
    const auto opened = setup.OpenFlows(2000);
    REQUIRE(opened.at("i-2") > 100);
    REQUIRE(opened.at("i-2") < 300);
  }
  SECTION("evenly") {
    for (int i = 0; i < 7; ++i) setup.AddTarget("i-" + std::to_string(i), "a");
    const auto opened = setup.OpenFlows(2000);
    REQUIRE(opened.size() == 7);
    for (const auto& [id, count] : opened) REQUIRE(count < 1.2 * 2000 / 7);
  }
}

// Replays a target that vanishes without notice while connections are open to
// it.
TEST_CASE("connections to a lost target are reset") {
  router_fixture setup;
  setup.AddTarget("i-1", "a");
  const target_id target{"i-1"};
  const flow_packet request = setup.FollowingPacket(1, target);
  REQUIRE(setup.ReasonOf(request) == forward_reason::kFollows);
  setup.now += milliseconds(200);

  SECTION("a retransmitted request is reported as unanswered") {
    REQUIRE(setup.ReasonOf(request) == forward_reason::kFollows);
    REQUIRE(setup.router.unanswered().TakeReport(setup.now) ==
            unanswered_report{{TagOf(target), 1}});
  }
  SECTION("an answered one isn't") {
    flow_packet next = setup.FollowingPacket(1, target, 0);
    next.acknowledged += 1000;
    setup.ReasonOf(next);
    REQUIRE_FALSE(setup.router.unanswered().has_unreported());
  }
  SECTION("once the control instances find the target to be lost") {
    setup.LoseTarget(target);
    const known_target& lost = *setup.state.targets.Find(target);
    SECTION("by the caller's next packet") {
      REQUIRE(setup.ReasonOf(request) == forward_reason::kTargetLost);
    }
    SECTION("or before it") {
      const auto flows = setup.router.TakeLostFlows(setup.now, lost);
      REQUIRE(flows.size() == 1);
      REQUIRE(flows.front().last_packet.flow == request.flow);
      REQUIRE(flows.front().last_packet.acknowledged == request.acknowledged);
      REQUIRE(flows.front().reason == forward_reason::kTargetLost);
      REQUIRE(setup.router.TakeLostFlows(setup.now, lost).empty());
    }
    SECTION("new connections go to other targets") {
      setup.AddTarget("i-2", "a");
      REQUIRE_FALSE(setup.OpenFlows(50).contains("i-1"));
    }
  }
  SECTION("not if the target has just answered at this instance") {
    flow_packet answered = setup.FollowingPacket(1, target, 0);
    answered.acknowledged += 1000;
    setup.ReasonOf(answered);
    setup.LoseTarget(target);
    REQUIRE(setup.ReasonOf(request) == forward_reason::kFollows);
    REQUIRE(
        setup.router.TakeLostFlows(setup.now, *setup.state.targets.Find(target))
            .empty());
    setup.now += milliseconds(401);
    REQUIRE(setup.ReasonOf(request) == forward_reason::kTargetLost);
  }
  SECTION("a target that only stopped reporting keeps its connections") {
    setup.AddTarget("i-1", "a", target_phase::kSilent);
    REQUIRE(setup.ReasonOf(request) == forward_reason::kFollows);
  }
  SECTION("a new connection from the same port isn't reset") {
    setup.AddTarget("i-2", "a");
    setup.OpenFlow(1);
    setup.LoseTarget(target);
    REQUIRE(
        setup.router.TakeLostFlows(setup.now, *setup.state.targets.Find(target))
            .empty());
  }
  SECTION("a target that reports keeps them, whoever reports its address") {
    setup.ReportAtAddressOf(target, "i-2");
    REQUIRE(
        setup.router.TakeLostFlows(setup.now, *setup.state.targets.Find(target))
            .empty());
    REQUIRE(setup.ReasonOf(request) == forward_reason::kFollows);
  }
  SECTION("a target that was replaced at its address loses them at once") {
    setup.AddTarget("i-1", "a", target_phase::kSilent);
    setup.ReportAtAddressOf(target, "i-2");
    REQUIRE(
        setup.router.TakeLostFlows(setup.now, *setup.state.targets.Find(target))
            .size() == 1);
    REQUIRE(setup.ReasonOf(request) == forward_reason::kTargetOver);
  }
}

TEST_CASE("a target that doesn't answer new connections is avoided") {
  router_fixture setup;
  setup.AddTarget("i-1", "a");
  setup.AddTarget("i-2", "a");
  setup.AddTarget("i-3", "a");
  const std::string first = setup.OpenFlow(1);

  SECTION("the retransmission and later connections go to other targets") {
    setup.now += milliseconds(200);
    const std::string second = setup.OpenFlow(1, 1);
    REQUIRE(second != first);
    REQUIRE_FALSE(setup.OpenFlows(100).contains(first));
  }
  SECTION("until it answers a probe") {
    setup.now += milliseconds(200);
    setup.OpenFlow(1, 1);
    setup.now += seconds(10);
    std::map<std::string, int> opened = setup.OpenFlows(200);
    REQUIRE(opened.at(first) > 20);
  }
  SECTION("one connection at a time probes whether it answers") {
    setup.now += milliseconds(200);
    setup.OpenFlow(1, 1);
    setup.now += milliseconds(1100);
    int probes = 0;
    for (std::uint32_t caller = 100; caller < 200; ++caller) {
      if (setup.OpenFlow(caller) == first) ++probes;
    }
    REQUIRE(probes == 1);
  }
  SECTION("it is used when all targets are suspect") {
    for (std::uint32_t caller = 50; caller < 80; ++caller) {
      setup.OpenFlow(caller);
      setup.OpenFlow(caller, 1);
    }
    REQUIRE_FALSE(setup.OpenFlow(500).empty());
  }
}

// After all control instances were killed, only the targets that reported first
// are known to be alive for some seconds. New connections must not all go to
// them.
// Replays the targets of a data centre that go down together and reset new
// connections: the caller confirms nothing and sends no copy.
TEST_CASE("targets that reset new connections are avoided") {
  router_fixture setup;
  for (int i = 0; i < 8; ++i) {
    setup.AddTarget("a-" + std::to_string(i), "a");
    setup.AddTarget("b-" + std::to_string(i), "b");
  }
  // Opens 30 connections a second. Counts those to targets whose id begins with
  // `failing`; the others are accepted.
  const auto count_reset = [&](const std::string& failing, milliseconds time) {
    int count = 0;
    for (const instant end = setup.now + time; setup.now < end;) {
      const std::uint32_t caller = setup.NextCaller();
      const std::string id = setup.OpenFlow(caller);
      setup.now += milliseconds(8);
      if (id.starts_with(failing)) {
        ++count;
      } else {
        setup.router.Route(setup.now, setup.FollowingPacket(caller, {id}));
      }
      setup.now += milliseconds(25);
      setup.router.Tick(setup.now);
    }
    return count;
  };
  REQUIRE(count_reset("none", seconds(2)) == 0);

  SECTION("a single one") {
    REQUIRE(count_reset("a-3", seconds(1)) <= 3);
    REQUIRE(count_reset("a-3", seconds(1)) <= 2);
  }
  SECTION("all of the data centre, after a few of them have failed") {
    REQUIRE(count_reset("a-", milliseconds(300)) <= 9);
    REQUIRE(setup.router.failing().failing_count() == 1);
    SECTION("except for probes") {
      REQUIRE(count_reset("a-", seconds(1)) <= 11);
      SECTION("until one accepts a connection") {
        REQUIRE(count_reset("none", milliseconds(300)) == 0);
        setup.now += seconds(8);
        setup.router.Tick(setup.now);
        REQUIRE(setup.OpenFlows(100)[""] == 0);
        REQUIRE(count_reset("b-", seconds(1)) == 0);
      }
    }
  }
  SECTION("not because the process was suspended") {
    for (int i = 0; i < 8; ++i) setup.OpenFlow(setup.NextCaller());
    setup.now += seconds(1);
    SECTION("whether a packet or a tick comes first") {
      setup.router.Tick(setup.now);
    }
    REQUIRE(setup.OpenFlow(setup.NextCaller()).starts_with("a-"));
    setup.router.Tick(setup.now);
    REQUIRE(setup.router.failing().failing_count() == 0);
    REQUIRE(count_reset("b-", seconds(1)) == 0);
  }
}

TEST_CASE("new connections don't overload the few targets that report") {
  router_fixture setup;
  for (int i = 0; i < 10; ++i) setup.AddTarget("i-" + std::to_string(i), "a");
  setup.state.targets.ExpireSource(kControl, setup.now);
  setup.AddTarget("i-1", "a");
  setup.AddTarget("i-2", "a");
  const auto opened = setup.OpenFlows(1000);
  REQUIRE(opened.size() == 10);
  for (const auto& [id, count] : opened) REQUIRE(count < 200);

  SECTION("a few targets that don't report, among many, get none") {
    for (int i = 3; i < 9; ++i) setup.AddTarget("i-" + std::to_string(i), "a");
    const auto later = setup.OpenFlows(500);
    REQUIRE_FALSE(later.contains("i-0"));
    REQUIRE_FALSE(later.contains("i-9"));
  }
}

TEST_CASE("new connections stay in the callers' data centre") {
  router_fixture setup;
  for (int i = 0; i < 4; ++i) {
    setup.AddTarget("i-1" + std::to_string(i), "a");
    setup.AddTarget("i-2" + std::to_string(i), "b");
  }
  const auto count_local = [](const std::map<std::string, int>& opened) {
    int count = 0;
    for (const auto& [id, number] : opened) {
      if (id.starts_with("i-1")) count += number;
    }
    return count;
  };

  SECTION("all of them at equal demand") {
    setup.state.demand[kCatalogue] = {{{"a"}, 100}, {{"b"}, 100}};
    REQUIRE(count_local(setup.OpenFlows(400)) == 400);
  }
  SECTION("a part of them in a data centre with more callers") {
    setup.state.demand[kCatalogue] = {{{"a"}, 300}, {{"b"}, 100}};
    const int count = count_local(setup.OpenFlows(2000));
    REQUIRE(count > 2000 * 0.8);
    REQUIRE(count < 2000 * 0.93);
  }
  SECTION("none when the data centre is closed") {
    setup.state.closed = {{"a"}};
    REQUIRE(count_local(setup.OpenFlows(100)) == 0);
  }
}

TEST_CASE("packets queued during a suspension aren't response time samples") {
  router_fixture setup;
  setup.AddTarget("i-1", "a");
  setup.router.Tick(setup.now);
  setup.OpenFlow(1);
  setup.now += milliseconds(8);
  const auto route = [&](std::uint32_t acknowledged, std::uint32_t data) {
    flow_packet packet = setup.FollowingPacket(1, {"i-1"}, data);
    packet.acknowledged = acknowledged;
    setup.router.Route(setup.now, packet);
  };
  route(100, 50);
  const auto pressure_after_response = [&](milliseconds duration,
                                           milliseconds tick) {
    for (milliseconds passed{0}; passed < duration; passed += tick) {
      setup.now += tick;
      if (passed + tick < duration) setup.router.Tick(setup.now);
    }
    route(4000, 0);
    return setup.router.Pressure(setup.now, kCatalogue, 2);
  };

  SECTION("a response after two seconds with regular ticks is a sample") {
    REQUIRE(pressure_after_response(seconds(2), milliseconds(50)) > 0);
  }
  SECTION("a response after two seconds without a tick isn't a sample") {
    REQUIRE(pressure_after_response(seconds(2), seconds(2)) == 0);
  }
}

TEST_CASE("low-priority connections are refused under overload") {
  router_fixture setup;
  setup.AddTarget("i-1", "a");
  const ipv4_endpoint high_priority_route{{0xc6120001}, {8443}};
  setup.state.routes[high_priority_route] = {.shares = {{kCatalogue, 1}},
                                             .priority = 0};
  setup.state.priorities = PrioritiesOf(setup.state.routes);
  // Sends requests at 200 per second to two slots; the responses begin after
  // 40 ms.
  const auto send_requests = [&](int requests) {
    for (int i = 0; i < requests; ++i) {
      setup.router.Tick(setup.now);
      const auto caller = static_cast<std::uint32_t>(i % 50);
      if (i % 20 == 0) setup.OpenFlow(1000 + caller);
      setup.router.Route(setup.now, setup.FollowingPacket(caller, {"i-1"}));
      flow_packet acknowledgement = setup.FollowingPacket(caller, {"i-1"}, 0);
      acknowledgement.acknowledged += 4000;
      setup.router.Route(setup.now + milliseconds(40), acknowledgement);
      if (i % 20 == 0) {
        setup.router.Route(setup.now + milliseconds(1),
                           setup.FollowingPacket(1000 + caller, {"i-1"}));
      }
      setup.now += milliseconds(5);
    }
  };
  const auto count_refused = [&](const ipv4_endpoint& route) {
    int count = 0;
    for (std::uint32_t i = 0; i < 100; ++i) {
      count += setup.ReasonOf(setup.OpeningPacket(5000 + i, 0, route)) ==
               forward_reason::kOverloaded;
    }
    return count;
  };

  send_requests(2000);
  REQUIRE(setup.router.Pressure(setup.now, kCatalogue, 2) > 3);
  REQUIRE(count_refused(kRoute) > 90);
  // The reported demand may include that of callers of an unreachable data
  // centre, so the slots there count as well.
  SECTION("slots of targets that don't report lower the pressure") {
    const auto pressure = [&] {
      for (std::uint32_t i = 0;; ++i) {
        const auto decision =
            setup.router.Route(setup.now, setup.OpeningPacket(7000 + i));
        if (const auto* reset = std::get_if<reset_caller>(&decision)) {
          return reset->pressure;
        }
      }
    };
    const double before = pressure();
    setup.AddTarget("i-2", "b");
    setup.AddTarget("i-2", "b", target_phase::kSilent);
    REQUIRE(pressure() == Approx(before / 2));
  }
  SECTION("high-priority connections aren't refused") {
    REQUIRE(count_refused(high_priority_route) == 0);
  }
  SECTION("low-priority connections are accepted as soon as slots are free") {
    setup.now += seconds(4);
    REQUIRE(setup.router.Pressure(setup.now, kCatalogue, 2) < 1);
    REQUIRE(count_refused(kRoute) == 0);
  }
  SECTION("no connection is refused at a service with a single priority") {
    setup.state.routes.erase(high_priority_route);
    setup.state.priorities = PrioritiesOf(setup.state.routes);
    REQUIRE(count_refused(kRoute) == 0);
    // Guards against requests that full targets refuse, each of which its
    // caller sends again over the link.
    SECTION("unless its own requests are more than the targets can process") {
      send_requests(400);
      REQUIRE(count_refused(kRoute) > 10);
      setup.now += seconds(4);
      REQUIRE(count_refused(kRoute) == 0);
    }
    SECTION("and not while its requests are answered in time") {
      setup.AddTarget("i-2", "a");
      send_requests(400);
      REQUIRE(setup.router.Pressure(setup.now, kCatalogue, 4) > 1.8);
      REQUIRE(count_refused(kRoute) == 0);
    }
  }
}

}  // namespace
}  // namespace lavendertack
