#include <catch2/catch.hpp>

#include "UnitTests/Control/fleet_world.h"

namespace lavendertack {
namespace {

using testing::fleet_settings_of_test;
using testing::fleet_violation;
using testing::fleet_world;

constexpr milliseconds kFounding{4000};

// Every kind of trouble, several at a time, but never more lost disks than the
// settings tolerate before the fleet has replaced the last one.
class trouble_maker {
 public:
  trouble_maker(fleet_world* world, std::size_t tolerated)
      : world_(world), tolerated_(tolerated) {}

  void Step() {
    auto& random = world_->random();
    const std::size_t i = random() % world_->control_count();
    const milliseconds time(200 + static_cast<std::int64_t>(random() % 3000));
    switch (random() % 9) {
      case 0:
        Restart(i, time);
        break;
      case 1:
        if (world_->IsUp(i)) world_->FailPower(i);
        break;
      case 2:
        world_->Freeze(i, time);
        break;
      case 3:
        world_->Cut({i}, random() % 2 == 0);
        break;
      case 4:
        world_->Cut({i, (i + 1) % world_->control_count()}, false);
        break;
      case 5:
      case 6:
        world_->Heal();
        break;
      case 7:
        world_->FillDisk(i, time);
        break;
      case 8:
        LoseDisk(i);
        break;
    }
  }

 private:
  void Restart(std::size_t i, milliseconds time) {
    if (!world_->IsUp(i)) return;
    world_->Kill(i);
    world_->queue().After(time, [this, i] { world_->Start(i); });
  }

  void LoseDisk(std::size_t i) {
    std::erase_if(lost_, [this](instant when) {
      return world_->Now() - when > seconds(20);
    });
    if (lost_.size() >= tolerated_ || !world_->IsUp(i)) return;
    lost_.push_back(world_->Now());
    // The repair is only judged where the rest can be heard.
    world_->Heal();
    world_->WipeAndStart(i);
    quiet_until_ = world_->Now() + seconds(20);
  }

 public:
  bool IsRepairing() const { return world_->Now() < quiet_until_; }

