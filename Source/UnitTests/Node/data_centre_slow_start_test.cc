#include "Node/data_centre_slow_start.h"

#include <catch2/catch.hpp>

namespace lavendertack::testing {
namespace {

TEST_CASE("a data centre's share of new flows") {
  data_centre_slow_start ramp;
  const instant start{seconds(50)};
  ramp.SetOutOfService(start, false);
  SECTION(
      "is full at once for an instance that starts while it is in service") {
    CHECK(ramp.Share(start, 8) == 8);
  }
  SECTION("is zero while it is out of service") {
    ramp.SetOutOfService(start, true);
    CHECK(ramp.Share(start + seconds(100), 8) == 0);
    SECTION("and grows step by step once it is back in service") {
      const instant back = start + seconds(200);
      ramp.SetOutOfService(back, false);
      CHECK(ramp.Share(back, 8) == 1);
      CHECK(ramp.Share(back + seconds(15), 8) == 4);
      CHECK(ramp.Share(back + seconds(29), 8) == 7);
      CHECK(ramp.Share(back + kSlowStartDuration, 8) == 8);
      SECTION("and isn't reset by later tickets that repeat the state") {
        ramp.SetOutOfService(back + seconds(15), false);
        CHECK(ramp.Share(back + seconds(15), 8) == 4);
      }
      SECTION("and stays zero without ready slots") {
        CHECK(ramp.Share(back + seconds(15), 0) == 0);
      }
    }
  }
}

}  // namespace
}  // namespace lavendertack::testing
