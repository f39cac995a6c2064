#include "Targets/target_registry.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

constexpr milliseconds kSilentAfter{3000};
constexpr milliseconds kForgetAfter{60'000};

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

TEST_CASE("a control instance keeps book of the targets that report to it") {
  target_registry book({kSilentAfter, kForgetAfter});
  const instant start{seconds(100)};
  REQUIRE(book.Report(start, Report(1)) == report_result::kChanged);
  const std::uint64_t known = book.revision();

  SECTION("a report that says nothing new makes no revision") {
    REQUIRE(book.Report(start, Report(2)) == report_result::kUnchanged);
    REQUIRE(book.revision() == known);
  }
  SECTION("a late report changes nothing") {
    book.Report(start, Report(5, target_phase::kDraining));
    REQUIRE(book.Report(start, Report(4)) == report_result::kOutdated);
    REQUIRE(book.targets().at({"i-7f"}).report.phase ==
            target_phase::kDraining);
  }
  SECTION("a target that turns cold is a change, while it cools down isn't") {
    target_report cold = Report(2);
    cold.cold_left = milliseconds(2000);
    REQUIRE(book.Report(start, cold) == report_result::kChanged);
    cold.version.sequence = 3;
    cold.cold_left = milliseconds(800);
    REQUIRE(book.Report(start + milliseconds(1200), cold) ==
            report_result::kUnchanged);
  }
  SECTION("it ends") {
    book.MarkGone(start, {"i-7f"}, std::nullopt);
    REQUIRE(book.targets().at({"i-7f"}).report.phase == target_phase::kGone);

    SECTION("and a report on its way is outdated") {
      REQUIRE(book.Report(start, Report(9)) == report_result::kOutdated);
    }
    SECTION("and starts again under its name") {
      target_report again = Report(1);
      again.version.started_ms = 2000;
      REQUIRE(book.Report(start, again) == report_result::kChanged);
      REQUIRE(book.targets().at({"i-7f"}).report.phase == target_phase::kReady);
    }
    SECTION("and is forgotten in the end") {
      book.Tick(start + kForgetAfter);
      REQUIRE(book.targets().empty());
    }
  }
  SECTION("it falls silent, and speaks again") {
    REQUIRE(book.Tick(start + kSilentAfter - milliseconds(1)).empty());
    REQUIRE(book.Tick(start + kSilentAfter).size() == 1);
    REQUIRE(book.targets().at({"i-7f"}).report.phase == target_phase::kSilent);
    REQUIRE(book.Report(start + kSilentAfter, Report(2)) ==
            report_result::kChanged);
  }
  SECTION("the end of a target that reported elsewhere is taken up") {
    target_report other = Report(7);
    other.id = {"i-80"};
    book.MarkGone(start, {"i-80"}, other);
    REQUIRE(book.targets().at({"i-80"}).report.phase == target_phase::kGone);
  }
  SECTION("the end of a target that nobody knows leaves no trace") {
    book.MarkGone(start, {"i-99"}, std::nullopt);
    REQUIRE_FALSE(book.targets().contains({"i-99"}));
  }
  SECTION("a target of an earlier process has longer to report") {
    target_registry restarted({kSilentAfter, kForgetAfter});
    restarted.Restore(Report(4), start + seconds(10));
    REQUIRE(restarted.Tick(start + seconds(9)).empty());
    REQUIRE(restarted.Tick(start + seconds(10)).size() == 1);

    SECTION("and what is heard since goes first") {
      restarted.Report(start, Report(5, target_phase::kDraining));
      restarted.Restore(Report(4), start + seconds(10));
      REQUIRE(restarted.targets().at({"i-7f"}).report.phase ==
              target_phase::kDraining);
    }
  }
  SECTION("changes are found by revision, each target once") {
    book.Report(start, Report(2, target_phase::kDraining));
    target_report other = Report(1);
    other.id = {"i-80"};
    book.Report(start, other);
    REQUIRE(book.ChangesSince(0).size() == 2);
    REQUIRE(book.ChangesSince(known).size() == 2);
    REQUIRE(book.ChangesSince(book.revision() - 1).size() == 1);
    REQUIRE(book.ChangesSince(book.revision()).empty());
  }
}

}  // namespace
}  // namespace lavendertack
