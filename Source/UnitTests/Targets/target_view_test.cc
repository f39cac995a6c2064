#include "Targets/target_view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

const report_source kFirstControl{"10.0.0.1"};
const report_source kSecondControl{"10.0.0.2"};
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

// Whether the view allows new flows to the target.
bool IsCandidate(const target_view& view, const char* id, instant now = kNow) {
  const known_target* target = view.Find({id});
  return target != nullptr && target->AcceptsNewFlows(now) &&
         target->IsReporting(now);
}

TEST_CASE("a target that neither reports nor answers callers is lost") {
  target_view view;
  target_report silence = Report("i-1", 1000, 4, target_phase::kSilent);
  silence.unanswered = true;
  const auto is_lost = [&view] { return view.Find({"i-1"})->IsLost(kNow); };
  view.Apply(kNow, kFirstControl, Report("i-1", 1000, 4));
  REQUIRE_FALSE(is_lost());

  SECTION("according to the control instance that received its reports") {
    REQUIRE(view.Apply(kNow, kFirstControl, silence).has_value());
    REQUIRE(is_lost());

    SECTION("until it reports again") {
      view.Apply(kNow, kSecondControl, Report("i-1", 1000, 5));
      REQUIRE_FALSE(is_lost());
    }
  }
  SECTION("not while it reports to another control instance") {
    view.Apply(kNow, kSecondControl, Report("i-1", 1000, 5));
    view.Apply(kNow, kFirstControl, silence);
    REQUIRE_FALSE(is_lost());
  }
  SECTION("not if it may still answer callers") {
    silence.unanswered = false;
    view.Apply(kNow, kFirstControl, silence);
    REQUIRE_FALSE(is_lost());
  }
}

TEST_CASE("a saved report of a restarted control instance") {
  target_view view;
  target_report saved = Report("i-1", 1000, 3);
  saved.restored = true;
  const target_report silence = Report("i-1", 1000, 4, target_phase::kSilent);

  SECTION("counts while there is no other one") {
    view.Apply(kNow, kFirstControl, saved);
    REQUIRE(IsCandidate(view, "i-1"));
    SECTION("and not after a report from the target") {
      view.Apply(kNow, kSecondControl, Report("i-1", 1000, 4));
      view.Apply(kNow, kSecondControl, silence);
      REQUIRE_FALSE(IsCandidate(view, "i-1"));
    }
    SECTION("and is confirmed by the target") {
      view.Apply(kNow, kFirstControl, Report("i-1", 1000, 4));
      view.Apply(kNow, kSecondControl, silence);
      REQUIRE(IsCandidate(view, "i-1"));
    }
  }
  SECTION("doesn't count beside a report from the target") {
    view.Apply(kNow, kSecondControl, Report("i-1", 1000, 3));
    view.Apply(kNow, kFirstControl, saved);
    REQUIRE(IsCandidate(view, "i-1"));
    view.Apply(kNow, kSecondControl, silence);
    REQUIRE_FALSE(IsCandidate(view, "i-1"));
  }
}

TEST_CASE("a change names the target that was replaced at the address") {
  target_view view;
  view.Apply(kNow, kFirstControl, Report("i-1", 1000, 4));
  const target_report silence = Report("i-1", 1000, 4, target_phase::kSilent);

  SECTION("the earlier one had stopped reporting before") {
    view.Apply(kNow, kFirstControl, silence);
    const auto change = view.Apply(kNow, kFirstControl, Report("i-2", 2000, 1));
    REQUIRE(change->replaced == target_id{"i-1"});
    REQUIRE(view.Find({"i-1"})->replaced);
    const auto next = view.Apply(
        kNow, kFirstControl, Report("i-2", 2000, 2, target_phase::kDraining));
    REQUIRE_FALSE(next->replaced.has_value());
  }
  SECTION("the earlier one stops reporting later") {
    view.Apply(kNow, kFirstControl, Report("i-2", 2000, 1));
    REQUIRE(view.ReviewAddresses(kNow).empty());
    view.Apply(kNow, kFirstControl, silence);
    const auto changes = view.ReviewAddresses(kNow);
    REQUIRE(changes.size() == 1);
    REQUIRE(changes.front().id == target_id{"i-2"});
    REQUIRE(changes.front().replaced == target_id{"i-1"});
    REQUIRE(view.ReviewAddresses(kNow).empty());
  }
}

