#include "Control/saved_targets.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const report_source kPeer{"10.0.0.2"};

target_report Report(int number, std::uint64_t sequence,
                     target_phase phase = target_phase::kReady) {
  return {.id = {"i-" + std::to_string(number)},
          .version = {1000, sequence},
          .service = {"catalogue"},
          .address = {{static_cast<std::uint32_t>(number)}, {8080}},
          .data_centre = {"a"},
          .slots = 2,
          .phase = phase};
}

// A control instance with target 1, whose peer has target 2.
struct saving_control {
  instant now{seconds(100)};
  target_registry own{{milliseconds(3000), milliseconds(60'000)}};
  target_view peers;
  saved_targets saved;

  saving_control() {
    own.Report(now, Report(1, 1));
    ReportToPeer(Report(2, 1));
  }
  void ReportToPeer(const target_report& report) {
    if (auto change = peers.Apply(now, kPeer, report)) {
      saved.RecordPeerChange(change->phase);
    }
  }
  std::optional<wire::target_snapshot> TakeDue() {
    return saved.TakeDue(now, own, peers);
  }
};

TEST_CASE("a control instance saves the targets of all control instances") {
  saving_control control;
  const auto first = control.TakeDue();
  REQUIRE(first->targets_size() == 1);
  REQUIRE(first->peer_targets_size() == 1);
  REQUIRE_FALSE(control.TakeDue());

  SECTION("and sends those of the others after its restart, for 10 s") {
    saved_targets restarted;
    target_registry registry{{milliseconds(3000), milliseconds(60'000)}};
    REQUIRE(restarted.Restore(control.now, *first, &registry) == 0);
    REQUIRE(registry.targets().size() == 1);
    const auto& peer_targets = restarted.PeerTargets(control.now);
    REQUIRE(peer_targets.size() == 1);
    REQUIRE(peer_targets[0].report.id.value == "i-2");
    REQUIRE(peer_targets[0].report.restored);
    REQUIRE(restarted.PeerTargets(control.now + seconds(10)).empty());
  }
  SECTION("soon after one has left, wherever it reported") {
    control.now += milliseconds(200);
    control.ReportToPeer(Report(2, 2, target_phase::kGone));
    REQUIRE(control.TakeDue()->peer_targets_size() == 0);
  }
  SECTION("3 s later after other changes") {
    control.ReportToPeer(Report(3, 1));
    control.now += milliseconds(2900);
    REQUIRE_FALSE(control.TakeDue());
    control.now += milliseconds(100);
    REQUIRE(control.TakeDue()->peer_targets_size() == 2);
  }
  SECTION("again when a cold start has ended") {
    target_report cold = Report(3, 1);
    cold.cold_left = milliseconds(4000);
    control.ReportToPeer(cold);
    control.now += seconds(3);
    REQUIRE(control.TakeDue()->peer_targets(1).cold_left_ms() == 1000);
    control.now += seconds(3);
    REQUIRE(control.TakeDue()->peer_targets(1).cold_left_ms() == 0);
  }
  SECTION("each target once when it changes over to this instance") {
    control.own.Report(control.now, Report(2, 2));
    control.now += seconds(3);
    const auto save = control.TakeDue();
    REQUIRE(save->targets_size() == 2);
    REQUIRE(save->peer_targets_size() == 0);
  }
}

// Guards against a saved target that is passed on from restart to restart
// although it has vanished.
TEST_CASE("what another control instance restored isn't saved") {
  saving_control control;
  target_report restored = Report(3, 1);
  restored.restored = true;
  control.ReportToPeer(restored);
  REQUIRE(control.TakeDue()->peer_targets_size() == 1);
}

// A file of another build or with flipped bytes must not end the process.
TEST_CASE("saved targets that can't be decoded are skipped") {
  wire::target_snapshot saved;
  saved.add_targets()->set_port(70'000);
  saved.add_peer_targets()->set_phase(static_cast<wire::target_phase>(99));
  saved_targets restarted;
  target_registry registry{{milliseconds(3000), milliseconds(60'000)}};
  REQUIRE(restarted.Restore(instant{}, saved, &registry) == 2);
  REQUIRE(registry.targets().empty());
  REQUIRE(restarted.PeerTargets(instant{}).empty());
}

// The writes of a large deployment are spread over time.
TEST_CASE("a large file isn't written after each change") {
  saving_control control;
  for (int i = 3; i < 20'003; ++i) control.ReportToPeer(Report(i, 1));
  REQUIRE(control.TakeDue()->peer_targets_size() == 20'001);
  control.now += milliseconds(500);
  control.ReportToPeer(Report(3, 2, target_phase::kDraining));
  REQUIRE_FALSE(control.TakeDue());
  control.now += milliseconds(1500);
  REQUIRE(control.TakeDue());
}

}  // namespace
}  // namespace lavendertack
