// Long random simulations of whole nodes. All test cases evaluate the same
// runs; each invariant has its own test case, so that a failure names the
// invariant.
#include "UnitTests/Node/node_simulation.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace lavendertack::testing {
namespace {

struct run_result {
  std::map<std::string, std::uint64_t> counts;
  std::uint64_t fewest_events = ~std::uint64_t{0};
  std::map<invariant, std::vector<std::string>> violations;
};

constexpr invariant kLastInvariant = invariant::kTicketsApplied;

run_result RunSeeds(bool inject_faults) {
  run_result result;
  ForEachSeed([&](std::uint64_t seed) {
    node_simulation simulation({.seed = seed, .inject_faults = inject_faults});
    simulation.Run();
    result.fewest_events = std::min(result.fewest_events, simulation.events());
    for (const auto& [event, count] : simulation.checker().counts()) {
      result.counts[event] += count;
    }
    for (int i = 0; i <= static_cast<int>(kLastInvariant); ++i) {
      for (const auto& description :
           simulation.checker().violations(static_cast<invariant>(i))) {
        result.violations[static_cast<invariant>(i)].push_back(
            "seed " + std::to_string(seed) + " " + description);
      }
    }
  });
  std::cout << (inject_faults ? "all faults" : "planned changes only")
            << ", fewest events of a seed: " << result.fewest_events << "\n";
  for (const auto& [event, count] : result.counts) {
    std::cout << "  " << event << ": " << count << "\n";
  }
  return result;
}

const run_result& WithFaults() {
  static const run_result result = RunSeeds(true);
  return result;
}

const run_result& PlannedOnly() {
  static const run_result result = RunSeeds(false);
  return result;
}

std::string DescribeViolations(const run_result& result, invariant which) {
  auto it = result.violations.find(which);
  if (it == result.violations.end()) return "";
  std::string text = std::to_string(it->second.size()) + " times:";
  for (std::size_t i = 0; i < std::min<std::size_t>(8, it->second.size());
       ++i) {
    text += "\n" + it->second[i];
  }
  return text;
}

void CheckInvariant(invariant which) {
  const std::string with_faults = DescribeViolations(WithFaults(), which);
  INFO(with_faults);
  CHECK(with_faults.empty());
  const std::string planned_only = DescribeViolations(PlannedOnly(), which);
  INFO(planned_only);
  CHECK(planned_only.empty());
}

TEST_CASE("whole nodes: the runs are long and include every kind of fault") {
  CHECK(WithFaults().fewest_events >= 100'000);
  CHECK(PlannedOnly().fewest_events >= 100'000);
  for (const char* event :
       {"fault: instance killed", "fault: instance killed between effects",
        "fault: instance frozen", "fault: data centre partitioned",
        "fault: data centre partitioned one way", "fault: instance partitioned",
        "fault: target crashed", "fault: name reused by another service",
        "fault: truncated answer", "fault: duplicate answer",
        "fault: late answer", "fault: two tickets with equal numbers",
        "planned: target drains", "planned: data centre out of service"}) {
    INFO(event);
    CHECK(WithFaults().counts.contains(event));
  }
}

TEST_CASE("whole nodes: no request reaches another service") {
  CheckInvariant(invariant::kServiceMatch);
}
TEST_CASE("whole nodes: a request that may not be repeated runs once") {
  CheckInvariant(invariant::kAtMostOnce);
}
TEST_CASE("whole nodes: a request answered as not run never runs") {
  CheckInvariant(invariant::kNotRunNeverRuns);
}
TEST_CASE("whole nodes: a repeatable request answered as not run never runs") {
  CheckInvariant(invariant::kNotRunNeverRunsRepeatable);
}
TEST_CASE("whole nodes: no target gets more requests than its slots") {
  CheckInvariant(invariant::kSlotLimit);
}
TEST_CASE("whole nodes: a cold target gets one request at a time") {
  CheckInvariant(invariant::kColdTargetLimit);
}
TEST_CASE("whole nodes: a data centre out of service gets no packet") {
  CheckInvariant(invariant::kOutOfServiceDataCentre);
}
TEST_CASE("whole nodes: a leaving target gets no new requests") {
  CheckInvariant(invariant::kLeavingTarget);
}
TEST_CASE("whole nodes: the complete answer reaches the right caller") {
  CheckInvariant(invariant::kCorrectAnswer);
}
TEST_CASE("whole nodes: every request gets a final answer") {
  CheckInvariant(invariant::kFinalAnswer);
}
TEST_CASE("whole nodes: flows survive planned changes") {
  CheckInvariant(invariant::kFlowSurvival);
}
TEST_CASE("whole nodes: accepted tickets are applied and stay applied") {
  CheckInvariant(invariant::kTicketsApplied);
}

bool Detects(mutation active_mutation, invariant which) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    node_simulation simulation({.seed = seed,
                                .length = seconds(60),
                                .active_mutation = active_mutation});
    simulation.Run();
    if (!simulation.checker().violations(which).empty()) return true;
  }
  return false;
}

TEST_CASE("whole nodes: deliberate mutations are detected") {
  SECTION("a request sent to a target of another service") {
    CHECK(Detects(mutation::kWrongTarget, invariant::kServiceMatch));
  }
  SECTION("a run order sent twice") {
    CHECK(Detects(mutation::kSendOrderTwice, invariant::kAtMostOnce));
  }
  SECTION("a retry of a request with an unknown outcome") {
    CHECK(Detects(mutation::kRetryUnknownOutcome, invariant::kAtMostOnce));
  }
  SECTION("an answer before the end of the request") {
    CHECK(Detects(mutation::kAnswerEarly, invariant::kSlotLimit));
  }
  SECTION("not run instead of outcome unknown") {
    CHECK(Detects(mutation::kFalseNotRun, invariant::kNotRunNeverRuns));
  }
  SECTION("a ticket that leaves the data centre in service") {
    CHECK(Detects(mutation::kIgnoreOutOfService,
                  invariant::kOutOfServiceDataCentre));
  }
  SECTION("an answer sent to another caller") {
    CHECK(Detects(mutation::kWrongCaller, invariant::kCorrectAnswer));
  }
  SECTION("requests without an answer") {
    CHECK(Detects(mutation::kDropAnswers, invariant::kFinalAnswer));
  }
  SECTION("a restart without the newest records") {
    CHECK(Detects(mutation::kLoseRecords, invariant::kTicketsApplied));
  }
}

}  // namespace
}  // namespace lavendertack::testing
