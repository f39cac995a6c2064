#include "Following/control_follower.h"

#include <catch2/catch.hpp>
#include <random>

#include "Control/follower_feed.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

const instance_name kX{"10.0.0.1"};
const instance_name kY{"10.0.0.2"};
const link_id kLink{"link"};
constexpr milliseconds kInterval{500};

std::optional<manifest> Decode(const std::string& text) {
  manifest decoded;
  decoded.version = {std::stoull(text)};
  for (std::uint64_t i = 1; i <= decoded.version.value % 20; ++i) {
    decoded.routes[{{1}, {static_cast<std::uint16_t>(i)}}] = {
        .shares = {{{std::to_string(decoded.version.value)}, 1}},
        .priority = 0};
  }
  return decoded;
}

target_report Report(int number, std::uint64_t sequence, target_phase phase) {
  return {.id = {"i-" + std::to_string(number)},
          .version = {1000, sequence},
          .service = {"catalogue"},
          .address = {{static_cast<std::uint32_t>(number)}, {8080}},
          .data_centre = {"a"},
          .slots = 2,
          .phase = phase,
          .cold_left = milliseconds(0)};
}

// A control instance as its followers see it.
struct sender {
  instance_name name;
  published_state published{Decode};
  target_registry book{{milliseconds(3000), milliseconds(60'000)}};
  follower_feed feed;
  std::uint64_t epoch = 7;
  data_centre_name data_centre{"a"};
  std::set<data_centre_name> closed;

  feed_content Content() const {
    return {.self = name,
            .published = published,
            .targets = book,
            .target_epoch = epoch,
            .data_centre = data_centre,
            .current = true,
            .controls = {},
            .closed = closed};
  }
  void Publish(std::uint64_t index, std::uint64_t version) {
    published.Apply(
        {index}, EncodeOrder(index, publish_manifest{{version},
                                                     std::to_string(version)}));
  }
};

control_follower MakeFollower() {
  return control_follower({.self = {"10.9.0.1"},
                           .data_centre = {"a"},
                           .is_control = false,
                           .seeds = {kX, kY},
                           .follow_interval = kInterval});
}

// One request and its answer.
void Ask(control_follower* follower, sender* from, instant now) {
  for (follow_request& request : follower->Requests(now, {})) {
    if (request.to != from->name) continue;
    feed_update update = from->feed.HandleFollow(
        now, kLink, request.message.follow(), from->Content());
    follower->Apply(now, from->name, update.message.update());
  }
}

TEST_CASE("an instance follows its control instances") {
  control_follower follower = MakeFollower();
  sender x{.name = kX};
  sender y{.name = kY};
  instant now{seconds(100)};
  x.Publish(2, 5);
  x.book.Report(now, Report(1, 1, target_phase::kReady));
  Ask(&follower, &x, now);
  REQUIRE(follower.version().value == 5);
  REQUIRE(follower.state().targets.size() == 1);

  SECTION("and is synced when all have told, or after a second") {
    REQUIRE_FALSE(follower.IsSynced(now));
    SECTION("all") {
      now += kInterval;
      Ask(&follower, &y, now);
      REQUIRE(follower.IsSynced(now));
    }
    SECTION("a second") { REQUIRE(follower.IsSynced(now + seconds(1))); }
  }
  SECTION("and never goes back to what an older one says") {
    y.Publish(1, 3);
    now += kInterval;
    Ask(&follower, &y, now);
    REQUIRE(follower.version().value == 5);
    REQUIRE(follower.state().routes.size() == 5);
  }
  SECTION("and hears of a drain before it asks again") {
    x.book.Report(now, Report(1, 2, target_phase::kDraining));
    now += milliseconds(60);
    auto updates = x.feed.Push(now, x.Content(), false);
    REQUIRE(updates.size() == 1);
    follower.Apply(now, kX, updates.front().message.update());
    REQUIRE(follower.state().targets.Find({"i-1"})->report.phase ==
            target_phase::kDraining);
    REQUIRE(x.feed.Push(now + seconds(1), x.Content(), false).empty());
  }
  SECTION("and says which record of a target it couldn't read") {
    wire::update update;
    update.set_target_epoch(x.epoch);
    update.set_targets_from(0);
    update.set_targets_to(9);
    auto* record = update.add_targets();
    record->set_id("i-2");
    record->set_phase(wire::PHASE_READY);
    record->set_port(70'000);
    const auto notes = follower.Apply(now, kX, update);
    REQUIRE(notes.size() == 1);
    const auto* refused = std::get_if<target_record_refused>(&notes.front());
    REQUIRE(refused != nullptr);
    REQUIRE(refused->target == target_id{"i-2"});
    REQUIRE(follower.state().targets.size() == 1);
  }
  SECTION("and asks one that doesn't answer more often") {
    follower.Requests(now + kInterval, {});
    const auto again =
        follower.Requests(now + kInterval + milliseconds(100), {});
    REQUIRE(again.size() == 1);
    REQUIRE(again.front().to == kY);
  }
  SECTION("and believes a lost one for a while on its targets") {
    Ask(&follower, &y, now);
    for (int i = 0; i < 40; ++i) {
      now += kInterval;
      Ask(&follower, &y, now);
      follower.Tick(now);
      const bool heard =
          follower.state().targets.Find({"i-1"})->IsReporting(now);
      REQUIRE(heard == (i < 30));
    }
  }
  SECTION("and alone goes on with what it knew") {
    for (int i = 0; i < 100; ++i) {
      now += kInterval;
      follower.Tick(now);
    }
    REQUIRE(follower.state().targets.Find({"i-1"})->IsReporting(now));
    REQUIRE(follower.version().value == 5);
  }
  SECTION("and takes the targets of one that started anew from the start") {
    x.book = target_registry({milliseconds(3000), milliseconds(60'000)});
    x.feed = follower_feed();
    x.epoch = 8;
    x.book.Report(now, Report(2, 1, target_phase::kReady));
    now += kInterval;
    Ask(&follower, &x, now);
    REQUIRE(follower.state().targets.Find({"i-2"})->IsReporting(now));
    // The first one may only not have reported again yet.
    REQUIRE(follower.state().targets.Find({"i-1"})->IsReporting(now));
    REQUIRE_FALSE(
        follower.state().targets.Find({"i-1"})->IsReporting(now + seconds(10)));
  }
  SECTION("and keeps a data centre closed while one at its state holds it") {
    x.closed = {{"a"}};
    now += kInterval;
    Ask(&follower, &x, now);
    REQUIRE(follower.state().closed.contains({"a"}));
    // Another one that is behind knows nothing of it.
    Ask(&follower, &y, now);
    REQUIRE(follower.state().closed.contains({"a"}));
    x.closed.clear();
    now += kInterval;
    Ask(&follower, &x, now);
    REQUIRE(follower.state().closed.empty());
  }
}

TEST_CASE("demand of the callers is summed by data centre") {
  sender x{.name = kX};
  control_follower first = MakeFollower();
  instant now{seconds(100)};
  wire::follow other;
  other.set_data_centre("b");
  auto* row = other.add_demand();
  row->set_service("catalogue");
  row->set_requests_per_s(30);
  x.feed.HandleFollow(now, {"second"}, other, x.Content());
  x.feed.HandleFollow(now, {"third"}, other, x.Content());
  Ask(&first, &x, now);
  REQUIRE(first.state().demand.at({"catalogue"}).at({"b"}) == Approx(60));

  SECTION("and what hardly changes isn't told again") {
    auto update = x.feed.HandleFollow(now + kInterval, kLink, {}, x.Content());
    REQUIRE(update.message.update().demand_size() == 0);
  }
}

// Messages are lost at random; in the end the follower knows what is known.
TEST_CASE("a follower comes to know all, whatever is lost on the way") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    control_follower follower = MakeFollower();
    sender x{.name = kX};
    instant now{seconds(100)};
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    std::uint64_t index = 0;
    const auto deliver = [&](feed_update& update, bool may_lose) {
      if (may_lose && random() % 3 == 0) return;
      follower.Apply(now, kX, update.message.update());
    };
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(1 + random() % 200);
      const bool quiet = step >= 380;
      if (!quiet && random() % 2 == 0) {
        x.book.Report(now, Report(static_cast<int>(random() % 12), ++sequence,
                                  random() % 4 == 0 ? target_phase::kDraining
                                                    : target_phase::kReady));
      }
      if (!quiet && random() % 6 == 0) x.Publish(++index, ++version);
      x.book.Tick(now);
      for (feed_update& update : x.feed.Push(now, x.Content(), false)) {
        deliver(update, !quiet);
      }
      for (follow_request& request : follower.Requests(now, {})) {
        if (request.to != kX || (!quiet && random() % 3 == 0)) continue;
        feed_update update = x.feed.HandleFollow(
            now, kLink, request.message.follow(), x.Content());
        deliver(update, !quiet);
      }
      follower.Tick(now);
    }
    INFO("seed " << seed);
    REQUIRE(follower.version() == x.published.published().version);
    for (const auto& [at, route] : x.published.published().routes) {
      REQUIRE(follower.state().routes.at(at) == route);
    }
    REQUIRE(follower.state().routes.size() ==
            x.published.published().routes.size());
    for (const auto& [id, target] : x.book.targets()) {
      const known_target* known = follower.state().targets.Find(id);
      if (target.report.phase == target_phase::kSilent) {
        REQUIRE((known == nullptr || !known->IsReporting(now)));
      } else {
        REQUIRE(known->report.phase == target.report.phase);
        REQUIRE(known->IsReporting(now));
      }
    }
  });
}

}  // namespace
}  // namespace lavendertack
