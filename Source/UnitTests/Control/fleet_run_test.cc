#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "UnitTests/Control/fleet_simulation.h"

namespace lavendertack {
namespace {

using testing::fleet_simulation;
using testing::fleet_simulation_settings;
using testing::invariant_violation;

constexpr milliseconds kBootstrapTime{4000};

// Injects faults of every kind, several at a time. Never loses more disks than
// the settings tolerate within the 20 s in which the fleet must replace a
// voter.
class fault_injector {
 public:
  fault_injector(fleet_simulation* fleet, std::size_t tolerated_losses)
      : fleet_(fleet), tolerated_losses_(tolerated_losses) {}

  void Step() {
    auto& random = fleet_->random();
    const std::size_t i = random() % fleet_->control_count();
    const milliseconds time(200 + static_cast<std::int64_t>(random() % 3000));
    switch (random() % 9) {
      case 0:
        Restart(i, time);
        break;
      case 1:
        if (fleet_->IsUp(i)) fleet_->FailPower(i);
        break;
      case 2:
        fleet_->Pause(i, time);
        break;
      case 3:
        fleet_->Partition({i}, random() % 2 == 0);
        break;
      case 4:
        fleet_->Partition({i, (i + 1) % fleet_->control_count()}, false);
        break;
      case 5:
      case 6:
        fleet_->Heal();
        break;
      case 7:
        fleet_->FillDisk(i, time);
        break;
      case 8:
        LoseDisk(i);
        break;
    }
  }

 private:
  void Restart(std::size_t i, milliseconds time) {
    if (!fleet_->IsUp(i)) return;
    fleet_->Kill(i);
    fleet_->queue().ScheduleAfter(time, [this, i] { fleet_->Start(i); });
  }

  void LoseDisk(std::size_t i) {
    std::erase_if(disk_losses_, [this](instant when) {
      return fleet_->Now() - when > seconds(20);
    });
    if (disk_losses_.size() >= tolerated_losses_ || !fleet_->IsUp(i)) return;
    disk_losses_.push_back(fleet_->Now());
    // The fleet can replace the voter in time only while all links work.
    fleet_->Heal();
    fleet_->WipeAndStart(i);
    repair_until_ = fleet_->Now() + seconds(20);
  }

 public:
  // Whether the fleet may still be replacing a voter that lost its disk.
  bool IsRepairing() const { return fleet_->Now() < repair_until_; }

