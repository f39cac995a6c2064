#include "Forwarding/repeated_requests.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

flow_packet RequestOf(std::uint32_t number, std::uint32_t route_port = 8001) {
  return {.flow = {{{0x64400000 + number / 60'000},
                    {static_cast<std::uint16_t>(1 + number % 60'000)}},
                   {{0xc6120001}, {static_cast<std::uint16_t>(route_port)}}},
          .sequence = 1,
          .data_bytes = 500};
}

TEST_CASE("a request that is sent again is recognized") {
  repeated_requests requests;
  instant now{seconds(100)};
  REQUIRE_FALSE(requests.Observe(now, RequestOf(1)));

  SECTION("at each of its copies") {
    for (const int after_ms : {200, 600, 1400}) {
      const instant sent = now + milliseconds(after_ms);
      REQUIRE(requests.Observe(sent, RequestOf(1)));
    }
  }
  SECTION("but not a copy made by the network") {
    REQUIRE_FALSE(requests.Observe(now + milliseconds(20), RequestOf(1)));
  }
  SECTION("but not the next request of its connection") {
    flow_packet next = RequestOf(1);
    next.sequence = 501;
    REQUIRE_FALSE(requests.Observe(now + milliseconds(200), next));
  }
  SECTION("but not the same numbers on a connection of a later caller") {
    REQUIRE_FALSE(requests.Observe(now + seconds(30), RequestOf(1)));
  }
}

// Guards against requests that push each other out of the table, so that their
// copies are taken for new ones: two routes with consecutive ports did.
TEST_CASE("requests of 1.4 s at 6,000 a second are all remembered") {
  repeated_requests requests;
  const auto count = static_cast<std::uint32_t>(1.4 * 6000);
  instant now{seconds(100)};
  for (std::uint32_t i = 0; i < count; ++i) {
    requests.Observe(now, RequestOf(i, i % 5 == 0 ? 8001 : 8002));
    now += microseconds(167);
  }
  std::uint32_t recognized = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    now += microseconds(167);
    recognized +=
        requests.Observe(now, RequestOf(i, i % 5 == 0 ? 8001 : 8002)) ? 1 : 0;
  }
  REQUIRE(recognized >= 0.99 * count);
}

}  // namespace
}  // namespace lavendertack
