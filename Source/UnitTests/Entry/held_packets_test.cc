#include "Entry/held_packets.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

constexpr held_packet_limits kLimits{.packets = 3,
                                     .max_age = milliseconds(1000)};

held_packet OpeningPacket(instant at, std::uint16_t port,
                          std::uint32_t retransmission = 0) {
  return {.received_at = at,
          .packet = {.flow = {{{1}, {port}}, {{2}, {443}}},
                     .opens = true,
                     .retransmission = retransmission},
          .bytes = {1, 2, 3}};
}

std::vector<held_packet> TakeAll(held_packets* held) {
  return held->TakeIf([](const held_packet&) { return true; });
}

TEST_CASE("packets are held in the order of their arrival") {
  held_packets held(kLimits);
  const instant start{seconds(100)};
  REQUIRE_FALSE(held.Add(OpeningPacket(start, 1)));
  REQUIRE_FALSE(held.Add(OpeningPacket(start + milliseconds(10), 2)));

  SECTION("and taken in this order") {
    const auto packets = TakeAll(&held);
    REQUIRE(packets.size() == 2);
    REQUIRE(packets[0].packet.flow.caller.port.value == 1);
    REQUIRE(packets[1].packet.flow.caller.port.value == 2);
    REQUIRE(packets[1].bytes.size() == 3);
    REQUIRE(held.size() == 0);
  }
  SECTION("those that can't be decided on yet keep their place") {
    held.Add(OpeningPacket(start + milliseconds(20), 3));
    const auto second = held.TakeIf([](const held_packet& packet) {
      return packet.packet.flow.caller.port.value == 2;
    });
    REQUIRE(second.size() == 1);
    const auto others = TakeAll(&held);
    REQUIRE(others.size() == 2);
    REQUIRE(others.front().packet.flow.caller.port.value == 1);
  }
  SECTION("a retransmission replaces the earlier packet") {
    held.Add(OpeningPacket(start + milliseconds(200), 1, 1));
    const auto packets = TakeAll(&held);
    REQUIRE(packets.size() == 2);
    REQUIRE(packets.back().packet.retransmission == 1);
  }
  SECTION("packets of one flow with different data are all held") {
    held_packet data = OpeningPacket(start, 1);
    data.packet.opens = false;
    data.packet.sequence = 7;
    data.packet.data_bytes = 100;
    held.Add(data);
    REQUIRE(held.size() == 3);
  }
  SECTION("at the maximum number the oldest is removed") {
    held.Add(OpeningPacket(start + milliseconds(20), 3));
    const auto evicted = held.Add(OpeningPacket(start + milliseconds(30), 4));
    REQUIRE(evicted.has_value());
    REQUIRE(evicted->packet.flow.caller.port.value == 1);
    REQUIRE(held.size() == 3);
  }
  SECTION("a packet expires after the maximum age") {
    REQUIRE(held.TakeExpired(start + kLimits.max_age).empty());
    const auto expired =
        held.TakeExpired(start + kLimits.max_age + milliseconds(1));
    REQUIRE(expired.size() == 1);
    REQUIRE(expired.front().packet.flow.caller.port.value == 1);
    REQUIRE(held.size() == 1);
  }
}

}  // namespace
}  // namespace lavendertack