 private:
  fleet_simulation* fleet_;
  std::size_t tolerated_losses_;
  std::vector<instant> disk_losses_;
  instant repair_until_;
};

void RunWithFaults(const fleet_simulation_settings& settings) {
  fleet_simulation fleet(settings);
  fleet.Run(kBootstrapTime);
  fault_injector faults(&fleet, settings.tolerated_losses);
  std::uint64_t version = 1;
  for (int step = 0; step < 400; ++step) {
    if (!faults.IsRepairing() && fleet.random()() % 3 == 0) faults.Step();
    const std::size_t i = fleet.random()() % fleet.control_count();
    const std::size_t j = fleet.random()() % fleet.control_count();
    const std::string content(1 + fleet.random()() % 5, 'k');
    if (fleet.random()() % 2 == 0) version += 1 + fleet.random()() % 3;
    fleet.Publish(i, version, content);
    // Two operators publish different content for one version, or one of them
    // publishes an older version again.
    if (fleet.random()() % 4 == 0) fleet.Publish(j, version, content + "z");
    if (fleet.random()() % 8 == 0 && version > 2) {
      fleet.Publish(j, version - 2, "old");
    }
    fleet.Read(j);
    fleet.Run(
        milliseconds(20 + static_cast<std::int64_t>(fleet.random()() % 300)));
    if (fleet.random()() % 20 == 0) fleet.RestartEntry(0);
  }
  fleet.Heal();
  for (std::size_t i = 0; i < fleet.control_count(); ++i) fleet.Start(i);
  fleet.Run(seconds(8));
  for (std::size_t i = 0; i < fleet.control_count(); ++i) fleet.Start(i);
  INFO("seed " << settings.seed);
  REQUIRE(fleet.PublishUntilDone(version + 10, seconds(10)));
  fleet.Run(seconds(3));
  const std::uint64_t reads = fleet.read_count();
  for (std::size_t i = 0; i < fleet.control_count(); ++i) fleet.Read(i);
  fleet.Run(seconds(1));
  REQUIRE(fleet.read_count() > reads);
  for (std::size_t i = 0; i < settings.entries; ++i) {
    REQUIRE(fleet.entry(i).follower().version().value == version + 10);
  }
}

TEST_CASE(
    "acknowledged manifests are never lost, changed or followed by older "
    "reads") {
  testing::ForEachSeed([](std::uint64_t seed) {
    RunWithFaults({.seed = seed, .controls = 4, .tolerated_losses = 1});
  });
}

TEST_CASE(
    "acknowledged manifests are safe with five voters of eight instances") {
  testing::ForEachSeed([](std::uint64_t seed) {
    RunWithFaults({.seed = seed, .controls = 8, .tolerated_losses = 2});
  });
}

// An operator who closes and opens a data centre in turn, and sends an order to
// another control instance when it isn't confirmed within a second.
class evacuating_operator {
 public:
  evacuating_operator(fleet_simulation* fleet, fault_injector* faults)
      : fleet_(fleet), faults_(faults) {}

  // Sends the order to one instance and waits for the confirmation, for a
  // second at most.
  bool Send(bool closed) {
    const std::size_t i = fleet_->random()() % fleet_->control_count();
    const auto confirmed = std::make_shared<std::optional<log_index>>();
    const operator_call call = fleet_->SubmitOrder(
        i, set_evacuation{kDataCentre, closed},
        [confirmed](const order_outcome& outcome) {
          const auto* done = std::get_if<order_done>(&outcome);
          if (done != nullptr) *confirmed = done->applied;
        });
    Run(milliseconds(1000), [&] { return confirmed->has_value(); });
    if (confirmed->has_value()) {
      confirmed_closed_ = closed;
      confirmed_at_ = **confirmed;
      return true;
    }
    if (fleet_->random()() % 2 == 0 && fleet_->IsUp(i)) {
      fleet_->AbandonCall(i, call);
    }
    return false;
  }
  // Runs for the time, or until the condition holds, while faults occur.
  void Run(milliseconds time, const std::function<bool()>& until) {
    for (const instant end = fleet_->Now() + time;
         fleet_->Now() < end && !until();) {
      if (has_faults && !faults_->IsRepairing() &&
          fleet_->random()() % 6 == 0) {
        faults_->Step();
      }
      fleet_->Run(milliseconds(50));
    }
  }
  // Whether no instance that has the confirmed order shows another state.
  bool IsInForce() const {
    for (std::size_t i = 0; i < fleet_->control_count(); ++i) {
      if (!fleet_->IsUp(i)) continue;
      const control_instance& control = fleet_->control(i);
      if (control.agreed().chosen_index() < confirmed_at_) continue;
      if (control.published().closed().contains(kDataCentre) !=
          confirmed_closed_) {
        return false;
      }
    }
    return true;
  }

  bool has_faults = true;

 private:
  static inline const data_centre_name kDataCentre{"dc-1"};

