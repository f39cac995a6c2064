#include <catch2/catch.hpp>
#include <iostream>

#include "UnitTests/Agreement/replica_simulation.h"

namespace lavendertack {
namespace {

using testing::event_counts;
using testing::ForEachSeed;
using testing::invariant_violation;
using testing::replica_simulation;

constexpr std::uint64_t kEventsPerSeed = 100'000;
constexpr milliseconds kStepInterval{40};
// Time after the last fault within which the system must have recovered.
constexpr seconds kRecoveryTime{30};
// Small limits make snapshots and log rewrites frequent.
constexpr log_limits kLimits{.kept_entries = 8, .rewrite_bytes = 4096};

change_ticket Ticket(std::uint64_t number, std::uint32_t price,
                     const std::string& data_centre) {
  return {.number = {number},
          .services = {},
          .classes = {{{"hold"}, {price}}},
          .data_centres = {{{data_centre}, false}}};
}

// Submits random tickets and injects and repairs random faults, one step at a
// time.
class random_workload {
 public:
  explicit random_workload(replica_simulation* simulation)
      : sim_(*simulation) {}

  void Step() {
    SubmitRandomTickets();
    if (sim_.RandomChance(0.10)) InjectRandomFault();
    if (sim_.RandomChance(0.15)) RepairRandomFault();
    ReplaceLostDisk();
  }

  void RepairAllFaults() {
    sim_.RestoreLinks();
    sim_.SetLossRate(0);
    sim_.SetDuplicateRate(0);
    for (std::size_t i = 0; i < sim_.size(); ++i) {
      sim_.Unfreeze(i);
      // Repairs the disk, which needs a running instance. A replica whose
      // storage failed votes again after the restart.
      sim_.Start(i);
      sim_.PowerFailure(i);
      // Repeated because an injected power failure may stop the instance again
      // while it opens its log.
      while (!sim_.IsUp(i)) sim_.Start(i);
    }
  }

  // Requests the replacement of the lost disk with probability 0.2. Called at
  // every step until a request succeeds.
  void ReplaceLostDisk() {
    if (!lost_disk_ || !sim_.RandomChance(0.2)) return;
    if (!sim_.IsUp(*lost_disk_)) return;
    const std::size_t removed = *lost_disk_;
    sim_.Replace(sim_.RandomIndex(sim_.size()), removed, replacement_,
                 [this, removed](const replica_change_outcome& outcome) {
                   if (!std::holds_alternative<replica_change_done>(outcome)) {
                     return;
                   }
                   if (lost_disk_ != removed) return;
                   ++sim_.counts()["replica replaced"];
                   lost_disk_.reset();
                 });
  }

  // Whether every lost disk has been replaced.
  bool IsRepaired() const { return !lost_disk_; }

 private:
  void SubmitRandomTickets() {
    if (!sim_.RandomChance(0.3)) return;
    std::uint64_t number = next_number_;
    // Kind 0 takes an older number, kinds 1 and 2 a number that the next ticket
    // takes as well, kind 9 an unknown data centre.
    const std::size_t kind = sim_.RandomIndex(10);
    if (kind == 0 && number > 5) number -= 1 + sim_.RandomIndex(4);
    if (kind >= 3) ++next_number_;
    const auto price = static_cast<std::uint32_t>(sim_.RandomIndex(3));
    const std::string data_centre = kind == 9 ? "nowhere" : "dc0";
    const change_ticket ticket = Ticket(number, price, data_centre);
    Submit(ticket, 0);
    if (sim_.RandomChance(0.3)) {
      ++sim_.counts()["concurrent submission"];
      Submit(Ticket(number, static_cast<std::uint32_t>(sim_.RandomIndex(3)),
                    "dc0"),
             0);
    }
  }

  void Submit(const change_ticket& ticket, int resends) {
    const auto done = [this, ticket, resends](const ticket_outcome& outcome) {
      const bool undecided = std::holds_alternative<ticket_undecided>(outcome);
      if (resends < 3 && (undecided || sim_.RandomChance(0.05))) {
        ++sim_.counts()["resend"];
        sim_.queue().ScheduleAfter(kStepInterval, [this, ticket, resends] {
          Submit(ticket, resends + 1);
        });
      }
    };
    sim_.Submit(sim_.RandomIndex(sim_.size()), ticket, done);
  }

  void InjectRandomFault() {
    const std::size_t i = sim_.RandomIndex(sim_.size());
    switch (sim_.RandomIndex(9)) {
      case 0:
        sim_.PowerFailure(i);
        break;
      case 1:
        LoseDisk(i);
        break;
      case 2:
        // The power fails during one of the next disk operations.
        sim_.DiskOf(i).FailPowerAfter(sim_.RandomIndex(6));
        break;
      case 3:
        sim_.Freeze(i);
        break;
      case 4:
        sim_.CutLink(i, sim_.RandomIndex(sim_.size()));
        ++sim_.counts()["one-way link cut"];
        break;
      case 5:
        sim_.Isolate(i);
        ++sim_.counts()["instance isolated"];
        break;
      case 6:
        sim_.SetLossRate(0.1);
        sim_.SetDuplicateRate(0.2);
        break;
      case 7:
        sim_.DiskOf(i).LimitFreeBytes(sim_.RandomIndex(500));
        ++sim_.counts()["disk full"];
        break;
      case 8:
        sim_.DiskOf(i).FailNextSync();
        ++sim_.counts()["sync failed"];
        break;
    }
  }

