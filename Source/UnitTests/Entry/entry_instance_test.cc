#include "Entry/entry_instance.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const instance_name kControlInstance{"10.0.0.1"};
const data_centre_name kDataCentre{"a"};
const ipv4_endpoint kRouteAddress{{0xc6120001}, {443}};

// An update with one route and one ready target.
wire::fleet_message MakeUpdate(const std::string& from) {
  wire::fleet_message message;
  message.set_from(from);
  auto* update = message.mutable_update();
  update->set_current(true);
  update->set_has_state(true);
  update->set_whole_state(true);
  update->set_state_to(3);
  update->set_manifest_version(7);
  auto* route = update->add_routes();
  route->set_ip(kRouteAddress.ip.value);
  route->set_port(kRouteAddress.port.value);
  auto* share = route->add_shares();
  share->set_service("catalogue");
  share->set_weight(1);
  update->set_target_epoch(5);
  update->set_targets_to(1);
  auto* target = update->add_targets();
  target->set_id("i-1");
  target->set_started_ms(1000);
  target->set_sequence(1);
  target->set_service("catalogue");
  target->set_ip(0x0a000001);
  target->set_port(8080);
  target->set_data_centre("a");
  target->set_phase(wire::PHASE_READY);
  return message;
}

// The first packet of a flow from the caller's port.
flow_packet OpeningPacket(std::uint16_t port) {
  return {.flow = {{{0x64400001}, {port}}, kRouteAddress}, .opens = true};
}

// A packet with data of a flow that was opened before this instance started.
flow_packet FollowingPacket(const std::string& target) {
  return {.flow = {{{0x64400001}, {77}}, kRouteAddress},
          .tag = TagOf({target}),
          .data_bytes = 100};
}

// Replays the load after an outage of the whole fleet: all instances start at
// the same time, and callers retransmit packets of new and of open flows.
TEST_CASE("packets are held until enough of the state is known") {
  const instance_name second_control{"10.0.0.2"};
  entry_instance entry({.self = {"10.1.0.1"},
                        .data_centre = {"a"},
                        .seeds = {kControlInstance, second_control},
                        .seed = 1,
                        .stop_within = milliseconds(6000)});
  const instant start{seconds(100)};
  const auto is_forwarded = [&](instant now, const flow_packet& packet) {
    return std::holds_alternative<forward_to_target>(entry.Route(now, packet));
  };
  const auto hold_reason = [&](instant now, const flow_packet& packet) {
    return std::get<hold_packet>(entry.Route(now, packet)).reason;
  };
  REQUIRE(hold_reason(start, OpeningPacket(1)) ==
          forward_reason::kNotYetCurrent);
  REQUIRE(hold_reason(start, FollowingPacket("i-1")) ==
          forward_reason::kNotYetCurrent);

  SECTION("the first control instance has sent its target") {
    entry.Receive(start, MakeUpdate(kControlInstance.value));
    SECTION("packets of open flows are forwarded to it") {
      REQUIRE(is_forwarded(start, FollowingPacket("i-1")));
    }
    SECTION("those to other targets are held for at most 1 s") {
      REQUIRE(hold_reason(start + milliseconds(999), FollowingPacket("i-2")) ==
              forward_reason::kUnknownTag);
      REQUIRE(std::get<drop_packet>(
                  entry.Route(start + seconds(1), FollowingPacket("i-2")))
                  .reason == forward_reason::kUnknownTag);
    }
    SECTION("new flows wait briefly for more targets") {
      REQUIRE(hold_reason(start + milliseconds(39), OpeningPacket(1)) ==
              forward_reason::kNotYetCurrent);
      REQUIRE(is_forwarded(start + milliseconds(40), OpeningPacket(1)));
    }
    SECTION("new flows don't wait once all control instances have sent them") {
      entry.Receive(start, MakeUpdate(second_control.value));
      REQUIRE(is_forwarded(start, OpeningPacket(1)));
    }
  }
  SECTION("a control instance that lost its disk knows no targets yet") {
    wire::fleet_message update = MakeUpdate(kControlInstance.value);
    update.mutable_update()->clear_targets();
    update.mutable_update()->set_targets_to(0);
    entry.Receive(start, update);
    REQUIRE(hold_reason(start + milliseconds(40), OpeningPacket(1)) ==
            forward_reason::kNoTarget);
    REQUIRE(std::get<reset_caller>(
                entry.Route(start + seconds(1), OpeningPacket(1)))
                .reason == forward_reason::kNoTarget);
  }
}

