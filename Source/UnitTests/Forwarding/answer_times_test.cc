#include "Forwarding/answer_times.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const service_name kDesk{"desk"};

flow_packet Packet(std::uint16_t port, std::uint32_t acknowledged,
                   std::uint32_t data) {
  return {.flow = {{{7}, {port}}, {{1}, {443}}},
          .acknowledged = acknowledged,
          .data_bytes = data};
}

TEST_CASE("callers' packets tell how long targets work") {
  answer_times times;
  instant now{seconds(100)};
  times.Accepted(milliseconds(8));

  // A request, and what its caller sends `after` later.
  const auto request = [&](std::uint16_t port, milliseconds after,
                           std::uint32_t acknowledged, std::uint32_t data) {
    times.Passed(now, Packet(port, 10, 100), kDesk);
    now += after;
    times.Passed(now, Packet(port, acknowledged, data), kDesk);
  };

  SECTION("nothing before the first answer") {
    REQUIRE_FALSE(times.Typical(kDesk));
  }
  SECTION("without the path to them") {
    request(1, milliseconds(30), 20, 0);
    REQUIRE(times.Typical(kDesk) == milliseconds(22));
    REQUIRE_FALSE(times.Typical({"shelf"}));
  }
  SECTION("a packet that acknowledges nothing new isn't an answer") {
    request(1, milliseconds(30), 10, 0);
    REQUIRE_FALSE(times.Typical(kDesk));
    now += milliseconds(5);
    times.Passed(now, Packet(1, 20, 0), kDesk);
    REQUIRE(times.Typical(kDesk) == milliseconds(27));
  }
  SECTION("the next request on the flow measures the caller's pause") {
    request(1, milliseconds(900), 20, 100);
    REQUIRE_FALSE(times.Typical(kDesk));
  }
  SECTION("a few lost packets hardly move it") {
    for (std::uint16_t i = 1; i <= 100; ++i) {
      request(i, milliseconds(i % 10 == 0 ? 430 : 30), 20, 0);
    }
    REQUIRE(*times.Typical(kDesk) < milliseconds(26));
  }
  SECTION("a target that turns slow is seen after some tens of answers") {
    for (std::uint16_t i = 1; i <= 50; ++i) {
      request(i, milliseconds(30), 20, 0);
    }
    for (std::uint16_t i = 51; i <= 100; ++i) {
      request(i, milliseconds(120), 20, 0);
    }
    REQUIRE(*times.Typical(kDesk) == milliseconds(112));
  }
}

}  // namespace
}  // namespace lavendertack
