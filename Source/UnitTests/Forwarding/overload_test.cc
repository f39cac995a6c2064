#include "Forwarding/overload.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const service_name kService{"desk"};
const ipv4_endpoint kHighPriorityRoute{{1}, {443}};
const ipv4_endpoint kLowPriorityRoute{{1}, {8443}};

TEST_CASE("pressure is the number of requests in progress or queued per slot") {
  REQUIRE(PressureOf(100, milliseconds(20), 4) == Approx(0.5));
  REQUIRE(PressureOf(100, milliseconds(20), 0) == 0);
}

TEST_CASE("priorities are collected for each service from its routes") {
  const auto priorities = PrioritiesOf(
      {{kHighPriorityRoute, {.shares = {{kService, 1}}, .priority = 1}},
       {kLowPriorityRoute,
        {.shares = {{kService, 3}, {{"trial"}, 1}, {{"old"}, 0}},
         .priority = 2}}});
  REQUIRE(priorities.at(kService) == std::set<std::uint32_t>{1, 2});
  REQUIRE(priorities.at({"trial"}) == std::set<std::uint32_t>{2});
  REQUIRE_FALSE(priorities.contains({"old"}));
}

TEST_CASE("the lowest priority is refused first, the highest never") {
  const std::set<std::uint32_t> priorities{0, 1, 2};
  SECTION("nothing at level 0") {
    REQUIRE(RefusedShare(0, 2, priorities) == 0);
  }
  SECTION("a share of the lowest priority") {
    REQUIRE(RefusedShare(0.4, 2, priorities) == Approx(0.4));
    REQUIRE(RefusedShare(0.4, 1, priorities) == 0);
  }
  SECTION("then a share of the next higher one") {
    REQUIRE(RefusedShare(1.25, 2, priorities) == 1);
    REQUIRE(RefusedShare(1.25, 1, priorities) == Approx(0.25));
  }
  SECTION("never the highest priority, at any level") {
    REQUIRE(RefusedShare(9, 0, priorities) == 0);
    REQUIRE(RefusedShare(9, 7, {7}) == 0);
    REQUIRE(RefusedShare(9, 7, {}) == 0);
  }
}

TEST_CASE("the admitted share is 1 while slots are free") {
  const std::set<std::uint32_t> priorities{0, 1};
  REQUIRE(AdmittedShare(0.9, 0.4, 1, priorities) == 1);
  REQUIRE(AdmittedShare(1.0, 0.4, 1, priorities) == Approx(0.6));
  REQUIRE(AdmittedShare(9.0, 0.4, 0, priorities) == 1);
}

TEST_CASE("the refusal level follows the pressure") {
  refusal_level level;
  instant now{seconds(100)};
  const auto update = [&](slot_pressure pressure, int steps) {
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(50);
      level.Update(now, pressure, 2);
    }
    return level.value();
  };

  SECTION("the level stays 0 below the setpoint") {
    REQUIRE(update(1.0, 100) == 0);
  }
  SECTION("the level falls when slots are free again") {
    REQUIRE(update(4, 21) == Approx(1.0));
    REQUIRE(update(0, 20) == Approx(0.0).margin(1e-9));
  }
  SECTION("the level is bounded by the number of refusable priorities") {
    REQUIRE(update(50, 1000) == 2);
  }
  SECTION("a long interval between updates doesn't raise it at once") {
    update(4, 1);
    now += seconds(60);
    REQUIRE(level.Update(now, 50, 2) <= 0.2);
  }
  SECTION("a long interval between updates lowers it to 0") {
    update(50, 1000);
    now += seconds(60);
    REQUIRE(level.Update(now, 0.1, 2) == 0);
  }
  SECTION("the first report of the fleet's level is adopted at once") {
    level.Align(now, 1.4);
    REQUIRE(level.value() == Approx(1.4));
    SECTION("later ones within a few seconds") {
      for (int i = 0; i < 40; ++i) {
        now += milliseconds(250);
        level.Align(now, 0.4);
      }
      REQUIRE(level.value() == Approx(0.4).margin(0.01));
    }
    SECTION("several at the same time count as one") {
      now += milliseconds(200);
      for (int i = 0; i < 6; ++i) level.Align(now, 0.4);
      REQUIRE(level.value() == Approx(1.2));
    }
    SECTION("the level from before a pause is discarded") {
      now += seconds(5);
      level.Align(now, 0.4);
      REQUIRE(level.value() == Approx(0.4));
    }
  }
}

}  // namespace
}  // namespace lavendertack
