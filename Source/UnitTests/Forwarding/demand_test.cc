#include "Forwarding/demand.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

constexpr double kSlack = 1.3;

double Sum(const std::map<data_centre_name, double>& weights) {
  return std::accumulate(
      weights.begin(), weights.end(), 0.0,
      [](double sum, const auto& weight) { return sum + weight.second; });
}

TEST_CASE("callers are served in their data centre while it has capacity") {
  load_by_data_centre loads{{{"a"}, {8, 100}}, {{"b"}, {8, 100}}};

  SECTION("all of them at equal load") {
    REQUIRE(SplitDemand({"a"}, loads, kSlack).at({"a"}) == 1.0);
  }
  SECTION("only up to the bound in a data centre with more callers") {
    loads[{"a"}].demand = 300;
    const auto weights = SplitDemand({"a"}, loads, kSlack);
    REQUIRE(weights.at({"a"}) == Approx(kSlack * 25 * 8 / 300));
    REQUIRE(weights.at({"b"}) == Approx(1 - kSlack * 25 * 8 / 300));
    REQUIRE(SplitDemand({"b"}, loads, kSlack).at({"b"}) == 1.0);
  }
  SECTION("none in a data centre without slots") {
    loads[{"a"}].slots = 0;
    const auto weights = SplitDemand({"a"}, loads, kSlack);
    REQUIRE_FALSE(weights.contains({"a"}));
    REQUIRE(weights.at({"b"}) == Approx(1.0));
  }
  SECTION("without measured demand") {
    loads = {{{"a"}, {8, 0}}, {{"b"}, {8, 0}}};
    REQUIRE(SplitDemand({"a"}, loads, kSlack).at({"a"}) == 1.0);
    REQUIRE(Sum(SplitDemand({"c"}, loads, kSlack)) == Approx(1.0));
  }
  SECTION("no weights without any slots") {
    REQUIRE(SplitDemand({"a"}, {{{"a"}, {0, 50}}}, kSlack).empty());
  }
}

// Replays callers of four data centres that are more than the targets can
// serve. The busiest data centre has 7 % more of them than the mean.
TEST_CASE("data centres share the load equally once their queues fill up") {
  constexpr double kSlotsOfEach = 60;
  const std::map<std::string, double> demands{
      {"a", 3520}, {"b", 3230}, {"c", 3120}, {"d", 3570}};
  load_by_data_centre loads;
  for (const auto& [name, demand] : demands) {
    loads[{name}] = {kSlotsOfEach, demand};
  }
  // Highest load of the targets in a data centre, as a multiple of the lowest.
  const auto imbalance = [&](double pressure) {
    std::map<data_centre_name, double> sent;
    for (const auto& [name, load] : loads) {
      for (const auto& [to, weight] :
           SplitDemand(name, loads, LocalSlack(pressure))) {
        sent[to] += load.demand * weight;
      }
    }
    const auto by_load = [](const auto& x, const auto& y) {
      return x.second < y.second;
    };
    const auto [lowest, highest] =
        std::minmax_element(sent.begin(), sent.end(), by_load);
    return highest->second / lowest->second;
  };

  SECTION("but not while slots are free") {
    REQUIRE(imbalance(0.5) == Approx(3570.0 / 3120));
  }
  SECTION("with a pressure above the number of slots") {
    REQUIRE(imbalance(1.5) <= 1.01);
  }
}

TEST_CASE("the split loads no data centre beyond the bound") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int round = 0; round < 200; ++round) {
      load_by_data_centre loads;
      double slots = 0;
      double demand = 0;
      for (std::size_t i = 0; i < 2 + random() % 10; ++i) {
        data_centre_load& load = loads[{"dc-" + std::to_string(i)}];
        load.slots = static_cast<double>(random() % 20);
        load.demand = static_cast<double>(random() % 500);
        slots += load.slots;
        demand += load.demand;
      }
      if (slots == 0) continue;
      std::map<data_centre_name, double> arriving;
      for (const auto& [name, load] : loads) {
        const auto weights = SplitDemand(name, loads, kSlack);
        REQUIRE(Sum(weights) == Approx(1.0));
        for (const auto& [to, weight] : weights) {
          REQUIRE(weight >= 0);
          REQUIRE(loads.at(to).slots > 0);
          arriving[to] += weight * load.demand;
        }
      }
      for (const auto& [name, rate] : arriving) {
        INFO("seed " << seed << " round " << round << " at " << name);
        REQUIRE(rate <= Approx(kSlack * demand / slots * loads.at(name).slots));
      }
    }
  });
}

TEST_CASE("demand is averaged over the window") {
  demand_meter meter(seconds(3));
  instant now{seconds(100)};
  for (int i = 0; i < 2000; ++i) {
    meter.Observe(now, {"catalogue"});
    now += milliseconds(10);
  }
  REQUIRE(meter.Rate(now, {"catalogue"}) == Approx(100).epsilon(0.05));
  REQUIRE(meter.Rate(now + seconds(30), {"catalogue"}) < 0.1);
  REQUIRE(meter.Rate(now, {"guides"}) == 0);
}

}  // namespace
}  // namespace lavendertack