 private:
  fleet_world* world_;
  std::size_t tolerated_;
  std::vector<instant> lost_;
  instant quiet_until_;
};

void RunTroubled(const fleet_settings_of_test& settings) {
  fleet_world world(settings);
  world.Run(kFounding);
  trouble_maker trouble(&world, settings.tolerated_losses);
  std::uint64_t version = 1;
  for (int step = 0; step < 400; ++step) {
    if (!trouble.IsRepairing() && world.random()() % 3 == 0) trouble.Step();
    const std::size_t i = world.random()() % world.control_count();
    const std::size_t j = world.random()() % world.control_count();
    const std::string content(1 + world.random()() % 5, 'k');
    if (world.random()() % 2 == 0) version += 1 + world.random()() % 3;
    world.Publish(i, version, content);
    // Two operators race with other content, or one sends an old one again.
    if (world.random()() % 4 == 0) world.Publish(j, version, content + "z");
    if (world.random()() % 8 == 0 && version > 2) {
      world.Publish(j, version - 2, "old");
    }
    world.Read(j);
    world.Run(
        milliseconds(20 + static_cast<std::int64_t>(world.random()() % 300)));
    if (world.random()() % 20 == 0) world.RestartEntry(0);
  }
  world.Heal();
  for (std::size_t i = 0; i < world.control_count(); ++i) world.Start(i);
  world.Run(seconds(8));
  for (std::size_t i = 0; i < world.control_count(); ++i) world.Start(i);
  INFO("seed " << settings.seed);
  REQUIRE(world.PublishUntilDone(version + 10, seconds(10)));
  world.Run(seconds(3));
  const std::uint64_t reads = world.read_count();
  for (std::size_t i = 0; i < world.control_count(); ++i) world.Read(i);
  world.Run(seconds(1));
  REQUIRE(world.read_count() > reads);
  for (std::size_t i = 0; i < settings.entries; ++i) {
    REQUIRE(world.entry(i).follower().version().value == version + 10);
  }
}

TEST_CASE("nothing acknowledged is lost, changed or shown older") {
  testing::ForEachSeed([](std::uint64_t seed) {
    RunTroubled({.seed = seed, .controls = 4, .tolerated_losses = 1});
  });
}

TEST_CASE("the same with five voters of eight") {
  testing::ForEachSeed([](std::uint64_t seed) {
    RunTroubled({.seed = seed, .controls = 8, .tolerated_losses = 2});
  });
}

TEST_CASE("a fleet comes together from its seeds") {
  fleet_world world({.seed = 3, .controls = 5, .tolerated_losses = 2});
  world.Run(kFounding);

  SECTION("with as many voters as the losses ask for") {
    REQUIRE(world.control(0).published().voters().size() == 5);
    REQUIRE(world.PublishUntilDone(1, seconds(1)));
  }
  SECTION("and every entry instance follows every control instance") {
    for (const auto& [name, control] : world.entry(0).follower().controls()) {
      REQUIRE(world.entry(0).follower().IsReachable(world.Now(), name));
    }
    REQUIRE(world.entry(0).follower().controls().size() == 5);
  }
  SECTION("a manifest is in force at the entry instances well within 3 s") {
    REQUIRE(world.PublishUntilDone(1, seconds(1)));
    world.Run(milliseconds(300));
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(world.entry(i).follower().version().value == 1);
      REQUIRE(world.entry(i).follower().state().routes.size() == 3);
    }
  }
}

TEST_CASE("a single control instance serves where no loss is tolerated") {
  fleet_world world({.seed = 4, .controls = 1, .tolerated_losses = 0});
  world.Run(kFounding);
  REQUIRE(world.PublishUntilDone(1, seconds(2)));
  world.Kill(0);
  world.Start(0);
  world.Run(milliseconds(500));
  world.Read(0);
  world.Run(milliseconds(100));
  REQUIRE(world.read_count() == 1);
}

TEST_CASE("a control instance is replaced without an operator") {
  fleet_world world({.seed = 5, .controls = 4, .tolerated_losses = 1});
  world.Run(kFounding);
  REQUIRE(world.PublishUntilDone(1, seconds(2)));
  const auto votes = [&](std::size_t i, const std::string& name) {
    return world.control(i).published().voters().contains({name});
  };
  REQUIRE(votes(0, "10.0.0.2"));

  SECTION("when it's gone for good") {
    world.Kill(1);
    world.Run(seconds(4));
    REQUIRE_FALSE(votes(0, "10.0.0.2"));
    REQUIRE(votes(0, "10.0.0.4"));

    SECTION("so that another loss right after is survived") {
      world.Kill(0);
      REQUIRE(world.PublishUntilDone(2, seconds(4)));
    }
  }
  SECTION("when its disk was lost") {
    world.WipeAndStart(1);
    world.Run(seconds(2));
    const auto voters = world.control(0).published().voters();
    REQUIRE(voters.size() == 3);
    world.WipeAndStart(2);
    REQUIRE(world.PublishUntilDone(2, seconds(4)));
  }
  SECTION("by an empty one at another address") {
    const std::size_t added = world.AddControl();
    world.Kill(3);
    world.Kill(1);
    world.Run(seconds(5));
    REQUIRE(votes(
        0, world.control(added).agreed().IsVoting() ? "10.0.0.5" : "10.0.0.2"));
    REQUIRE(world.PublishUntilDone(2, seconds(3)));
  }
  SECTION("but not while none can take over") {
    world.Kill(3);
    world.Kill(1);
    world.Run(seconds(6));
    REQUIRE(votes(0, "10.0.0.2"));
    REQUIRE(world.PublishUntilDone(2, seconds(3)));
  }
}

TEST_CASE("an instance cut off from the others promises nothing") {
  fleet_world world({.seed = 7, .controls = 4, .tolerated_losses = 1});
  world.Run(kFounding);
  REQUIRE(world.PublishUntilDone(1, seconds(2)));
  world.Cut({0}, false);
  world.Run(seconds(2));
  std::optional<order_outcome> outcome;
  const auto keep = [&](const order_outcome& o) { outcome = o; };

  SECTION("neither that a manifest is in force") {
    world.Order(0, publish_manifest{{2}, testing::TestManifest(2, "a")}, keep);
    REQUIRE(outcome);
    REQUIRE(std::holds_alternative<order_outcome_unknown>(*outcome));
  }
  SECTION("nor that it knows the newest one") {
    world.Order(0, read_published{}, keep);
    REQUIRE(outcome);
    REQUIRE(std::holds_alternative<order_outcome_unknown>(*outcome));
  }
  SECTION("nor that a target that leaves is known to leave") {
    REQUIRE_FALSE(world.control(0).CanConfirmReport(world.Now(),
                                                    target_phase::kDraining));
    REQUIRE(world.control(1).CanConfirmReport(world.Now(),
                                              target_phase::kDraining));
  }
  SECTION("while the others go on") {
    REQUIRE(world.PublishUntilDone(2, seconds(3)));
  }
}

TEST_CASE("all control instances killed at once come back with what they had") {
  fleet_world world({.seed = 9, .controls = 4, .tolerated_losses = 1});
  world.Run(kFounding);
  REQUIRE(world.PublishUntilDone(5, seconds(2)));
  for (std::size_t i = 0; i < 4; ++i) world.Kill(i);
  world.Run(seconds(1));
  for (std::size_t i = 0; i < 4; ++i) world.Start(i);
  world.Run(seconds(1));
  world.Read(0);
  world.Run(milliseconds(200));
  REQUIRE(world.read_count() == 1);
  REQUIRE(world.control(0).published().published().version.value == 5);
}

// The check above must notice a replica that votes as its lost self.
TEST_CASE("a disk that keeps its identity after a loss is noticed") {
  bool noticed = false;
  for (std::uint64_t seed = 1; seed <= 40 && !noticed; ++seed) {
    fleet_world world({.seed = seed,
                       .controls = 3,
                       .tolerated_losses = 1,
                       .keeps_lost_identity = true});
    world.Run(kFounding);
    try {
      REQUIRE(world.PublishUntilDone(1, seconds(2)));
      world.Cut({0}, false);
      world.Run(seconds(2));
      world.Publish(1, 2, "a");
      world.Run(milliseconds(500));
      world.Heal();
      world.Kill(2);
      world.WipeAndStart(1);
      world.Read(1);
      world.Run(seconds(2));
      world.Read(0);
      world.Run(seconds(1));
    } catch (const fleet_violation&) {
      noticed = true;
    }
  }
  REQUIRE(noticed);
}

}  // namespace
}  // namespace lavendertack