  fleet_simulation* fleet_;
  fault_injector* faults_;
  bool confirmed_closed_ = false;
  log_index confirmed_at_;
};

// Guards against an acknowledged evacuation that an earlier order undoes, which
// its operator had given up: at an instance that was paused, cut off, killed or
// out of disk space.
TEST_CASE("the last acknowledged order to close or open a data centre holds") {
  testing::ForEachSeed([](std::uint64_t seed) {
    const std::size_t controls = 3 + seed % 3;
    fleet_simulation fleet(
        {.seed = seed, .controls = controls, .tolerated_losses = 1});
    fleet.Run(kBootstrapTime);
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    fault_injector faults(&fleet, 1);
    evacuating_operator evacuations(&fleet, &faults);
    INFO("seed " << seed);
    bool closed = false;
    int confirmed = 0;
    for (int order = 0; order < 120; ++order) {
      if (!evacuations.Send(closed)) continue;
      ++confirmed;
      // Until the next order is sent.
      evacuations.Run(milliseconds(fleet.random()() % 1500),
                      [&] { return !evacuations.IsInForce(); });
      REQUIRE(evacuations.IsInForce());
      closed = !closed;
    }
    REQUIRE(confirmed > 10);
    evacuations.has_faults = false;
    fleet.Heal();
    for (std::size_t i = 0; i < controls; ++i) fleet.Start(i);
    for (int i = 0; i < 20 && !evacuations.Send(closed); ++i) {
    }
    evacuations.Run(seconds(6), [&] { return !evacuations.IsInForce(); });
    REQUIRE(evacuations.IsInForce());
  });
}

TEST_CASE("a fleet bootstraps from its seeds") {
  fleet_simulation fleet({.seed = 3, .controls = 5, .tolerated_losses = 2});
  fleet.Run(kBootstrapTime);

  SECTION("with enough voters to survive the tolerated losses") {
    REQUIRE(fleet.control(0).published().voters().size() == 5);
    REQUIRE(fleet.PublishUntilDone(1, seconds(1)));
  }
  SECTION("and every entry instance follows every control instance") {
    for (const auto& [name, control] : fleet.entry(0).follower().controls()) {
      REQUIRE(fleet.entry(0).follower().IsReachable(fleet.Now(), name));
    }
    REQUIRE(fleet.entry(0).follower().controls().size() == 5);
  }
  SECTION("and a manifest reaches the entry instances well within 3 s") {
    REQUIRE(fleet.PublishUntilDone(1, seconds(1)));
    fleet.Run(milliseconds(300));
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(fleet.entry(i).follower().version().value == 1);
      REQUIRE(fleet.entry(i).follower().state().routes.size() == 3);
    }
  }
}

TEST_CASE("a single control instance suffices if no loss is tolerated") {
  fleet_simulation fleet({.seed = 4, .controls = 1, .tolerated_losses = 0});
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  fleet.Kill(0);
  fleet.Start(0);
  fleet.Run(milliseconds(500));
  fleet.Read(0);
  fleet.Run(milliseconds(100));
  REQUIRE(fleet.read_count() == 1);
}

TEST_CASE("a lost voter is replaced without an operator") {
  fleet_simulation fleet({.seed = 5, .controls = 4, .tolerated_losses = 1});
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  const auto votes = [&](std::size_t i, const std::string& name) {
    return fleet.control(i).published().voters().contains({name});
  };
  REQUIRE(votes(0, "10.0.0.2"));

  SECTION("when it stays down") {
    fleet.Kill(1);
    fleet.Run(seconds(4));
    REQUIRE_FALSE(votes(0, "10.0.0.2"));
    REQUIRE(votes(0, "10.0.0.4"));

    SECTION("so that another loss soon after is survived") {
      fleet.Kill(0);
      REQUIRE(fleet.PublishUntilDone(2, seconds(4)));
    }
  }
  SECTION("when its disk was lost") {
    fleet.WipeAndStart(1);
    fleet.Run(seconds(2));
    const auto voters = fleet.control(0).published().voters();
    REQUIRE(voters.size() == 3);
    fleet.WipeAndStart(2);
    REQUIRE(fleet.PublishUntilDone(2, seconds(4)));
  }
  SECTION("by a new instance at another address") {
    const std::size_t added = fleet.AddControl();
    fleet.Kill(3);
    fleet.Kill(1);
    fleet.Run(seconds(5));
    REQUIRE(votes(
        0, fleet.control(added).agreed().IsVoting() ? "10.0.0.5" : "10.0.0.2"));
    REQUIRE(fleet.PublishUntilDone(2, seconds(3)));
  }
  SECTION("but not while there is no candidate") {
    fleet.Kill(3);
    fleet.Kill(1);
    fleet.Run(seconds(6));
    REQUIRE(votes(0, "10.0.0.2"));
    REQUIRE(fleet.PublishUntilDone(2, seconds(3)));
  }
}

// Replays disks that are full for some seconds each, one after another, while
// operators send orders. Guards against a fleet that refuses changes after the
// last disk has room again, although all processes run.
TEST_CASE("full disks one after another") {
  const std::size_t controls = GENERATE(3, 4, 5);
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    fleet_simulation fleet({.seed = seed,
                            .controls = controls,
                            .tolerated_losses = (controls - 1) / 2});
    fleet.Run(kBootstrapTime);
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    std::uint64_t version = 1;
    const auto send_orders = [&](milliseconds time) {
      for (const instant end = fleet.Now() + time; fleet.Now() < end;) {
        const std::size_t i = fleet.random()() % controls;
        fleet.Publish(i, ++version, "ab");
        fleet.SubmitOrder(i, set_evacuation{{"dc-1"}, version % 2 == 0},
                          [](const order_outcome&) {});
        fleet.Run(milliseconds(100));
      }
    };
    for (std::size_t round = 0; round < 2 * controls; ++round) {
      const milliseconds full(500 + 500 * (fleet.random()() % 7));
      fleet.FillDisk(round % controls, full);
      send_orders(full + milliseconds(1 + fleet.random()() % 3000));
    }
    INFO(controls << " control instances, seed " << seed);
    for (std::size_t i = 0; i < controls; ++i) {
      // Each instance accepts orders itself or names one that does.
      std::optional<order_outcome> outcome;
      const instant start = fleet.Now();
      while (fleet.Now() < start + seconds(5)) {
        fleet.SubmitOrder(i, publish_manifest{{++version}, "1 a"},
                          [&](const order_outcome& o) { outcome = o; });
        fleet.Run(milliseconds(300));
        if (outcome &&
            !std::holds_alternative<order_outcome_unknown>(*outcome)) {
          break;
        }
      }
      REQUIRE(outcome);
      REQUIRE_FALSE(std::holds_alternative<order_outcome_unknown>(*outcome));
    }
  }
}

