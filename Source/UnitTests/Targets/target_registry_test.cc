#include "Targets/target_registry.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

constexpr milliseconds kSilentAfter{3000};
constexpr milliseconds kForgetAfter{60'000};
constexpr milliseconds kUnansweredSilentAfter{1500};

target_report Report(std::uint64_t sequence,
                     target_phase phase = target_phase::kReady) {
  return {.id = {"i-7f"},
          .version = {1000, sequence},
          .service = {"catalogue"},
          .address = {{0x0a000001}, {8080}},
          .data_centre = {"a"},
          .slots = 2,
          .phase = phase,
          .cold_left = milliseconds(0)};
}

TEST_CASE("the registry tracks the targets that report to a control instance") {
  target_registry registry(
      {kSilentAfter, kForgetAfter, kUnansweredSilentAfter});
  const instant start{seconds(100)};
  REQUIRE(registry.Report(start, Report(1)) == report_result::kChanged);
  const std::uint64_t revision = registry.revision();

  SECTION("a report with the same content gets no revision") {
    REQUIRE(registry.Report(start, Report(2)) == report_result::kUnchanged);
    REQUIRE(registry.revision() == revision);
  }
  SECTION("an outdated report changes nothing") {
    registry.Report(start, Report(5, target_phase::kDraining));
    REQUIRE(registry.Report(start, Report(4)) == report_result::kOutdated);
    REQUIRE(registry.targets().at({"i-7f"}).report.phase ==
            target_phase::kDraining);
  }
  SECTION("becoming cold is a change, a shorter remaining time isn't") {
    target_report cold = Report(2);
    cold.cold_left = milliseconds(2000);
    REQUIRE(registry.Report(start, cold) == report_result::kChanged);
    cold.version.sequence = 3;
    cold.cold_left = milliseconds(800);
    REQUIRE(registry.Report(start + milliseconds(1200), cold) ==
            report_result::kUnchanged);
  }
  SECTION("a target that doesn't answer callers becomes silent sooner") {
    const instant overdue = start + kUnansweredSilentAfter;
    const target_tag tag = TagOf({"i-7f"});
    registry.RecordUnanswered(tag, 1);
    registry.RecordUnanswered(TagOf({"i-other"}), 5);
    REQUIRE(registry.Tick(overdue).empty());
    registry.RecordUnanswered(tag, 1);
    REQUIRE(registry.Tick(overdue - milliseconds(1)).empty());

    SECTION("when its next report is overdue") {
      REQUIRE(registry.Tick(overdue).size() == 1);
      const target_report& silent = registry.targets().at({"i-7f"}).report;
      REQUIRE(silent.phase == target_phase::kSilent);
      REQUIRE(silent.unanswered);

      SECTION("until it reports again") {
        REQUIRE(registry.Report(overdue, Report(2)) == report_result::kChanged);
        REQUIRE_FALSE(registry.targets().at({"i-7f"}).report.unanswered);
        REQUIRE(registry.Tick(overdue).empty());
      }
    }
    SECTION("unless it has answered since") {
      registry.RecordAnswered(tag);
      REQUIRE(registry.Tick(overdue).empty());
      REQUIRE(registry.Tick(start + kSilentAfter).size() == 1);
      REQUIRE_FALSE(registry.targets().at({"i-7f"}).report.unanswered);
    }
    SECTION("unless it has reported since") {
      registry.Report(start + milliseconds(1200), Report(2));
      REQUIRE(registry.Tick(start + milliseconds(1200) + kUnansweredSilentAfter)
                  .empty());
    }
  }
  SECTION("a target ends") {
    registry.MarkGone(start, {"i-7f"}, std::nullopt);
    REQUIRE(registry.targets().at({"i-7f"}).report.phase ==
            target_phase::kGone);

    SECTION("and a delayed report is outdated") {
      REQUIRE(registry.Report(start, Report(9)) == report_result::kOutdated);
    }
    SECTION("and restarts with the same id") {
      target_report again = Report(1);
      again.version.started_ms = 2000;
      REQUIRE(registry.Report(start, again) == report_result::kChanged);
      REQUIRE(registry.targets().at({"i-7f"}).report.phase ==
              target_phase::kReady);
    }
    SECTION("and is erased after the timeout") {
      registry.Tick(start + kForgetAfter);
      REQUIRE(registry.targets().empty());
    }
  }
  SECTION("a target becomes silent and reports again") {
    REQUIRE(registry.Tick(start + kSilentAfter - milliseconds(1)).empty());
    REQUIRE(registry.Tick(start + kSilentAfter).size() == 1);
    REQUIRE(registry.targets().at({"i-7f"}).report.phase ==
            target_phase::kSilent);
    REQUIRE(registry.Report(start + kSilentAfter, Report(2)) ==
            report_result::kChanged);
  }
  SECTION("the end of a target that reported to another instance is recorded") {
    target_report other_target = Report(7);
    other_target.id = {"i-80"};
    registry.MarkGone(start, {"i-80"}, other_target);
    REQUIRE(registry.targets().at({"i-80"}).report.phase ==
            target_phase::kGone);
  }
  SECTION("the end of an unknown target is ignored") {
    registry.MarkGone(start, {"i-99"}, std::nullopt);
    REQUIRE_FALSE(registry.targets().contains({"i-99"}));
  }
  SECTION("a restored target has longer to report") {
    target_registry restarted({kSilentAfter, kForgetAfter});
    restarted.Restore(start, Report(4), start + seconds(10));
    REQUIRE(restarted.Tick(start + seconds(9)).empty());
    REQUIRE(restarted.Tick(start + seconds(10)).size() == 1);

    SECTION("and a newer report takes precedence over a restored one") {
      restarted.Report(start, Report(5, target_phase::kDraining));
      restarted.Restore(start, Report(4), start + seconds(10));
      REQUIRE(restarted.targets().at({"i-7f"}).report.phase ==
              target_phase::kDraining);
    }
  }
  // The mark used to remain if the report had changed anyway, and the one after
  // it was sent to all followers once more.
  SECTION("the next report is republished once") {
    registry.RepublishNextReports(Report(1).data_centre);
    REQUIRE(registry.Report(start, Report(2, target_phase::kDraining)) ==
            report_result::kChanged);
    REQUIRE(registry.Report(start, Report(3, target_phase::kDraining)) ==
            report_result::kUnchanged);
  }
  // A target that was saved as cold used to count as warm after a restart of
  // its control instance.
  SECTION("a restored target that was cold stays cold") {
    target_registry restarted({kSilentAfter, kForgetAfter});
    target_report cold = Report(4);
    cold.cold_left = milliseconds(1500);
    restarted.Restore(start, cold, start + seconds(10));
    REQUIRE(restarted.targets().at({"i-7f"}).cold_until ==
            start + milliseconds(1500));
  }
  SECTION("changes are returned by revision, each target once") {
    registry.Report(start, Report(2, target_phase::kDraining));
    target_report other_target = Report(1);
    other_target.id = {"i-80"};
    registry.Report(start, other_target);
    REQUIRE(registry.ChangesSince(0).size() == 2);
    REQUIRE(registry.ChangesSince(revision).size() == 2);
    REQUIRE(registry.ChangesSince(registry.revision() - 1).size() == 1);
    REQUIRE(registry.ChangesSince(registry.revision()).empty());
  }
}

}  // namespace
}  // namespace lavendertack
