#include "Entry/entry_instance.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const instance_name kControlInstance{"10.0.0.1"};
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

TEST_CASE("an entry instance forwards packets from first update to exit") {
  entry_instance entry({.self = {"10.1.0.1"},
                        .data_centre = {"a"},
                        .seeds = {kControlInstance},
                        .seed = 1,
                        .stop_within = milliseconds(6000)});
  instant now{seconds(100)};
  REQUIRE_FALSE(entry.IsReady(now));
  REQUIRE(
      std::holds_alternative<drop_packet>(entry.Route(now, OpeningPacket(1))));

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