TEST_CASE("an isolated control instance acknowledges nothing") {
  fleet_simulation fleet({.seed = 7, .controls = 4, .tolerated_losses = 1});
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  fleet.Partition({0}, false);
  fleet.Run(seconds(2));
  std::optional<order_outcome> outcome;
  const auto store_outcome = [&](const order_outcome& o) { outcome = o; };

  SECTION("not a publication") {
    fleet.SubmitOrder(0, publish_manifest{{2}, testing::TestManifest(2, "a")},
                      store_outcome);
    REQUIRE(outcome);
    REQUIRE(std::holds_alternative<order_outcome_unknown>(*outcome));
  }
  SECTION("not a read") {
    fleet.SubmitOrder(0, read_published{}, store_outcome);
    REQUIRE(outcome);
    REQUIRE(std::holds_alternative<order_outcome_unknown>(*outcome));
  }
  SECTION("not the report of a draining target") {
    const target_report draining{
        .id = {"i-1"}, .service = {"a"}, .phase = target_phase::kDraining};
    REQUIRE(fleet.control(0).AnswerTo(fleet.Now(), draining) ==
            report_answer::kNoMajority);
    REQUIRE(fleet.control(1).AnswerTo(fleet.Now(), draining) ==
            report_answer::kConfirmed);
  }
  SECTION("while the others still accept orders") {
    REQUIRE(fleet.PublishUntilDone(2, seconds(3)));
  }
}

