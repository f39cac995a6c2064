#include <algorithm>
#include <catch2/catch.hpp>

#include "UnitTests/Control/fleet_simulation.h"

namespace lavendertack {
namespace {

using testing::fleet_simulation;

constexpr milliseconds kReportInterval{1200};
constexpr milliseconds kStep{50};
const target_id kLiving{"i-1"};
const ipv4_endpoint kAddress{{0x0a000001}, {8080}};
const ipv4_endpoint kRoute{{1}, {'a'}};

// A target of service "a" reports to the first control instance and has an open
// flow at an entry instance. The manifest names the services "a", "b" and "c".
class target_with_flow {
 public:
  target_with_flow() : fleet({.seed = 3, .controls = 3, .entries = 1}) {
    fleet.Run(seconds(4));
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    Run(seconds(2));
    Send();
  }

  void Run(milliseconds time) {
    for (const instant end = fleet.Now() + time; fleet.Now() < end;) {
      if (reports && fleet.Now() >= next_report_) {
        next_report_ = fleet.Now() + kReportInterval;
        fleet.Report(0, Report(kLiving.value, "a", 1000, ++sequence_));
      }
      fleet.Run(kStep);
      for (const lost_flow& lost : fleet.entry(0).TakeLostFlows()) {
        resets += lost.last_packet.tag == TagOf(kLiving) ? 1 : 0;
      }
    }
  }
  static target_report Report(const std::string& id, const char* service,
                              std::uint64_t started, std::uint64_t sequence) {
    return {.id = {id},
            .version = {started, sequence},
            .service = {service},
            .address = kAddress,
            .data_centre = {"dc-0"},
            .slots = 2};
  }
  // Sends a packet of the open flow; returns the reason of the decision.
  forward_reason Send() {
    const auto decision = fleet.entry(0).Route(
        fleet.Now(), {.flow = {{{0x64400000}, {1}}, kRoute},
                      .tag = TagOf(kLiving),
                      .sequence = 10});
    return std::visit([](const auto& v) { return v.reason; }, decision);
  }
  // Opens a flow and returns its target; empty if it is refused.
  std::string Open() {
    const auto decision = fleet.entry(0).Route(
        fleet.Now(),
        {.flow = {{{0x64400001}, {++last_port_}}, kRoute}, .opens = true});
    const auto* forward = std::get_if<forward_to_target>(&decision);
    return forward == nullptr ? "" : forward->target->report.id.value;
  }

  fleet_simulation fleet;
  bool reports = true;
  int resets = 0;  // Of flows of the target.

 private:
  std::uint64_t sequence_ = 0;
  std::uint16_t last_port_ = 0;
  instant next_report_;
};

// Guards against resets of all flows of a living target because another writer
// reports its address, with a later start.
TEST_CASE("another writer reports the address of a living target") {
  target_with_flow setup;
  const char* service = GENERATE("printers", "a", "b");
  const std::size_t control = GENERATE(0, 1);
  // Once, or like a target.
  const int reports = GENERATE(1, 10);
  for (int i = 1; i <= 10; ++i) {
    if (i <= reports) {
      setup.fleet.Report(
          control, target_with_flow::Report("i-9", service, 2000,
                                            static_cast<std::uint64_t>(i)));
    }
    setup.Run(milliseconds(700));
    REQUIRE(setup.Send() == forward_reason::kFollows);
  }
  REQUIRE(setup.resets == 0);
  setup.Run(seconds(4));
  int opened = 0;
  for (int i = 0; i < 20; ++i) opened += setup.Open() == kLiving.value ? 1 : 0;
  REQUIRE(opened > 0);
}

TEST_CASE("a target ends, and another one starts at its address") {
  target_with_flow setup;
  setup.reports = false;
  setup.Run(seconds(2));
  for (int i = 1; setup.resets == 0 && i <= 10; ++i) {
    setup.fleet.Report(1, target_with_flow::Report(
                              "i-9", "b", 2000, static_cast<std::uint64_t>(i)));
    setup.Run(milliseconds(200));
  }
  REQUIRE(setup.resets == 1);
  REQUIRE(setup.Send() == forward_reason::kTargetOver);
}

TEST_CASE("a report for a service that the manifest doesn't name") {
  target_with_flow setup;
  const auto answer = [&](const target_report& report) {
    setup.fleet.Report(1, report);
    return setup.fleet.control(1).AnswerTo(setup.fleet.Now(), report);
  };

  SECTION("isn't registered") {
    const auto report = target_with_flow::Report("i-9", "printers", 2000, 1);
    REQUIRE(answer(report) == report_answer::kUnknownService);
    REQUIRE_FALSE(setup.fleet.control(1).targets().targets().contains({"i-9"}));
    SECTION("until a manifest names it") {
      setup.fleet.Publish(1, 2, "abp");
      setup.Run(seconds(1));
      REQUIRE(answer(target_with_flow::Report("i-9", "p", 2000, 2)) ==
              report_answer::kConfirmed);
    }
  }
  SECTION("doesn't replace the report of the target with its id") {
    const auto report =
        target_with_flow::Report(kLiving.value, "printers", 2000, 1);
    REQUIRE(answer(report) == report_answer::kUnknownService);
    setup.Run(seconds(1));
    REQUIRE(setup.Send() == forward_reason::kFollows);
    REQUIRE(setup.Open() == kLiving.value);
  }
  SECTION("is registered if the service was removed since the last one") {
    REQUIRE(answer(target_with_flow::Report("i-9", "c", 2000, 1)) ==
            report_answer::kConfirmed);
    setup.fleet.Publish(1, 2, "ab");
    setup.Run(seconds(1));
    target_report draining = target_with_flow::Report("i-9", "c", 2000, 2);
    draining.phase = target_phase::kDraining;
    REQUIRE(answer(draining) == report_answer::kConfirmed);
  }
  SECTION("is registered before the first manifest") {
    fleet_simulation started({.seed = 3, .controls = 3, .entries = 1});
    started.Run(seconds(4));
    const auto report = target_with_flow::Report("i-9", "printers", 2000, 1);
    started.Report(1, report);
    REQUIRE(started.control(1).targets().targets().contains({"i-9"}));
  }
}

}  // namespace
}  // namespace lavendertack
