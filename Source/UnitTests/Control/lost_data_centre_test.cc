#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "UnitTests/Control/fleet_simulation.h"

namespace lavendertack {
namespace {

using testing::fleet_simulation;

constexpr milliseconds kReportInterval{1200};
constexpr milliseconds kStep{50};
constexpr std::size_t kEntry = 0;  // In dc-0, as control instance 0.
// The control instance of the other data centre.
constexpr std::size_t kOtherControl = 2;
const data_centre_name kOther{"dc-2"};
const target_id kLiving{"i-1"};
const target_id kLeaving{"i-2"};

// Callers at an entry instance in dc-0 have connections to two targets in dc-2,
// which report to the control instance in dc-0.
class connections_to_other_data_centre {
 public:
  // `entries`: entry instances; the third one is in dc-2.
  explicit connections_to_other_data_centre(std::size_t entries)
      : fleet({.seed = 5, .controls = 3, .entries = entries}) {
    fleet.Run(seconds(4));
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    reporting_ = {kLiving, kLeaving};
    Run(seconds(3));
    for (std::uint16_t port = 1; port <= 13; ++port) {
      const target_id& target = TargetOf(port);
      Send(port, target, 100, 20);
      Send(port, target, 0, 900);
    }
    Run(kStep);
  }

  void Run(milliseconds time) {
    for (const instant end = fleet.Now() + time; fleet.Now() < end;) {
      if (fleet.Now() >= next_report_) ReportTargets();
      fleet.Run(kStep);
      for (const lost_flow& lost : fleet.entry(kEntry).TakeLostFlows()) {
        const std::uint16_t port = lost.last_packet.flow.caller.port.value;
        if (lost.last_packet.tag == TagOf(kLiving)) reset_.insert(port);
      }
    }
  }
  // The callers of the target send a request and repeat it.
  void SendUnansweredRequests(const target_id& target) {
    for (int copy = 0; copy < 2; ++copy) {
      for (std::uint16_t port = 1; port <= 13; ++port) {
        if (TargetOf(port) == target) Send(port, target, 100, 900);
      }
      Run(milliseconds(200));
    }
  }
  void StopReports(const target_id& target) { std::erase(reporting_, target); }
  // Cuts off the data centre with all its instances and targets.
  void CutOff() {
    reporting_.clear();
    fleet.Partition({kOtherControl}, false);
    for (std::size_t i = 0; i < fleet.entry_count(); ++i) {
      fleet.IsolateEntry(i, i == kOtherControl
                                ? std::set<std::size_t>{kOtherControl}
                                : std::set<std::size_t>{0, 1});
    }
  }
  void Heal() {
    fleet.Heal();
    reporting_ = {kLiving, kLeaving};
  }
  // Whether the caller's connection to the living target is reset.
  bool IsReset() { return Send(1, kLiving, 0, 900); }
  // Number of connections to the living target that were reset.
  std::size_t resets() const { return reset_.size(); }

  fleet_simulation fleet;

 private:
  static const target_id& TargetOf(std::uint16_t port) {
    return port <= 10 ? kLiving : kLeaving;
  }
  void ReportTargets() {
    next_report_ = fleet.Now() + kReportInterval;
    ++sequence_;
    for (const target_id& id : reporting_) {
      fleet.Report(0, {.id = id,
                       .version = {1000, sequence_},
                       .service = {"a"},
                       .address = {{id == kLiving ? 1U : 2U}, {8080}},
                       .data_centre = kOther,
                       .slots = 2});
    }
  }
  // Sends a packet on a connection to the target; returns whether the
  // connection is reset.
  bool Send(std::uint16_t port, const target_id& target, std::uint32_t data,
            std::uint32_t acknowledged) {
    const auto decision = fleet.entry(kEntry).Route(
        fleet.Now(), {.flow = {{{0x64400000}, {port}}, {{1}, {'a'}}},
                      .tag = TagOf(target),
                      .sequence = data == 0 ? 110U : 10U,
                      .acknowledged = acknowledged,
                      .data_bytes = data});
    const bool is_reset = std::holds_alternative<reset_caller>(decision);
    if (is_reset && target == kLiving) reset_.insert(port);
    return is_reset;
  }

  std::vector<target_id> reporting_;
  std::uint64_t sequence_ = 0;
  instant next_report_;
  std::set<std::uint16_t> reset_;  // Ports of the callers.
};

// Guards against resets of connections to living targets while the control
// instance of their data centre is frozen: one target that leaves with requests
// unanswered was taken as proof that the whole data centre was cut off.
TEST_CASE("connections to a data centre whose control instance is frozen") {
  const std::size_t entries = GENERATE(1, 3);
  connections_to_other_data_centre setup(entries);
  setup.fleet.Pause(kOtherControl, milliseconds(7200));
  setup.Run(seconds(4));
  setup.StopReports(kLeaving);
  for (int i = 0; i < 6; ++i) {
    setup.SendUnansweredRequests(kLeaving);
    REQUIRE_FALSE(setup.IsReset());
  }
  REQUIRE(setup.resets() == 0);

  SECTION("go on after it has woken") {
    setup.Run(seconds(5));
    REQUIRE_FALSE(setup.IsReset());
    REQUIRE(setup.resets() == 0);
  }
}

// The same evidence as above, but the data centre is lost.
TEST_CASE("connections to a data centre that is cut off are reset in time") {
  connections_to_other_data_centre setup(GENERATE(1, 3));
  setup.CutOff();
  const instant cut = setup.fleet.Now();
  // Its entry instances send requests twice a second; without them it takes the
  // time in which a target reports to another control instance.
  const milliseconds limit(setup.fleet.entry_count() == 1 ? 3000 : 2000);
  while (setup.resets() == 0 && setup.fleet.Now() < cut + limit) {
    setup.SendUnansweredRequests(kLiving);
  }
  REQUIRE(setup.resets() == 10);
  REQUIRE(setup.IsReset());

  SECTION("and work again after the partition") {
    setup.Heal();
    setup.Run(seconds(2));
    REQUIRE_FALSE(setup.IsReset());
  }
}

}  // namespace
}  // namespace lavendertack
