#include "Forwarding/overload.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

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
    REQUIRE(update(4, 6) == Approx(1.0));
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
}

// Replays requests of 72 ms that come at 8 times their usual rate, together
// with those of a lower priority: 4,228 a second for 240 slots. Refused callers
// try again twice at once.
TEST_CASE("the level rises before requests of a burst wait too long") {
  constexpr double kSlots = 240;
  constexpr double kWorkS = 0.072;
  constexpr double kObjectiveS = 0.4;
  constexpr double kStepS = 0.01;
  const std::set<std::uint32_t> priorities{0, 1, 2};
  const std::map<std::uint32_t, double> offered{{1, 3376}, {2, 852}};
  refusal_level level;
  instant now{seconds(100)};
  double in_progress = 0;
  double admitted = 0;
  double late = 0;
  for (int i = 0; i < 200; ++i, now += milliseconds(10)) {
    level.Update(now, in_progress / kSlots, 2);
    double started = 0;
    for (const auto& [priority, rate] : offered) {
      const double refused = RefusedShare(level.value(), priority, priorities);
      started += rate * (1 - refused * refused * refused) * kStepS;
    }
    admitted += started;
    const double wait_s =
        std::max(0.0, in_progress / kSlots - 1) * kWorkS + kWorkS;
    if (wait_s > kObjectiveS) late += started;
    const double finished = std::min(in_progress, kSlots * kStepS / kWorkS);
    in_progress += started - finished;
  }
  INFO("in progress per slot at the end " << in_progress / kSlots);
  REQUIRE(late <= 0.05 * admitted);
}

}  // namespace
}  // namespace lavendertack