TEST_CASE("rounds that end without a chosen entry are counted") {
  fleet_simulation fleet({.seed = 8, .controls = 3, .tolerated_losses = 1});
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  fleet.Run(seconds(1));
  const round_counts before = fleet.control(0).agreed().rounds();
  fleet.Partition({0}, false);
  fleet.Publish(0, 2, "a");
  fleet.Run(milliseconds(400));
  const round_counts& after = fleet.control(0).agreed().rounds();
  REQUIRE(after.started > before.started);
  REQUIRE(after.timed_out > before.timed_out);
  REQUIRE(after.preempted == before.preempted);
  REQUIRE(after.late_answers == before.late_answers);
}

TEST_CASE("the published state survives a kill of all control instances") {
  fleet_simulation fleet({.seed = 9, .controls = 4, .tolerated_losses = 1});
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(5, seconds(2)));
  for (std::size_t i = 0; i < 4; ++i) fleet.Kill(i);
  fleet.Run(seconds(1));
  for (std::size_t i = 0; i < 4; ++i) fleet.Start(i);
  fleet.Run(seconds(1));
  fleet.Read(0);
  fleet.Run(milliseconds(200));
  REQUIRE(fleet.read_count() == 1);
  REQUIRE(fleet.control(0).published().published().version.value == 5);
}

// Link of a control instance of 170 Mbit/s.
constexpr std::uint64_t kLinkBytesPerS = 21'250'000;
// An order must be acknowledged within this time.
constexpr milliseconds kOperatorTimeout{6000};
constexpr milliseconds kReadInterval{300};

// Five control instances on such links.
fleet_simulation_settings LimitedLinks(std::uint64_t seed) {
  return {.seed = seed,
          .controls = 5,
          .entries = 1,
          .tolerated_losses = 2,
          .link_bytes_per_s = kLinkBytesPerS};
}

// Content of a manifest with about `bytes` bytes.
std::string LargeContent(std::size_t bytes) {
  return "abc " + std::string(bytes, 'x');
}

// Publishes a manifest of `bytes` bytes while another operator reads at each
// control instance in turn. Returns whether it was acknowledged in time.
bool PublishWithReads(fleet_simulation* fleet, std::uint64_t version,
                      std::size_t bytes) {
  const std::string content = LargeContent(bytes);
  const instant end = fleet->Now() + kOperatorTimeout;
  fleet->Publish(0, version, content);
  for (std::size_t i = 0; fleet->Now() < end; ++i) {
    fleet->Read(i % fleet->control_count());
    fleet->Run(kReadInterval);
    if (fleet->newest_acknowledged() >= version) return true;
  }
  return false;
}

