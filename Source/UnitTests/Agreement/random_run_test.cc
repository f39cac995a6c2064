#include <catch2/catch.hpp>
#include <iostream>

#include "UnitTests/Agreement/replica_world.h"

namespace lavendertack {
namespace {

using testing::ForEachSeed;
using testing::replica_world;
using testing::violation;
using testing::world_counts;

constexpr std::uint64_t kEventsPerSeed = 100'000;
constexpr milliseconds kStepInterval{40};
// Time after the last fault in which everything must be well again.
constexpr seconds kHealTime{30};
// Small, so that snapshots are common.
constexpr log_limits kLimits{.kept_entries = 8, .rewrite_bytes = 4096};

change_ticket Ticket(std::uint64_t number, std::uint32_t price,
                     const std::string& data_centre) {
  return {.number = {number},
          .services = {},
          .classes = {{{"hold"}, {price}}},
          .data_centres = {{{data_centre}, false}}};
}

// Two operators and everything that fails, one random step at a time.
class random_life {
 public:
  explicit random_life(replica_world* world) : world_(*world) {}

  void Step() {
    SubmitSomething();
    if (world_.Chance(0.10)) FailSomething();
    if (world_.Chance(0.15)) MendSomething();
    RepairLostDisk();
  }

  void MendAll() {
    world_.HealLinks();
    world_.SetLossRate(0);
    world_.SetDuplicateRate(0);
    for (std::size_t i = 0; i < world_.size(); ++i) {
      world_.Wake(i);
      // Mends the disk; a replica whose disk failed votes after a restart.
      world_.PowerFailure(i);
      // The power may fail once more while the log is opened.
      while (!world_.IsUp(i)) world_.Start(i);
    }
  }

  // Operators go on until the disk that was lost is replaced.
  void RepairLostDisk() {
    if (!lost_ || !world_.Chance(0.2)) return;
    if (!world_.IsUp(*lost_)) return;
    const std::size_t removed = *lost_;
    world_.Replace(
        world_.Pick(world_.size()), removed, replacement_,
        [this, removed](const replica_change_outcome& outcome) {
          if (!std::holds_alternative<replica_change_done>(outcome)) {
            return;
          }
          if (lost_ != removed) return;
          ++world_.counts()["replica replaced"];
          lost_.reset();
        });
  }

  bool IsRepaired() const { return !lost_; }

 private:
  void SubmitSomething() {
    if (!world_.Chance(0.3)) return;
    std::uint64_t number = next_number_;
    const std::size_t kind = world_.Pick(10);
    if (kind == 0 && number > 5) number -= 1 + world_.Pick(4);
    if (kind >= 3) ++next_number_;
    const auto price = static_cast<std::uint32_t>(world_.Pick(3));
    const std::string data_centre = kind == 9 ? "nowhere" : "dc0";
    const change_ticket ticket = Ticket(number, price, data_centre);
    Submit(ticket, 0);
    if (world_.Chance(0.3)) {
      ++world_.counts()["operators race"];
      Submit(Ticket(number, static_cast<std::uint32_t>(world_.Pick(3)), "dc0"),
             0);
    }
  }

  void Submit(const change_ticket& ticket, int tries) {
    const auto done = [this, ticket, tries](const ticket_outcome& outcome) {
      const bool open = std::holds_alternative<ticket_undecided>(outcome);
      if (tries < 3 && (open || world_.Chance(0.05))) {
        ++world_.counts()["resend"];
        world_.queue().After(kStepInterval, [this, ticket, tries] {
          Submit(ticket, tries + 1);
        });
      }
    };
    world_.Submit(world_.Pick(world_.size()), ticket, done);
  }

  void FailSomething() {
    const std::size_t i = world_.Pick(world_.size());
    switch (world_.Pick(9)) {
      case 0:
        world_.PowerFailure(i);
        break;
      case 1:
        LoseDisk(i);
        break;
      case 2:
        // The power fails within one of the next operations of the disk.
        world_.DiskOf(i).FailPowerAfter(world_.Pick(6));
        break;
      case 3:
        world_.Freeze(i);
        break;
      case 4:
        world_.Cut(i, world_.Pick(world_.size()));
        ++world_.counts()["one-way cut"];
        break;
      case 5:
        world_.Isolate(i);
        ++world_.counts()["instance cut off"];
        break;
      case 6:
        world_.SetLossRate(0.1);
        world_.SetDuplicateRate(0.2);
        break;
      case 7:
        world_.DiskOf(i).FullAfter(world_.Pick(500));
        ++world_.counts()["disk full"];
        break;
      case 8:
        world_.DiskOf(i).FailNextSync();
        ++world_.counts()["sync failed"];
        break;
    }
  }

