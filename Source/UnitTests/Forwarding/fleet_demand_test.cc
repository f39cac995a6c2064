#include "Forwarding/fleet_demand.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const service_name kService{"desk"};
const instance_name kFirstControl{"10.0.0.1"};
const instance_name kSecondControl{"10.0.0.2"};
const load_key kNorth{kService, {"north"}};
const load_key kSouth{kService, {"south"}};
constexpr std::uint64_t kRun = 7;

service_load Load(requests_per_s demand, milliseconds response_time,
                  double level) {
  return {
      .demand = demand, .response_time = response_time, .refusal_level = level};
}

TEST_CASE("loads of entry instances are combined, weighted by the demand") {
  load_sum sum;
  sum.Add(Load(300, milliseconds(20), 0.4));
  sum.Add(Load(100, milliseconds(60), 0.8));
  const service_load both = sum.Value();
  REQUIRE(both.demand == Approx(400));
  REQUIRE(both.response_time == milliseconds(30));
  REQUIRE(*both.refusal_level == Approx(0.5));

  SECTION("a load that is removed leaves the other one") {
    sum.Remove(Load(300, milliseconds(20), 0.4));
    REQUIRE(sum.Value().response_time == milliseconds(60));
    REQUIRE(*sum.Value().refusal_level == Approx(0.8));
  }
  SECTION("an older build adds its demand and doesn't change the means") {
    sum.Add({.demand = 1000});
    REQUIRE(sum.Value().demand == Approx(1400));
    REQUIRE(sum.Value().response_time == milliseconds(30));
    REQUIRE(*sum.Value().refusal_level == Approx(0.5));
  }
  SECTION("only older builds: there is no response time") {
    load_sum older;
    older.Add({.demand = 1000});
    REQUIRE_FALSE(older.Value().response_time);
    REQUIRE_FALSE(older.Value().refusal_level);
  }
  SECTION("the remainder after all were removed isn't a load") {
    sum.Remove(Load(300, milliseconds(20), 0.4));
    sum.Remove(Load(100, milliseconds(60), 0.8));
    REQUIRE(sum.Value() == service_load{});
  }
}

TEST_CASE("the reported response time is scaled by the own change since then") {
  const milliseconds fleet(50);
  REQUIRE(CurrentResponseTime(fleet, milliseconds(30), milliseconds(20)) ==
          milliseconds(75));
  // An instance that is nearer to the targets computes the same.
  REQUIRE(CurrentResponseTime(fleet, milliseconds(15), milliseconds(10)) ==
          milliseconds(75));
  SECTION("up to a factor of 3, as the first samples may be far off") {
    REQUIRE(CurrentResponseTime(fleet, seconds(2), milliseconds(20)) ==
            milliseconds(150));
  }
  SECTION("without own samples it is used as reported") {
    REQUIRE(CurrentResponseTime(fleet, std::nullopt, std::nullopt) == fleet);
    REQUIRE(CurrentResponseTime(fleet, milliseconds(20), milliseconds(0)) ==
            fleet);
  }
}

TEST_CASE("a decaying average fills up after its start") {
  REQUIRE(FilledShare(seconds(0), seconds(3)) > 0);
  REQUIRE(FilledShare(seconds(3), seconds(3)) == Approx(0.632).margin(0.001));
  REQUIRE(FilledShare(seconds(30), seconds(3)) == Approx(1).margin(0.001));
}

TEST_CASE("a load is sent again when one of its values has changed") {
  const service_load last = Load(100, milliseconds(20), 0.5);
  REQUIRE_FALSE(IsChanged(Load(110, milliseconds(22), 0.52), last));
  REQUIRE(IsChanged(Load(120, milliseconds(20), 0.5), last));
  REQUIRE(IsChanged(Load(100, milliseconds(25), 0.5), last));
  REQUIRE(IsChanged(Load(100, milliseconds(20), 0.53), last));
  REQUIRE(IsChanged({}, last));
}

TEST_CASE("an entry instance knows the load of the fleet for a limited time") {
  fleet_demand fleet;
  const instant start{seconds(100)};
  REQUIRE_FALSE(fleet.LoadOf(start, kService));
  fleet.Apply(start, kFirstControl, kRun,
              {{kNorth, Load(300, milliseconds(20), 0.4)},
               {kSouth, Load(100, milliseconds(60), 0.8)}});
  REQUIRE(fleet.LoadOf(start, kService)->demand == Approx(400));
  REQUIRE(fleet.LoadOf(start, kService)->response_time == milliseconds(30));
  REQUIRE(fleet.Demand().at(kService).at(kSouth.second) == Approx(100));

  SECTION("an instance that was paused doesn't use it after 5 s") {
    // Nothing was called during the pause.
    REQUIRE(fleet.LoadOf(start + milliseconds(4999), kService));
    REQUIRE_FALSE(fleet.LoadOf(start + seconds(5), kService));
    REQUIRE_FALSE(fleet.IsKnown(start + seconds(5)));
    SECTION("and doesn't take the next update for a confirmation") {
      fleet.Apply(start + seconds(6), kFirstControl, kRun,
                  {{kNorth, Load(10, milliseconds(20), 0)}});
      REQUIRE(fleet.LoadOf(start + seconds(6), kService)->demand == Approx(10));
    }
  }
  SECTION("an update without changes confirms it") {
    fleet.Apply(start + seconds(4), kFirstControl, kRun, {});
    REQUIRE(fleet.LoadOf(start + seconds(8), kService)->demand == Approx(400));
    REQUIRE_FALSE(fleet.LoadOf(start + seconds(9), kService));
  }
  SECTION("a load that has ended is removed") {
    fleet.Apply(start, kFirstControl, kRun, {{kNorth, {}}});
    REQUIRE(fleet.LoadOf(start, kService)->demand == Approx(100));
  }
  SECTION("a control instance that restarted reports too little at first") {
    const instant restarted = start + seconds(1);
    fleet.Apply(restarted, kFirstControl, kRun + 1, {});
    REQUIRE(fleet.LoadOf(restarted, kService)->demand == Approx(400));
    fleet.Apply(restarted, kFirstControl, kRun + 1,
                {{kNorth, Load(20, milliseconds(20), 0.4)}});
    REQUIRE(fleet.LoadOf(restarted, kService)->demand == Approx(400));
    SECTION("the sums of the earlier run aren't used for long") {
      fleet.Apply(start + seconds(2), kFirstControl, kRun + 1, {});
      REQUIRE(fleet.LoadOf(start + seconds(2), kService)->demand == Approx(20));
    }
  }
  SECTION("the newest report is used") {
    fleet.Apply(start + seconds(1), kSecondControl, 9,
                {{kNorth, Load(270, milliseconds(20), 0.4)}});
    REQUIRE(fleet.LoadOf(start + seconds(1), kService)->demand == Approx(370));
  }
  SECTION("unless some entry instances can't reach its control instance") {
    fleet.Apply(start + seconds(1), kSecondControl, 9,
                {{kNorth, Load(30, milliseconds(20), 0.4)}});
    REQUIRE(fleet.LoadOf(start + seconds(1), kService)->demand == Approx(400));
    SECTION("and no other control instance is reachable") {
      fleet.Apply(start + seconds(2), kSecondControl, 9, {});
      REQUIRE(fleet.LoadOf(start + seconds(2), kService)->demand == Approx(30));
    }
  }
}

}  // namespace
}  // namespace lavendertack
