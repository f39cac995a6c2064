#include "Model/fleet_model.h"

#include <array>
#include <catch2/catch.hpp>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

using testing::ForEachSeed;

model_result RunScenario(const std::string& scenario, double load,
                         model_policy policy, std::uint64_t seed) {
  model_scenario scenario_settings = *FindScenario(scenario, load);
  // The overload scenario has a constant load and a high request rate, so a
  // shorter run suffices.
  if (scenario == "overload") scenario_settings.duration = seconds(14);
  fleet_model model(std::move(scenario_settings), policy, seed);
  return model.Run();
}

double ShareWithinObjective(const model_result& result,
                            const std::string& class_name) {
  const class_result& counts = result.classes.at(class_name);
  return static_cast<double>(counts.within_objective) /
         static_cast<double>(counts.requests);
}

void CheckSums(const model_result& result) {
  for (const auto& [name, counts] : result.classes) {
    INFO(name);
    REQUIRE(counts.within_objective + counts.late + counts.refused +
                counts.failed ==
            counts.requests);
  }
}

TEST_CASE("low-priority requests don't delay high-priority ones at any load") {
  ForEachSeed([](std::uint64_t seed) {
    constexpr std::array kLoads{1.0, 2.0, 5.0};
    const double load = kLoads[seed % kLoads.size()];
    INFO("seed " << seed << " load " << load);
    const double baseline =
        ShareWithinObjective(RunScenario("overload", 0.5, {}, seed), "hold");
    const model_result result = RunScenario("overload", load, {}, seed);
    CheckSums(result);
    // The share is at most 0.05 lower than at half load.
    REQUIRE(ShareWithinObjective(result, "hold") >= baseline - 0.05);
    // Excess requests are refused; none waits until its deadline.
    REQUIRE(result.classes.at("browse").failed == 0);
    REQUIRE(result.classes.at("hold").refused <=
            result.classes.at("hold").requests / 100);
  });
}

TEST_CASE(
    "without refusals, high-priority requests miss their objective as well") {
  const auto result =
      RunScenario("overload", 2.0, {.refuse_overload = false}, 1);
  REQUIRE(ShareWithinObjective(result, "hold") < 0.5);
}

TEST_CASE("nothing is refused while targets have free slots") {
  ForEachSeed([](std::uint64_t seed) {
    INFO("seed " << seed);
    for (const char* scenario : {"calm", "rolling", "drain", "crash"}) {
      INFO(scenario);
      const model_result result = RunScenario(scenario, 1.0, {}, seed);
      CheckSums(result);
      for (const auto& [name, counts] : result.classes) {
        REQUIRE(counts.refused == 0);
      }
    }
  });
}

// Requests that failed or were answered late.
std::uint64_t CountMissed(const model_result& result) {
  std::uint64_t missed = 0;
  for (const auto& [name, counts] : result.classes) {
    missed += counts.failed + counts.late;
  }
  return missed;
}

// Replays targets that crash without notice while callers have flows open to
// them. Requests that a target was working on when it crashed are missed in any
// case.
TEST_CASE("callers of crashed targets can repeat their requests in time") {
  std::uint64_t missed = 0;
  std::uint64_t missed_without_reports = 0;
  ForEachSeed([&](std::uint64_t seed) {
    INFO("seed " << seed);
    const model_result result = RunScenario("crash", 1.0, {}, seed);
    CheckSums(result);
    REQUIRE(result.broken_flows == 0);
    missed += CountMissed(result);
    missed_without_reports += CountMissed(
        RunScenario("crash", 1.0, {.report_unanswered = false}, seed));
  });
  REQUIRE(missed < missed_without_reports);
}

TEST_CASE("planned changes break no flow") {
  ForEachSeed([](std::uint64_t seed) {
    INFO("seed " << seed);
    for (const char* scenario : {"rolling", "drain"}) {
      INFO(scenario);
      const model_result result = RunScenario(scenario, 1.0, {}, seed);
      REQUIRE(result.flows > 0);
      REQUIRE(result.broken_flows == 0);
      for (const auto& [name, counts] : result.classes) {
        REQUIRE(counts.failed == 0);
      }
    }
  });
}

TEST_CASE(
    "placement by load is no worse than random placement in the calm "
    "scenario") {
  ForEachSeed([](std::uint64_t seed) {
    INFO("seed " << seed);
    const auto by_load = RunScenario("calm", 2.0, {}, seed);
    const auto random =
        RunScenario("calm", 2.0, {.placement = model_placement::kRandom}, seed);
    REQUIRE(by_load.imbalance.at({"desk"}) <=
            random.imbalance.at({"desk"}) + 0.05);
    REQUIRE(ShareWithinObjective(by_load, "browse") >=
            ShareWithinObjective(random, "browse") - 0.02);
  });
}

}  // namespace
}  // namespace lavendertack