  // Stays within the guaranteed fault tolerance: a disk is lost only after the
  // replacement of the previous one was reported as done, and only while a
  // majority of the voters keeps its disk.
  void LoseDisk(std::size_t i) {
    if (lost_disk_ || !sim_.IsUp(i) || !sim_.IsVoterIntact(i)) return;
    if (sim_.IntactVoters() <= sim_.Voters().size() / 2 + 1) return;
    sim_.LoseDisk(i);
    lost_disk_ = i;
    ++lost_disk_count_;
    replacement_ = i;
    // Each running spare takes the place of the previous choice with
    // probability 0.5.
    for (std::size_t spare = 0; spare < sim_.size(); ++spare) {
      if (!sim_.IsUp(spare) || !sim_.NodeOf(spare).settings().replica) continue;
      if (sim_.Voters().contains(sim_.NodeOf(spare).settings().self)) continue;
      if (sim_.RandomChance(0.5)) replacement_ = spare;
    }
  }

  void RepairRandomFault() {
    const std::size_t i = sim_.RandomIndex(sim_.size());
    sim_.Unfreeze(i);
    if (sim_.IsUp(i) && sim_.NodeOf(i).agreed_log().has_failed_storage()) {
      sim_.PowerFailure(i);
    }
    sim_.Start(i);
    if (sim_.RandomChance(0.4)) sim_.RestoreLinks();
    if (sim_.RandomChance(0.4)) {
      sim_.SetLossRate(0);
      sim_.SetDuplicateRate(0);
    }
  }

  replica_simulation& sim_;
  std::uint64_t next_number_ = 1;
  std::optional<std::size_t> lost_disk_;
  std::size_t replacement_ = 0;
  std::uint64_t lost_disk_count_ = 0;
};

void RunSeed(replica_simulation* simulation, std::uint64_t events) {
  random_workload workload(simulation);
  simulation->queue().RunUntil(simulation->queue().Now() + seconds(3));
  while (simulation->events() < events) {
    workload.Step();
    simulation->queue().RunUntil(simulation->queue().Now() + kStepInterval);
  }
  workload.RepairAllFaults();
  const instant end = simulation->queue().Now() + kRecoveryTime;
  while (simulation->queue().Now() < end) {
    workload.ReplaceLostDisk();
    simulation->queue().RunUntil(simulation->queue().Now() + kStepInterval);
  }
  if (!workload.IsRepaired()) throw invariant_violation("disk not replaced");
  simulation->CheckConverged();
}

TEST_CASE("accepted tickets survive random faults") {
  event_counts total;
  std::uint64_t events = 0;
  ForEachSeed([&](std::uint64_t seed) {
    INFO("seed " << seed);
    replica_simulation simulation({.seed = seed,
                                   .initial_voters = seed % 2 == 0 ? 5U : 3U,
                                   .limits = kLimits});
    try {
      RunSeed(&simulation, kEventsPerSeed);
    } catch (const invariant_violation& violation) {
      FAIL(violation.what());
    }
    for (const auto& [name, count] : simulation.counts()) total[name] += count;
    events += simulation.events();
  });
  std::cerr << "agreement random run: " << events << " events";
  for (const auto& [name, count] : total) {
    std::cerr << ", " << name << " " << count;
  }
  std::cerr << "\n";
  for (const char* name :
       {"power failure", "disk lost", "replica replaced",
        "torn write truncated", "freeze", "one-way link cut",
        "instance isolated", "message lost", "message duplicated",
        "storage failed", "concurrent submission", "resend", "answer accepted",
        "answer conflict", "answer outdated", "answer invalid",
        "answer undecided", "log rewritten", "snapshot sent"}) {
    INFO(name);
    CHECK(total[name] > 0);
  }
}

// A disk fault of a stopped instance outlasted the repair, so that the instance
// didn't vote after its restart.
TEST_CASE("the final repair includes the disks of stopped instances") {
  constexpr std::uint64_t kSeed = 45;
  replica_simulation simulation(
      {.seed = kSeed, .initial_voters = 3, .limits = kLimits});
  REQUIRE_NOTHROW(RunSeed(&simulation, kEventsPerSeed));
}

// Runs with `defects` until an invariant is violated and returns the violation;
// empty if no seed violates one.
std::string FindViolation(testing::injected_defects defects) {
  constexpr std::uint64_t kSeeds = 30;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    replica_simulation simulation(
        {.seed = seed, .defects = defects, .limits = kLimits});
    try {
      RunSeed(&simulation, kEventsPerSeed / 4);
    } catch (const invariant_violation& violation) {
      return violation.what();
    }
  }
  return "";
}

TEST_CASE("acknowledging before the sync is detected") {
  REQUIRE(!FindViolation({.acknowledges_before_sync = true}).empty());
}

TEST_CASE("forgetting promises after a restart is detected") {
  REQUIRE(!FindViolation({.forgets_promises = true}).empty());
}

TEST_CASE("restarting in an older state is detected") {
  const std::string violation = FindViolation({.starts_in_older_state = true});
  REQUIRE(violation.find("restarted in an older state") != violation.npos);
}

}  // namespace
}  // namespace lavendertack
