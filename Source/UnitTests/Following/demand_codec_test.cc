#include "Following/demand_codec.h"

#include <catch2/catch.hpp>
#include <limits>

namespace lavendertack {
namespace {

// Largest growth of a record by the fields of the fleet-wide refusal.
constexpr std::size_t kMaxExtraBytes = 7;

TEST_CASE("the load of a service is sent in a few bytes") {
  const service_load load{.demand = 320.5,
                          .response_time = milliseconds(1900),
                          .refusal_level = 1.875};
  wire::demand_record record;
  EncodeLoad(load, &record);
  REQUIRE(DecodeLoad(record) == load);
  wire::demand_record older;
  EncodeLoad({.demand = load.demand}, &older);
  REQUIRE(record.ByteSizeLong() - older.ByteSizeLong() <= kMaxExtraBytes);

  SECTION("a record of an older build has only the demand") {
    REQUIRE(DecodeLoad(older) == service_load{.demand = load.demand});
  }
  SECTION("a level of 0 isn't a missing one") {
    EncodeLoad({.demand = 1, .refusal_level = 0.0}, &record);
    REQUIRE(DecodeLoad(record)->refusal_level == 0.0);
  }
  SECTION("an invalid value is refused") {
    SECTION("negative") { record.set_requests_per_s(-1); }
    SECTION("not a number") {
      record.set_requests_per_s(std::numeric_limits<float>::quiet_NaN());
    }
    SECTION("infinite") {
      record.set_requests_per_s(std::numeric_limits<float>::infinity());
    }
    SECTION("response time of an hour") {
      record.set_response_us(3'600'000'000U);
    }
    SECTION("level above any number of priorities") {
      record.set_refusal_permille(4'000'000'000U);
    }
    REQUIRE_FALSE(DecodeLoad(record));
  }
}

}  // namespace
}  // namespace lavendertack