  // Only what is promised to be survived: the next disk is lost only after the
  // operators were told that the one before it is replaced.
  void LoseDisk(std::size_t i) {
    if (lost_ || !world_.IsUp(i) || !world_.IsVoterIntact(i)) return;
    if (world_.IntactVoters() <= world_.Voters().size() / 2 + 1) return;
    world_.LoseDisk(i);
    lost_ = i;
    ++losses_;
    replacement_ = i;
    // Another instance with a disk takes its place, half of the time.
    for (std::size_t spare = 0; spare < world_.size(); ++spare) {
      if (!world_.IsUp(spare) || !world_.At(spare).settings().replica) continue;
      if (world_.Voters().contains(world_.At(spare).settings().self)) continue;
      if (world_.Chance(0.5)) replacement_ = spare;
    }
  }

  void MendSomething() {
    const std::size_t i = world_.Pick(world_.size());
    world_.Wake(i);
    if (world_.IsUp(i) && world_.At(i).agreed_log().has_failed_storage()) {
      world_.PowerFailure(i);
    }
    world_.Start(i);
    if (world_.Chance(0.4)) world_.HealLinks();
    if (world_.Chance(0.4)) {
      world_.SetLossRate(0);
      world_.SetDuplicateRate(0);
    }
  }

  replica_world& world_;
  std::uint64_t next_number_ = 1;
  std::optional<std::size_t> lost_;
  std::size_t replacement_ = 0;
  std::uint64_t losses_ = 0;
};

void RunSeed(replica_world* world, std::uint64_t events) {
  random_life life(world);
  world->queue().RunUntil(world->queue().Now() + seconds(3));
  while (world->events() < events) {
    life.Step();
    world->queue().RunUntil(world->queue().Now() + kStepInterval);
  }
  life.MendAll();
  const instant end = world->queue().Now() + kHealTime;
  while (world->queue().Now() < end) {
    life.RepairLostDisk();
    world->queue().RunUntil(world->queue().Now() + kStepInterval);
  }
  if (!life.IsRepaired()) throw violation("a lost disk can't be replaced");
  world->CheckConverged();
}

TEST_CASE("no fault takes back an accepted ticket") {
  world_counts total;
  std::uint64_t events = 0;
  ForEachSeed([&](std::uint64_t seed) {
    INFO("seed " << seed);
    replica_world world(
        {.seed = seed, .founders = seed % 2 == 0 ? 5U : 3U, .limits = kLimits});
    try {
      RunSeed(&world, kEventsPerSeed);
    } catch (const violation& broken) {
      FAIL(broken.what());
    }
    for (const auto& [name, count] : world.counts()) total[name] += count;
    events += world.events();
  });
  std::cerr << "agreement random run: " << events << " events";
  for (const auto& [name, count] : total) {
    std::cerr << ", " << name << " " << count;
  }
  std::cerr << "\n";
  for (const char* name :
       {"power failure", "disk lost", "replica replaced", "torn write cut",
        "freeze", "one-way cut", "instance cut off", "message lost",
        "message duplicated", "storage failed", "operators race", "resend",
        "answer accepted", "answer conflict", "answer outdated",
        "answer invalid", "answer undecided", "log rewritten",
        "snapshot sent"}) {
    INFO(name);
    CHECK(total[name] > 0);
  }
}

// The violation that a run with broken rules ends in; empty when there is none.
std::string FindViolation(testing::broken_rules broken) {
  constexpr std::uint64_t kSeeds = 30;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    replica_world world({.seed = seed, .broken = broken, .limits = kLimits});
    try {
      RunSeed(&world, kEventsPerSeed / 4);
    } catch (const violation& found) {
      return found.what();
    }
  }
  return "";
}

TEST_CASE("a replica that acknowledges before it syncs is caught") {
  REQUIRE(!FindViolation({.acknowledges_before_sync = true}).empty());
}

TEST_CASE("a replica that accepts a lower ballot is caught") {
  REQUIRE(!FindViolation({.forgets_promises = true}).empty());
}

TEST_CASE("a replica that starts in an older state is caught") {
  const std::string found = FindViolation({.starts_in_older_state = true});
  REQUIRE(found.find("came back in an older state") != found.npos);
}

}  // namespace
}  // namespace lavendertack
