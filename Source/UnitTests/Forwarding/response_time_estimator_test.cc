#include "Forwarding/response_time_estimator.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const service_name kService{"desk"};

flow_packet Packet(std::uint16_t port, std::uint32_t acknowledged,
                   std::uint32_t data) {
  return {.flow = {{{7}, {port}}, {{1}, {443}}},
          .acknowledged = acknowledged,
          .data_bytes = data};
}

TEST_CASE("the response time is estimated from the callers' packets") {
  response_time_estimator estimator;
  instant now{seconds(100)};
  estimator.ObserveHandshake(milliseconds(8));

  // Sends a request and the caller's next packet on the flow, `delay` later.
  const auto send_request = [&](std::uint16_t port, milliseconds delay,
                                std::uint32_t acknowledged,
                                std::uint32_t data) {
    estimator.ObservePacket(now, Packet(port, 10, 100), kService);
    now += delay;
    estimator.ObservePacket(now, Packet(port, acknowledged, data), kService);
  };

  SECTION("no estimate before the first response") {
    REQUIRE_FALSE(estimator.Estimate(kService));
  }
  SECTION("the network round trip is subtracted") {
    send_request(1, milliseconds(30), 20, 0);
    REQUIRE(estimator.Estimate(kService) == milliseconds(22));
    REQUIRE_FALSE(estimator.Estimate({"shelf"}));
  }
  SECTION("a packet without a new acknowledgement isn't a response") {
    send_request(1, milliseconds(30), 10, 0);
    REQUIRE_FALSE(estimator.Estimate(kService));
    now += milliseconds(5);
    estimator.ObservePacket(now, Packet(1, 20, 0), kService);
    REQUIRE(estimator.Estimate(kService) == milliseconds(27));
  }
  SECTION(
      "the next request on a flow isn't a sample: it measures the caller's "
      "pause") {
    send_request(1, milliseconds(900), 20, 100);
    REQUIRE_FALSE(estimator.Estimate(kService));
  }
  SECTION("a few lost packets hardly change the estimate") {
    for (std::uint16_t i = 1; i <= 100; ++i) {
      send_request(i, milliseconds(i % 10 == 0 ? 430 : 30), 20, 0);
    }
    REQUIRE(*estimator.Estimate(kService) < milliseconds(26));
  }
  // Guards against an overload that isn't noticed because full targets refuse
  // most requests, and do so at once.
  SECTION("refusals of full targets don't hide that responses take long") {
    for (std::uint16_t i = 1; i <= 50; ++i) {
      send_request(i, milliseconds(60), 10 + 785, 0);
    }
    for (std::uint16_t i = 51; i <= 450; ++i) {
      const bool is_refused = i % 4 != 0;
      send_request(i, milliseconds(is_refused ? 20 : 380),
                   10 + (is_refused ? 126 : 785), 0);
    }
    REQUIRE(*estimator.Estimate(kService) == milliseconds(372));
  }
  SECTION("answers that have become shorter are samples again") {
    for (std::uint16_t i = 1; i <= 50; ++i) {
      send_request(i, milliseconds(60), 10 + 785, 0);
    }
    for (std::uint16_t i = 51; i <= 500; ++i) {
      send_request(i, milliseconds(30), 10 + 126, 0);
    }
    REQUIRE(*estimator.Estimate(kService) == milliseconds(22));
  }
  SECTION("the estimate follows a slower target within 50 responses") {
    for (std::uint16_t i = 1; i <= 50; ++i) {
      send_request(i, milliseconds(30), 20, 0);
    }
    for (std::uint16_t i = 51; i <= 100; ++i) {
      send_request(i, milliseconds(120), 20, 0);
    }
    REQUIRE(*estimator.Estimate(kService) == milliseconds(112));
  }
}

}  // namespace
}  // namespace lavendertack
