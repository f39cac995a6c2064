#include "Targets/target_performance.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const service_name kDesk{"desk"};
const data_centre_name kHere{"a"};
const data_centre_name kThere{"b"};
constexpr caller_set kOneCaller{1};
constexpr caller_set kManyCallers{0xff};

target_id IdOf(std::size_t i) { return {"i-" + std::to_string(i)}; }

// Ten targets in one data centre, with 10 requests each per second.
class performance_fixture {
 public:
  performance_fixture() {
    for (std::size_t i = 0; i < 10; ++i) {
      targets.push_back({.id = IdOf(i),
                         .service = kDesk,
                         .data_centre = kHere,
                         .slots = 2,
                         .started_ms = 1000,
                         .published = std::nullopt});
    }
  }

  // One second with these outcomes of the first `count` targets, as seen from
  // `reporter`; the others have none that are bad.
  void Second(std::size_t count, const target_outcomes& outcomes,
              const data_centre_name& reporter = kHere) {
    outcome_report report;
    for (std::size_t i = 0; i < count; ++i) {
      report.targets[TagOf(IdOf(i))] = outcomes;
    }
    report.totals[{kDesk, kHere}] = {100, kManyCallers};
    performance.AddReport(reporter, report);
    Evaluate();
  }
  void Evaluate() {
    for (int i = 0; i < 2; ++i) {
      now += milliseconds(500);
      if (performance.IsDue(now)) performance.Evaluate(now, targets);
    }
  }
  percent WeightOf(std::size_t i) const {
    return performance.WeightOf(IdOf(i), targets[i].started_ms);
  }

  instant now{seconds(100)};
  std::vector<evaluated_target> targets;
  target_performance performance;
};

constexpr target_outcomes kFailing{.too_short = 10, .callers = kManyCallers};

TEST_CASE("a target is compared with the others of its service") {
  performance_fixture setup;

  SECTION("one that fails gets the probing share") {
    setup.Second(1, kFailing);
    REQUIRE(setup.WeightOf(0) == percent{2});
    REQUIRE(setup.WeightOf(1) == kFullWeight);
    SECTION("and recovers in steps by good outcomes") {
      for (int i = 0; i < 3; ++i) setup.Second(1, {.requests = 1});
      REQUIRE(setup.WeightOf(0) == percent{2});
      for (int i = 0; i < 3; ++i) setup.Second(1, {.requests = 4});
      REQUIRE(setup.WeightOf(0) > percent{2});
      REQUIRE(setup.WeightOf(0) < kFullWeight);
    }
    SECTION("also after a long time in which all were good") {
      setup.targets[0].started_ms = 2000;
      for (int i = 0; i < 300; ++i) setup.Second(0, {});
      REQUIRE(setup.WeightOf(0) == kFullWeight);
      for (int i = 0; i < 2; ++i) setup.Second(1, kFailing);
      REQUIRE(setup.WeightOf(0) == percent{2});
    }
    SECTION("and doesn't recover without outcomes") {
      for (int i = 0; i < 60; ++i) setup.Evaluate();
      REQUIRE(setup.WeightOf(0) == percent{2});
    }
    SECTION("and keeps it while it drains and reports ready again") {
      setup.targets[0].is_ready = false;
      setup.Evaluate();
      setup.targets[0].is_ready = true;
      setup.Evaluate();
      REQUIRE(setup.WeightOf(0) == percent{2});
    }
    SECTION("but not after a restart") {
      setup.targets[0].started_ms = 2000;
      setup.Evaluate();
      REQUIRE(setup.WeightOf(0) == kFullWeight);
    }
  }
  SECTION("one that is slow gets a weight in proportion") {
    setup.Second(1, {.slow = 10, .slow_ratio = 50, .callers = kManyCallers});
    REQUIRE(setup.WeightOf(0) == percent{20});
  }
  SECTION("but not below 10 percent") {
    setup.Second(1, {.slow = 10, .slow_ratio = 200, .callers = kManyCallers});
    REQUIRE(setup.WeightOf(0) == percent{10});
  }
  SECTION("nothing is found if all are alike") {
    setup.Second(10, kFailing);
    REQUIRE(setup.WeightOf(0) == kFullWeight);
  }
}

TEST_CASE("outcomes that the target may not be the cause of aren't a finding") {
  performance_fixture setup;

  SECTION("all of them are those of one caller") {
    for (int i = 0; i < 10; ++i) {
      setup.Second(1, {.slow = 10, .slow_ratio = 80, .callers = kOneCaller});
    }
  }
  SECTION("there are too few") {
    setup.Second(1, {.too_short = 4, .callers = kManyCallers});
  }
  SECTION("another data centre can't reach the target") {
    for (int i = 0; i < 10; ++i) {
      setup.Second(1, {.no_answer = 10, .callers = kManyCallers}, kThere);
      setup.Second(0, {}, kHere);
    }
  }
  SECTION("only another data centre sees the target, and gets no answer") {
    for (int i = 0; i < 10; ++i) {
      setup.Second(1, {.no_answer = 10, .callers = kManyCallers}, kThere);
    }
  }
  SECTION("they were reported while this process was suspended") {
    setup.Second(0, {});
    setup.now += seconds(10);
    setup.Second(1, kFailing);
  }
  REQUIRE(setup.WeightOf(0) == kFullWeight);
}

TEST_CASE("the weight of a target of another control instance is its own") {
  performance_fixture setup;
  setup.targets[0].published = percent{2};
  setup.Second(1, {.requests = 1});
  REQUIRE(setup.WeightOf(0) == percent{2});
  SECTION("also when that one has ended the finding") {
    setup.targets[0].published = kFullWeight;
    for (int i = 0; i < 5; ++i) setup.Evaluate();
    REQUIRE(setup.WeightOf(0) == kFullWeight);
  }
  SECTION("and counts towards the bound") {
    for (std::size_t i = 1; i < 4; ++i) {
      setup.targets[i].published = percent{2};
    }
    setup.Evaluate();
    outcome_report report;
    report.targets[TagOf(IdOf(9))] = kFailing;
    report.totals[{kDesk, kHere}] = {60, kManyCallers};
    setup.performance.AddReport(kHere, report);
    setup.Evaluate();
    const auto reduced = setup.performance.ReducedTargets();
    REQUIRE(reduced.at(performance_finding::kFailing) <= 4);
  }
}

// Guards against unbounded memory and terminations by a message with invented
// content.
TEST_CASE("reports with unknown targets and services are forgotten") {
  performance_fixture setup;
  outcome_report report;
  for (std::uint32_t i = 1; i <= 20'000; ++i) {
    report.targets[{i}] = {.slow = 10'000, .callers = kManyCallers};
    report.totals[{{std::to_string(i)}, kHere}] = {10'000, kManyCallers};
  }
  setup.performance.AddReport(kThere, report);
  for (int i = 0; i < 60; ++i) setup.Evaluate();
  setup.now += milliseconds(500);
  REQUIRE_FALSE(setup.performance.IsDue(setup.now));
}

}  // namespace
}  // namespace lavendertack
