#include "Control/control_instance.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

constexpr milliseconds kTick{25};
constexpr milliseconds kHeartbeat{1200};

std::optional<manifest> Decode(const std::string&) { return manifest{}; }

// A control instance with one target, which has reported and was saved.
class control_with_target {
 public:
  control_with_target() : control_(MakeControl()) {
    Reduce(target_report_received{Report(1)});
    RunFor(seconds(4));
  }

  // Passes the event and keeps what is saved.
  void Reduce(const control_event& event) {
    for (const control_effect& effect : control_.Reduce(now, event)) {
      if (const auto* save = std::get_if<save_targets>(&effect)) {
        saved_ = save->targets;
      }
    }
  }
  // Entry instances to which a process that starts with the saved file
  // announces itself.
  std::vector<instance_name> AnnouncedAfterRestart() const {
    control_instance restarted = MakeControl();
    restarted.Restore(now, saved_);
    std::vector<instance_name> announced;
    for (const control_effect& effect : restarted.Reduce(now, control_tick{})) {
      if (const auto* send = std::get_if<send_to_entry>(&effect)) {
        announced.push_back(send->to);
      }
    }
    return announced;
  }
  // Ticks while the target reports at its interval.
  void RunFor(milliseconds time) {
    for (const instant end = now + time; now < end; now += kTick) {
      if (now >= next_report_) {
        Reduce(target_report_received{Report(++sequence_)});
        next_report_ = now + kHeartbeat;
      }
      Reduce(control_tick{});
    }
  }
  target_phase Phase() const {
    return control_.targets().targets().at({"i-1"}).report.phase;
  }
  // Phase of the target according to a process that starts with the saved file.
  target_phase PhaseAfterRestart() const {
    control_instance restarted = MakeControl();
    restarted.Restore(now, saved_);
    return restarted.targets().targets().at({"i-1"}).report.phase;
  }
  target_report Report(std::uint64_t sequence,
                       target_phase phase = target_phase::kReady) const {
    return {.id = {"i-1"},
            .version = {1000, sequence},
            .service = {"catalogue"},
            .address = {{0x0a000001}, {8080}},
            .data_centre = {"a"},
            .slots = 2,
            .phase = phase,
            .cold_left = milliseconds(0)};
  }

  instant now{seconds(100)};

 private:
  static control_instance MakeControl() {
    return control_instance({.self = {"10.0.0.1"},
                             .data_centre = {"a"},
                             .seeds = {{"10.0.0.1"}},
                             .bootstrap_voters = {{"10.0.0.1"}},
                             .new_storage_id = {1},
                             .seed = 1,
                             .tolerated_losses = 0,
                             .heartbeat_interval = kHeartbeat,
                             .limits = {}},
                            Decode);
  }

  control_instance control_;
  std::uint64_t sequence_ = 1;
  instant next_report_{seconds(101)};
  wire::target_snapshot saved_;
};

// The targets are saved every 3 s. A process that was killed before that used
// to restore a target as ready that had left.
TEST_CASE("a target that has left isn't ready after a restart") {
  control_with_target setup;
  REQUIRE(setup.PhaseAfterRestart() == target_phase::kReady);

  SECTION("if it has ended") {
    setup.Reduce(target_ended{{"i-1"}});
    REQUIRE(setup.PhaseAfterRestart() == target_phase::kGone);
  }
  SECTION("if it drains") {
    setup.Reduce(
        target_report_received{setup.Report(100, target_phase::kDraining)});
    REQUIRE(setup.PhaseAfterRestart() == target_phase::kDraining);
    SECTION("and ends right after that") {
      setup.Reduce(target_ended{{"i-1"}});
      setup.now += milliseconds(200);
      setup.Reduce(control_tick{});
      REQUIRE(setup.PhaseAfterRestart() == target_phase::kGone);
    }
  }
}

TEST_CASE("a restarted control instance knows its entry instances") {
  control_with_target setup;
  REQUIRE(setup.AnnouncedAfterRestart().empty());
  wire::fleet_message request;
  request.set_from("10.9.0.1");
  request.mutable_follow()->set_name("10.9.0.1");
  setup.Reduce(control_message_received{{"link"}, request});
  setup.RunFor(milliseconds(100));
  REQUIRE(setup.AnnouncedAfterRestart() ==
          std::vector<instance_name>{{"10.9.0.1"}});
}

// A paused process receives no reports. It used to report all its targets as
// silent when it resumed, before it had read the reports that were waiting.
TEST_CASE("targets aren't silent because the control instance was paused") {
  control_with_target setup;
  setup.now += seconds(10);
  setup.Reduce(control_tick{});
  REQUIRE(setup.Phase() == target_phase::kReady);

  SECTION("also if it is paused again soon") {
    setup.RunFor(milliseconds(500));
    setup.now += seconds(10);
    setup.Reduce(control_tick{});
    REQUIRE(setup.Phase() == target_phase::kReady);
  }
  SECTION("but if they don't report afterwards") {
    for (int i = 0; i < 140; ++i) {
      setup.now += kTick;
      setup.Reduce(control_tick{});
    }
    REQUIRE(setup.Phase() == target_phase::kSilent);
  }
}

}  // namespace
}  // namespace lavendertack