// Guards against a living target that counts as replaced, so that its flows are
// reset, because another writer reports a target with its address.
TEST_CASE("an address belongs to the target that reports with it") {
  target_view view;
  const auto is_replaced = [&view] { return view.Find({"i-1"})->replaced; };
  view.Apply(kNow, kFirstControl, Report("i-1", 1000, 4));

  SECTION("while it reports") {
    view.Apply(kNow, kSecondControl, Report("i-2", 2000, 1));
    REQUIRE_FALSE(is_replaced());
    REQUIRE(IsCandidate(view, "i-1"));

    SECTION("also after the other one has ended") {
      view.Apply(kNow, kSecondControl,
                 Report("i-2", 2000, 2, target_phase::kGone));
      view.ReviewAddresses(kNow);
      REQUIRE(IsCandidate(view, "i-1"));
    }
    SECTION("also after it has become silent: nobody else reports either") {
      view.Apply(kNow, kSecondControl,
                 Report("i-2", 2000, 1, target_phase::kSilent));
      view.Apply(kNow, kFirstControl,
                 Report("i-1", 1000, 4, target_phase::kSilent));
      view.ReviewAddresses(kNow);
      REQUIRE_FALSE(is_replaced());
    }
    SECTION("to a control instance that is briefly out of contact") {
      const instant later = kNow + milliseconds(3999);
      view.RecordContact(later, kSecondControl);
      REQUIRE(view.ReviewAddresses(later).empty());
      REQUIRE_FALSE(is_replaced());
      SECTION("and not to one that stays so: it reports elsewhere by then") {
        REQUIRE(view.ReviewAddresses(kNow + seconds(4)).size() == 1);
        REQUIRE(is_replaced());
      }
    }
    SECTION("while no control instance is in contact") {
      REQUIRE(view.ReviewAddresses(kNow + seconds(8)).empty());
    }
  }
  SECTION("the other one started earlier") {
    view.Apply(kNow, kFirstControl,
               Report("i-1", 1000, 4, target_phase::kSilent));
    view.Apply(kNow, kSecondControl, Report("i-0", 500, 1));
    REQUIRE_FALSE(is_replaced());
  }
  SECTION("not any more once it has another one") {
    target_report moved = Report("i-1", 1500, 1);
    moved.address.port = {9090};
    view.Apply(kNow, kFirstControl, moved);
    view.Apply(kNow, kSecondControl, Report("i-2", 2000, 1));
    view.Apply(kNow, kFirstControl,
               Report("i-1", 1500, 1, target_phase::kSilent));
    REQUIRE(view.ReviewAddresses(kNow).empty());
    REQUIRE_FALSE(is_replaced());
  }
}

// Another writer's report may arrive while those of the target are delayed, and
// a delayed report may arrive after the target has ended.
TEST_CASE("a replaced target that reports again") {
  target_view view;
  view.Apply(kNow, kFirstControl, Report("i-1", 1000, 4));
  view.Apply(kNow, kFirstControl,
             Report("i-1", 1000, 4, target_phase::kSilent));
  view.Apply(kNow, kSecondControl, Report("i-2", 2000, 1));
  REQUIRE(view.Find({"i-1"})->replaced);
  view.Apply(kNow, kFirstControl, Report("i-1", 1000, 5));
  REQUIRE_FALSE(view.Find({"i-1"})->replaced);
  REQUIRE_FALSE(IsCandidate(view, "i-1"));
  REQUIRE(IsCandidate(view, "i-2"));

  SECTION("gets new flows when it has gone on for longer than one report") {
    REQUIRE_FALSE(IsCandidate(view, "i-1", kNow + milliseconds(4999)));
    REQUIRE(IsCandidate(view, "i-1", kNow + seconds(5)));
  }
  SECTION("is replaced again if it doesn't go on") {
    const instant later = kNow + milliseconds(3300);
    view.RecordContact(later, kSecondControl);
    view.Apply(later, kFirstControl,
               Report("i-1", 1000, 5, target_phase::kSilent));
    REQUIRE(view.ReviewAddresses(later).size() == 1);
    REQUIRE(view.Find({"i-1"})->replaced);
  }
}

