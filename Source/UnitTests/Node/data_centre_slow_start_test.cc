#include "Node/data_centre_slow_start.h"

#include <catch2/catch.hpp>

namespace lavendertack::testing {
namespace {

TEST_CASE("a data centre's share of new flows") {
  data_centre_slow_start slow_start;
  const instant start{seconds(50)};
  slow_start.SetOutOfService(start, false);
  SECTION(
      "is full at once for an instance that starts while it is in service") {
    CHECK(slow_start.Share(start, 8) == 8);
  }
  SECTION("is zero while it is out of service") {
    slow_start.SetOutOfService(start, true);
    CHECK(slow_start.Share(start + seconds(100), 8) == 0);
    SECTION("and grows linearly once it is back in service") {
      const instant back = start + seconds(200);
      slow_start.SetOutOfService(back, false);
      CHECK(slow_start.Share(back, 8) == 1);
      CHECK(slow_start.Share(back + seconds(15), 8) == 4);
      CHECK(slow_start.Share(back + seconds(29), 8) == 7);
      CHECK(slow_start.Share(back + kSlowStartDuration, 8) == 8);
      SECTION("and isn't reset by later tickets that repeat the state") {
        slow_start.SetOutOfService(back + seconds(15), false);
        CHECK(slow_start.Share(back + seconds(15), 8) == 4);
      }
      SECTION("and stays zero without ready slots") {
        CHECK(slow_start.Share(back + seconds(15), 0) == 0);
      }
    }
  }
}

}  // namespace
}  // namespace lavendertack::testing