TEST_CASE("a manifest larger than a round transfers is acknowledged in time") {
  testing::ForEachSeed([](std::uint64_t seed) {
    fleet_simulation fleet(LimitedLinks(seed));
    fleet.Run(kBootstrapTime);
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    INFO("seed " << seed);
    // 4,440 routes, and the 9,500 addresses of the two-year target.
    REQUIRE(PublishWithReads(&fleet, 2, 760'000));
    REQUIRE(PublishWithReads(&fleet, 3, 1'700'000));
    const std::uint64_t reads = fleet.read_count();
    for (std::size_t i = 0; i < fleet.control_count(); ++i) fleet.Read(i);
    fleet.Run(kOperatorTimeout);
    REQUIRE(fleet.read_count() >= reads + fleet.control_count());
  });
}

TEST_CASE("a large entry is sent to each voter once") {
  constexpr std::size_t kBytes = 760'000;
  constexpr std::uint64_t kMaxBytes = 4 * kBytes * 11 / 10;
  fleet_simulation fleet(LimitedLinks(14));
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  fleet.Run(seconds(1));
  const std::uint64_t before = fleet.control_bytes();
  const std::uint64_t entry = fleet.control(1).agreed().chosen_index().value;
  fleet.Publish(0, 2, LargeContent(kBytes));

  SECTION("if its proposer completes it") {
    fleet.Run(seconds(3));
    for (std::size_t i = 0; i < fleet.control_count(); ++i) {
      REQUIRE(fleet.control(i).agreed().chosen_index().value == entry + 1);
    }
    REQUIRE(fleet.control_bytes() - before < kMaxBytes);
  }
  SECTION("if another voter completes it") {
    // The proposer has received the promises, and receives nothing after them.
    fleet.Run(milliseconds(20));
    fleet.Partition({1, 2, 3, 4}, true);
    fleet.Run(seconds(4));
    for (const std::size_t i : {1, 2, 3, 4}) {
      REQUIRE(fleet.control(i).agreed().chosen_index().value == entry + 1);
    }
    REQUIRE(fleet.control_bytes() - before < kMaxBytes);
  }
}

TEST_CASE("a large entry is chosen while some instances run an older build") {
  constexpr std::size_t kBytes = 100'000;
  testing::ForEachSeed([](std::uint64_t seed) {
    fleet_simulation_settings settings = LimitedLinks(seed);
    settings.older_builds = {1, 3};
    fleet_simulation fleet(settings);
    fleet.Run(kBootstrapTime);
    INFO("seed " << seed);
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    for (const std::size_t proposer : {0, 1}) {
      const std::uint64_t version = 2 + proposer;
      fleet.Publish(proposer, version, LargeContent(kBytes));
      fleet.Run(kOperatorTimeout);
      REQUIRE(fleet.newest_acknowledged() == version);
      for (std::size_t i = 0; i < fleet.control_count(); ++i) {
        REQUIRE(fleet.control(i).published().published().version.value ==
                version);
      }
    }
  });
}

TEST_CASE("a large entry that older builds accepted is completed") {
  testing::ForEachSeed([](std::uint64_t seed) {
    fleet_simulation_settings settings = LimitedLinks(seed);
    settings.older_builds = {1, 3};
    fleet_simulation fleet(settings);
    fleet.Run(kBootstrapTime);
    INFO("seed " << seed);
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    // Of the remaining voters, all three are needed. The proposer has received
    // their promises, and receives nothing after them.
    fleet.Kill(4);
    fleet.Publish(0, 2, LargeContent(100'000));
    fleet.Run(milliseconds(20));
    fleet.Partition({1, 2, 3}, true);
    fleet.Run(kOperatorTimeout);
    for (const std::size_t i : {1, 2, 3}) {
      REQUIRE(fleet.control(i).published().published().version.value == 2);
    }
  });
}

TEST_CASE("an entry instance gets the published state from one source") {
  constexpr std::size_t kEntries = 6;
  fleet_simulation fleet(
      {.seed = 18, .controls = 5, .entries = kEntries, .tolerated_losses = 2});
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  fleet.Run(seconds(1));

  SECTION("when it is published") {
    const std::uint64_t before = fleet.state_update_count();
    REQUIRE(fleet.PublishUntilDone(2, seconds(2)));
    fleet.Run(seconds(2));
    REQUIRE(fleet.state_update_count() == before + kEntries);
  }
  SECTION("when it restarts") {
    const std::uint64_t before = fleet.state_update_count();
    fleet.RestartEntry(0);
    fleet.Run(seconds(2));
    REQUIRE(fleet.entry(0).follower().version().value == 1);
    REQUIRE(fleet.state_update_count() <= before + 2);
  }
  SECTION("and in time from another one when that source is lost") {
    fleet.Kill(0);
    fleet.Kill(1);
    fleet.Publish(2, 2, "abcd");
    fleet.Run(milliseconds(2500));
    REQUIRE(fleet.newest_acknowledged() == 2);
    for (std::size_t i = 0; i < kEntries; ++i) {
      REQUIRE(fleet.entry(i).follower().version().value == 2);
    }
  }
}

// Guards against wrong assumptions on what the control instances of a data
// centre that is cut off still send to its entry instances.
TEST_CASE("an entry instance of a closed data centre that is cut off") {
  constexpr std::size_t kEntry = 0;  // In dc-0, as control instance 0.
  fleet_simulation fleet({.seed = 23, .controls = 4, .tolerated_losses = 1});
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  bool is_closed = false;
  fleet.SubmitOrder(1, set_evacuation{{"dc-0"}, true},
                    [&](const order_outcome&) { is_closed = true; });
  fleet.Run(seconds(3));
  REQUIRE(is_closed);
  const auto is_ready = [&] {
    return fleet.entry(kEntry).IsReady(fleet.Now());
  };
  REQUIRE(is_ready());
  fleet.Partition({0}, false);
  fleet.IsolateEntry(kEntry, {0});
  for (const std::size_t other : {1, 2}) {
    fleet.IsolateEntry(other, {1, 2, 3});
  }
  fleet.Run(milliseconds(1550));
  REQUIRE_FALSE(is_ready());
  REQUIRE(fleet.entry(1).IsReady(fleet.Now()));

  SECTION("returns when the partition ends") {
    fleet.Run(seconds(2));
    fleet.Heal();
    fleet.Run(milliseconds(2900));
    REQUIRE_FALSE(is_ready());
    fleet.Run(milliseconds(1100));
    REQUIRE(is_ready());
  }
  SECTION("isn't ready as long as the partition lasts") {
    for (int i = 0; i < 1200; ++i) {
      fleet.Run(milliseconds(100));
      REQUIRE_FALSE(is_ready());
    }
    fleet.Heal();
    fleet.Run(seconds(5));
    REQUIRE(is_ready());
  }
  SECTION("isn't ready after its restart either") {
    fleet.RestartEntry(kEntry);
    for (int i = 0; i < 500; ++i) {
      fleet.Run(milliseconds(20));
      REQUIRE_FALSE(is_ready());
    }
    fleet.Heal();
    fleet.Run(seconds(5));
    REQUIRE(is_ready());
  }
}

TEST_CASE("a proposer without answers delays the others only once") {
  fleet_simulation fleet(LimitedLinks(12));
  fleet.Run(kBootstrapTime);
  REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
  // Instance 0 still sends to the others, but receives nothing from them.
  fleet.Partition({1, 2, 3, 4}, true);
  fleet.Publish(0, 2, LargeContent(1'700'000));
  fleet.Run(milliseconds(100));
  std::optional<order_outcome> outcome;
  fleet.SubmitOrder(1, read_published{},
                    [&](const order_outcome& o) { outcome = o; });
  fleet.Run(kOperatorTimeout);
  REQUIRE(outcome);
  REQUIRE(std::holds_alternative<order_done>(*outcome));
}

// Tests the checks of the simulation: they must fail if an instance that lost
// its disk votes again under the old storage id, which breaks the agreement.
TEST_CASE("reuse of the storage id of a lost disk is detected") {
  bool detected = false;
  for (std::uint64_t seed = 1; seed <= 40 && !detected; ++seed) {
    fleet_simulation fleet({.seed = seed,
                            .controls = 3,
                            .tolerated_losses = 1,
                            .reuses_lost_storage_id = true});
    fleet.Run(kBootstrapTime);
    try {
      REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
      fleet.Partition({0}, false);
      fleet.Run(seconds(2));
      fleet.Publish(1, 2, "a");
      fleet.Run(milliseconds(500));
      fleet.Heal();
      fleet.Kill(2);
      fleet.WipeAndStart(1);
      fleet.Read(1);
      fleet.Run(seconds(2));
      fleet.Read(0);
      fleet.Run(seconds(1));
    } catch (const invariant_violation&) {
      detected = true;
    }
  }
  REQUIRE(detected);
}

}  // namespace
}  // namespace lavendertack