TEST_CASE("the view merges the reports of several control instances") {
  target_view view;
  view.Apply(kNow, kFirstControl, Report("i-1", 1000, 4));
  REQUIRE(IsCandidate(view, "i-1"));

  SECTION("draining, reported by another control instance") {
    view.Apply(kNow, kSecondControl,
               Report("i-1", 1000, 5, target_phase::kDraining));
    REQUIRE_FALSE(IsCandidate(view, "i-1"));

    SECTION("and an older report of the first one changes nothing") {
      view.Apply(kNow, kFirstControl, Report("i-1", 1000, 4));
      REQUIRE_FALSE(IsCandidate(view, "i-1"));
    }
  }
  SECTION("a target that moved to another control instance") {
    view.Apply(kNow, kSecondControl, Report("i-1", 1000, 5));
    view.Apply(kNow, kFirstControl,
               Report("i-1", 1000, 4, target_phase::kSilent));
    REQUIRE(IsCandidate(view, "i-1"));

    SECTION("until no control instance receives its reports") {
      view.Apply(kNow, kSecondControl,
                 Report("i-1", 1000, 6, target_phase::kSilent));
      REQUIRE_FALSE(IsCandidate(view, "i-1"));
      REQUIRE_FALSE(view.Find({"i-1"})->IsTerminated());
    }
  }
  SECTION("a target that ended") {
    view.Apply(kNow, kSecondControl,
               Report("i-1", 1000, 5, target_phase::kGone));
    REQUIRE(view.Find({"i-1"})->IsTerminated());

    SECTION("and a delayed report is ignored") {
      view.Apply(kNow, kFirstControl, Report("i-1", 1000, 6));
      REQUIRE(view.Find({"i-1"})->IsTerminated());
    }
    SECTION("and restarted with the same id") {
      view.Apply(kNow, kFirstControl, Report("i-1", 2000, 1));
      REQUIRE(IsCandidate(view, "i-1"));
    }
  }
  SECTION("a target whose address a later one uses") {
    view.Apply(kNow, kFirstControl,
               Report("i-1", 1000, 4, target_phase::kSilent));
    view.Apply(kNow, kSecondControl, Report("i-2", 2000, 1));
    REQUIRE(view.Find({"i-1"})->IsTerminated());
    REQUIRE(IsCandidate(view, "i-2"));

    SECTION("and a delayed report of the earlier one is received afterwards") {
      view.Apply(kNow, kFirstControl, Report("i-1", 1000, 9));
      REQUIRE_FALSE(IsCandidate(view, "i-1"));
      REQUIRE(IsCandidate(view, "i-2"));
    }
  }
  SECTION("a delayed report of an earlier target with the same address") {
    view.Apply(kNow, kSecondControl, Report("i-0", 500, 1));
    REQUIRE_FALSE(IsCandidate(view, "i-0"));
    REQUIRE(IsCandidate(view, "i-1"));
  }
  SECTION("reports from a lost control instance expire") {
    view.ExpireSource(kFirstControl, kNow + seconds(10));
    REQUIRE(IsCandidate(view, "i-1", kNow + seconds(9)));
    REQUIRE_FALSE(IsCandidate(view, "i-1", kNow + seconds(10)));

    SECTION("unless they are sent again") {
      view.Apply(kNow, kFirstControl, Report("i-1", 1000, 5));
      REQUIRE(IsCandidate(view, "i-1", kNow + seconds(60)));
    }
  }
  SECTION("a cold target") {
    target_report cold = Report("i-1", 1000, 5);
    cold.cold_left = milliseconds(2000);
    view.Apply(kNow, kFirstControl, cold);
    REQUIRE_FALSE(IsCandidate(view, "i-1", kNow + milliseconds(1999)));
    REQUIRE(IsCandidate(view, "i-1", kNow + milliseconds(2000)));
  }
  SECTION("a target is found by its tag") {
    REQUIRE(view.FindByTag(TagOf({"i-1"}))->report.id == target_id{"i-1"});
    REQUIRE(view.FindByTag({12345}) == nullptr);
  }
  SECTION("a target is erased only after it has been gone for the given time") {
    view.Forget(kNow + seconds(200), milliseconds(70'000));
    REQUIRE(view.size() == 1);
    view.Apply(kNow, kFirstControl,
               Report("i-1", 1000, 5, target_phase::kGone));
    view.Forget(kNow + seconds(69), milliseconds(70'000));
    REQUIRE(view.size() == 1);
    view.Forget(kNow + seconds(70), milliseconds(70'000));
    REQUIRE(view.size() == 0);
    REQUIRE(view.FindByTag(TagOf({"i-1"})) == nullptr);
    REQUIRE(view.OfService(kCatalogue).empty());
  }
}

// The first update that an entry instance receives about a target may say that
// the target is silent. Its connections may be alive, so their packets must
// still be forwarded.
TEST_CASE("a target whose first update says that it is silent") {
  target_view view;
  view.Apply(kNow, kFirstControl,
             Report("i-1", 1000, 7, target_phase::kSilent));
  const known_target* target = view.FindByTag(TagOf({"i-1"}));
  REQUIRE(target != nullptr);
  REQUIRE_FALSE(target->IsTerminated());
  REQUIRE_FALSE(target->AcceptsNewFlows(kNow));

  SECTION("is replaced by a later one with the same address") {
    view.Apply(kNow, kSecondControl, Report("i-2", 2000, 1));
    REQUIRE(view.Find({"i-1"})->IsTerminated());
  }
  SECTION("is updated by any report of its own, however old") {
    view.Apply(kNow, kSecondControl, Report("i-1", 1000, 6));
    REQUIRE(IsCandidate(view, "i-1"));
  }
}

// Reference implementation: applies the same rules to the list of all reports.
class reference_view {
 public:
  void Add(const report_source& from, const target_report& report) {
    history_.emplace_back(from, report);
  }

  // The phase in the target's newest report; empty without reports.
  std::optional<target_phase> PhaseOf(const target_id& id) const {
    std::optional<target_report> newest;
    for (const auto& [from, report] : history_) {
      if (report.id != id) continue;
      if (report.phase == target_phase::kSilent) {
        // The target was alive before, in an unknown phase.
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

// Reports of targets and of other writers, silences, control instances out of
// contact: in any order.
TEST_CASE("a target that reports is never replaced") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    target_view view;
    instant now = kNow;
    // When a source last sent a report of the target, and it wasn't followed by
    // its silence there.
    std::map<std::pair<std::string, report_source>, bool> receives;
    std::map<report_source, instant> contacts;
    int replaced = 0;
    for (int step = 0; step < 500; ++step) {
      now += milliseconds(random() % 1500);
      const std::string id = "i-" + std::to_string(random() % 4);
      const report_source from{"10.0.0." + std::to_string(random() % 3)};
      const bool is_silence = random() % 3 == 0;
      // Each target has started at its own time and reports in sequence.
      view.Apply(
          now, from,
          Report(id.c_str(), 1000 + static_cast<unsigned>(id.back()),
                 static_cast<std::uint64_t>(step),
                 is_silence ? target_phase::kSilent : target_phase::kReady));
      contacts[from] = now;
      receives[{id, from}] = !is_silence;
      view.ReviewAddresses(now);
      for (const auto& entry : view.targets()) {
        const target_id& target = entry.first;
        const bool is_replaced = entry.second->replaced;
        const bool is_reporting = std::any_of(
            contacts.begin(), contacts.end(), [&](const auto& contact) {
              return now - contact.second < seconds(4) &&
                     receives[{target.value, contact.first}];
            });
        INFO("seed " << seed << " step " << step << " target " << target);
        if (is_reporting) REQUIRE_FALSE(is_replaced);
        if (is_replaced) ++replaced;
      }
    }
    REQUIRE(replaced > 0);
  });
}

TEST_CASE("the view matches the full history of reports") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    target_view view;
    reference_view reference;
    for (int step = 0; step < 500; ++step) {
      const std::string id = "i-" + std::to_string(random() % 8);
      target_report report = Report(id.c_str(), 1 + random() % 3, random() % 20,
                                    static_cast<target_phase>(random() % 4));
      // Each target has its own address, so none is replaced.
      report.address.port.value = static_cast<std::uint16_t>(1 + id.back());
      const report_source from{"10.0.0." + std::to_string(random() % 3)};
      view.Apply(kNow, from, report);
      reference.Add(from, report);
      for (int i = 0; i < 8; ++i) {
        const target_id name{"i-" + std::to_string(i)};
        const auto expected = reference.PhaseOf(name);
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