// A resumed process reads the packets that were waiting before it hears of the
// orders that were given during the pause.
TEST_CASE("an instance that was paused opens no flow on outdated state") {
  entry_instance entry({.self = {"10.1.0.1"},
                        .data_centre = {"a"},
                        .seeds = {kControlInstance},
                        .seed = 1,
                        .stop_within = milliseconds(6000)});
  instant now{seconds(100)};
  entry.Receive(now, MakeUpdate(kControlInstance.value));
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(50);
    entry.Tick(now);
    entry.Requests(now);
  }
  const auto is_forwarded = [&](const flow_packet& packet) {
    return std::holds_alternative<forward_to_target>(entry.Route(now, packet));
  };
  const auto is_held = [&](const flow_packet& packet) {
    return std::holds_alternative<hold_packet>(entry.Route(now, packet));
  };
  wire::fleet_message closed = MakeUpdate(kControlInstance.value);
  closed.mutable_update()->add_closed_data_centres(kDataCentre.value);
  REQUIRE(is_forwarded(OpeningPacket(1)));
  now += seconds(5);
  REQUIRE(is_held(OpeningPacket(2)));
  REQUIRE(is_forwarded(FollowingPacket("i-1")));

  SECTION("until a control instance answers, here that it is closed") {
    entry.Tick(now);
    REQUIRE(entry.Requests(now).size() == 1);
    REQUIRE(is_held(OpeningPacket(2)));
    entry.Receive(now, closed);
    const forward_decision decision = entry.Route(now, OpeningPacket(2));
    REQUIRE(std::get<reset_caller>(decision).reason ==
            forward_reason::kNoTarget);
  }
  SECTION("an update that was sent before the end of the pause isn't enough") {
    entry.Receive(now, MakeUpdate(kControlInstance.value));
    REQUIRE(is_held(OpeningPacket(2)));
  }
  SECTION("nor one of a control instance without a majority") {
    entry.Tick(now);
    entry.Requests(now);
    wire::fleet_message update = MakeUpdate(kControlInstance.value);
    update.mutable_update()->set_current(false);
    entry.Receive(now, update);
    REQUIRE(is_held(OpeningPacket(2)));
  }
  SECTION("for a limited time if none answers") {
    for (int i = 0; i < 5; ++i) {
      now += milliseconds(50);
      entry.Tick(now);
      entry.Requests(now);
      REQUIRE(is_held(OpeningPacket(2)));
    }
    now += milliseconds(50);
    REQUIRE(is_forwarded(OpeningPacket(2)));
  }
}

TEST_CASE("an entry instance forwards packets from first update to exit") {
  entry_instance entry({.self = {"10.1.0.1"},
                        .data_centre = {"a"},
                        .seeds = {kControlInstance},
                        .seed = 1,
                        .stop_within = milliseconds(6000)});
  instant now{seconds(100)};
  REQUIRE_FALSE(entry.IsReady(now));
  REQUIRE(std::get<hold_packet>(entry.Route(now, OpeningPacket(1))).reason ==
          forward_reason::kNotYetCurrent);

  entry.Receive(now, MakeUpdate(kControlInstance.value));
  REQUIRE(entry.IsReady(now));
  REQUIRE(std::holds_alternative<forward_to_target>(
      entry.Route(now, OpeningPacket(2))));

  SECTION("a stopping instance isn't ready but forwards packets") {
    entry.Stop(now);
    REQUIRE_FALSE(entry.IsReady(now));
    REQUIRE(std::holds_alternative<forward_to_target>(
        entry.Route(now, OpeningPacket(3))));
    REQUIRE_FALSE(entry.CanExit(now + milliseconds(1600)));

    SECTION("it exits when the routers have removed it and no packets arrive") {
      REQUIRE(entry.CanExit(now + milliseconds(1700)));
    }
    SECTION("packets delay the exit until shortly before the kill") {
      for (int i = 0; i < 22; ++i) {
        now += milliseconds(200);
        entry.Route(now, OpeningPacket(static_cast<std::uint16_t>(10 + i)));
        REQUIRE_FALSE(entry.CanExit(now));
      }
      now += milliseconds(200);
      entry.Route(now, OpeningPacket(100));
      REQUIRE(entry.CanExit(now));
    }
  }
  SECTION("it keeps forwarding without control instances") {
    now += seconds(60);
    entry.Tick(now);
    REQUIRE(std::holds_alternative<forward_to_target>(
        entry.Route(now, OpeningPacket(4))));
    REQUIRE(entry.IsReady(now));
  }
}

}  // namespace
}  // namespace lavendertack
