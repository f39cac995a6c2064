#include "Targets/target_view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

const report_source kX{"10.0.0.1"};
const report_source kY{"10.0.0.2"};
const instant kNow{seconds(100)};
const service_name kCatalogue{"catalogue"};

target_report Report(const char* id, std::uint64_t started,
                     std::uint64_t sequence,
                     target_phase phase = target_phase::kReady) {
  return {.id = {id},
          .version = {started, sequence},
          .service = kCatalogue,
          .address = {{0x0a000001}, {8080}},
          .data_centre = {"a"},
          .slots = 2,
          .phase = phase,
          .cold_left = milliseconds(0)};
}

bool TakesNew(const target_view& view, const char* id, instant now = kNow) {
  const known_target* target = view.Find({id});
  return target != nullptr && target->IsOpen(now) && target->IsReporting(now);
}

TEST_CASE("a follower of several control instances knows a target") {
  target_view view;
  view.Apply(kNow, kX, Report("i-1", 1000, 4));
  REQUIRE(TakesNew(view, "i-1"));

  SECTION("which drains, as another control instance heard") {
    view.Apply(kNow, kY, Report("i-1", 1000, 5, target_phase::kDraining));
    REQUIRE_FALSE(TakesNew(view, "i-1"));

    SECTION("and an older word of the first one changes nothing") {
      view.Apply(kNow, kX, Report("i-1", 1000, 4));
      REQUIRE_FALSE(TakesNew(view, "i-1"));
    }
  }
  SECTION("which moved on to another control instance") {
    view.Apply(kNow, kY, Report("i-1", 1000, 5));
    view.Apply(kNow, kX, Report("i-1", 1000, 4, target_phase::kSilent));
    REQUIRE(TakesNew(view, "i-1"));

    SECTION("until nobody hears it") {
      view.Apply(kNow, kY, Report("i-1", 1000, 6, target_phase::kSilent));
      REQUIRE_FALSE(TakesNew(view, "i-1"));
      REQUIRE_FALSE(view.Find({"i-1"})->IsTerminated());
    }
  }
  SECTION("which ended") {
    view.Apply(kNow, kY, Report("i-1", 1000, 5, target_phase::kGone));
    REQUIRE(view.Find({"i-1"})->IsTerminated());

    SECTION("and a late report doesn't bring it back") {
      view.Apply(kNow, kX, Report("i-1", 1000, 6));
      REQUIRE(view.Find({"i-1"})->IsTerminated());
    }
    SECTION("and started again under its name") {
      view.Apply(kNow, kX, Report("i-1", 2000, 1));
      REQUIRE(TakesNew(view, "i-1"));
    }
  }
  SECTION("whose address a later one has taken") {
    view.Apply(kNow, kY, Report("i-2", 2000, 1));
    REQUIRE(view.Find({"i-1"})->IsTerminated());
    REQUIRE(TakesNew(view, "i-2"));

    SECTION("and a report of the first one, delayed by a cut, comes after") {
      view.Apply(kNow, kX, Report("i-1", 1000, 9));
      REQUIRE(view.Find({"i-1"})->IsTerminated());
      REQUIRE(TakesNew(view, "i-2"));
    }
  }
  SECTION("whose address an earlier one had, of which a late report comes") {
    view.Apply(kNow, kY, Report("i-0", 500, 1));
    REQUIRE(view.Find({"i-0"})->IsTerminated());
    REQUIRE(TakesNew(view, "i-1"));
  }
  SECTION("whose control instance is lost: its word runs out") {
    view.ExpireSource(kX, kNow + seconds(10));
    REQUIRE(TakesNew(view, "i-1", kNow + seconds(9)));
    REQUIRE_FALSE(TakesNew(view, "i-1", kNow + seconds(10)));

    SECTION("unless it's given again") {
      view.Apply(kNow, kX, Report("i-1", 1000, 5));
      REQUIRE(TakesNew(view, "i-1", kNow + seconds(60)));
    }
  }
  SECTION("which is cold") {
    target_report cold = Report("i-1", 1000, 5);
    cold.cold_left = milliseconds(2000);
    view.Apply(kNow, kX, cold);
    REQUIRE_FALSE(TakesNew(view, "i-1", kNow + milliseconds(1999)));
    REQUIRE(TakesNew(view, "i-1", kNow + milliseconds(2000)));
  }
  SECTION("by the tag in the packets of its flows") {
    REQUIRE(view.FindByTag(TagOf({"i-1"}))->report.id == target_id{"i-1"});
    REQUIRE(view.FindByTag({12345}) == nullptr);
  }
  SECTION("and forgets it only when it's over for long") {
    view.Forget(kNow + seconds(200), milliseconds(70'000));
    REQUIRE(view.size() == 1);
    view.Apply(kNow, kX, Report("i-1", 1000, 5, target_phase::kGone));
    view.Forget(kNow + seconds(69), milliseconds(70'000));
    REQUIRE(view.size() == 1);
    view.Forget(kNow + seconds(70), milliseconds(70'000));
    REQUIRE(view.size() == 0);
    REQUIRE(view.FindByTag(TagOf({"i-1"})) == nullptr);
    REQUIRE(view.OfService(kCatalogue).empty());
  }
}

// A new entry instance hears of a target only that it has fallen silent. Its
// connections may be alive.
TEST_CASE("a target that is known by its silence alone") {
  target_view view;
  view.Apply(kNow, kX, Report("i-1", 1000, 7, target_phase::kSilent));
  const known_target* target = view.FindByTag(TagOf({"i-1"}));
  REQUIRE(target != nullptr);
  REQUIRE_FALSE(target->IsTerminated());
  REQUIRE_FALSE(target->IsOpen(kNow));

  SECTION("is over when a later one has its address") {
    view.Apply(kNow, kY, Report("i-2", 2000, 1));
    REQUIRE(view.Find({"i-1"})->IsTerminated());
  }
  SECTION("is taken at its word when it speaks, however old that is") {
    view.Apply(kNow, kY, Report("i-1", 1000, 6));
    REQUIRE(TakesNew(view, "i-1"));
  }
}

// The same rules over a list of every report ever made, read from the start.
class naive_view {
 public:
  void Add(const report_source& from, const target_report& report) {
    history_.emplace_back(from, report);
  }

  // Whether the target drains, is ready, ended, by the newest of its reports.
  std::optional<target_phase> PhaseOf(const target_id& id) const {
    std::optional<target_report> newest;
    for (const auto& [from, report] : history_) {
      if (report.id != id) continue;
      if (report.phase == target_phase::kSilent) {
        // It was there before anything was heard of it here.
        if (!newest) {
          newest = report;
          newest->phase = target_phase::kDraining;
          newest->version.sequence = 0;
        }
        continue;
      }
      if (newest && newest->phase == target_phase::kGone &&
          newest->version.started_ms == report.version.started_ms) {
        continue;
      }
      if (!newest || report.version >= newest->version) newest = report;
    }
    if (!newest) return std::nullopt;
    return newest->phase;
  }

 private:
  std::vector<std::pair<report_source, target_report>> history_;
};

TEST_CASE("a view tells the same as the whole history of reports") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    target_view view;
    naive_view naive;
    for (int step = 0; step < 500; ++step) {
      const std::string id = "i-" + std::to_string(random() % 8);
      target_report report = Report(id.c_str(), 1 + random() % 3, random() % 20,
                                    static_cast<target_phase>(random() % 4));
      // Each has an address of its own here.
      report.address.port.value = static_cast<std::uint16_t>(1 + id.back());
      const report_source from{"10.0.0." + std::to_string(random() % 3)};
      view.Apply(kNow, from, report);
      naive.Add(from, report);
      for (int i = 0; i < 8; ++i) {
        const target_id name{"i-" + std::to_string(i)};
        const auto expected = naive.PhaseOf(name);
        if (!expected) continue;
        INFO("seed " << seed << " step " << step << " target " << name);
        REQUIRE(view.Find(name) != nullptr);
        REQUIRE(view.Find(name)->report.phase == *expected);
      }
      REQUIRE(view.OfService(kCatalogue).size() == view.size());
    }
  });
}

}  // namespace
}  // namespace lavendertack
