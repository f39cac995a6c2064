#include "Following/control_follower.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "Control/follower_feed.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

const instance_name kFirstControl{"10.0.0.1"};
const instance_name kSecondControl{"10.0.0.2"};
const link_id kLink{"link"};
constexpr milliseconds kInterval{500};

// Decodes a manifest whose text is its version; the version also determines the
// number of routes and their service.
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

// The part of a control instance that sends updates to followers.
struct control_sender {
  instance_name name;
  published_state published{Decode};
  target_registry registry{{milliseconds(3000), milliseconds(60'000)}};
  follower_feed feed;
  std::uint64_t epoch = 7;
  data_centre_name data_centre{"a"};
  activity_registry activities;
  std::set<data_centre_name> closed;
  std::vector<registered_target> peer_targets;

  feed_content Content() const {
    return {.self = name,
            .published = published,
            .targets = registry,
            .peer_targets = peer_targets,
            .target_epoch = epoch,
            .data_centre = data_centre,
            .current = true,
            .controls = {},
            .closed = closed,
            .activities = activities};
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
                           .seeds = {kFirstControl, kSecondControl},
                           .follow_interval = kInterval});
}

// Sends the requests to the control instance that are due, and applies the
// updates. After the first update another request may be due, for the published
// state.
void ExchangeUpdate(control_follower* follower, control_sender* from,
                    instant now) {
  for (int round = 0; round < 2; ++round) {
    for (follow_request& request : follower->Requests(now, {})) {
      if (request.to != from->name) continue;
      feed_update update = from->feed.HandleFollow(
          now, kLink, request.message.follow(), from->Content());
      follower->Apply(now, from->name, update.message.update());
    }
  }
}

TEST_CASE("an instance follows its control instances") {
  control_follower follower = MakeFollower();
  control_sender first_control{.name = kFirstControl};
  control_sender second_control{.name = kSecondControl};
  instant now{seconds(100)};
  first_control.Publish(2, 5);
  first_control.registry.Report(now, Report(1, 1, target_phase::kReady));
  ExchangeUpdate(&follower, &first_control, now);
  REQUIRE(follower.version().value == 5);
  REQUIRE(follower.state().targets.size() == 1);

  SECTION(
      "is synced when all have sent their targets, or 1 s after the first") {
    REQUIRE_FALSE(follower.IsSynced(now));
    SECTION("all") {
      now += kInterval;
      ExchangeUpdate(&follower, &second_control, now);
      REQUIRE(follower.IsSynced(now));
    }
    SECTION("after a second") { REQUIRE(follower.IsSynced(now + seconds(1))); }
  }
  SECTION("state of a control instance that lags behind is ignored") {
    second_control.Publish(1, 3);
    now += kInterval;
    ExchangeUpdate(&follower, &second_control, now);
    REQUIRE(follower.version().value == 5);
    REQUIRE(follower.state().routes.size() == 5);
  }
  SECTION("the published state comes from one control instance") {
    second_control.Publish(2, 5);
    now += kInterval;
    ExchangeUpdate(&follower, &first_control, now);
    now += kInterval;
    ExchangeUpdate(&follower, &second_control, now);
    const instance_name source = follower.state_source().value();
    first_control.Publish(3, 6);
    second_control.Publish(3, 6);
    now += milliseconds(60);
    for (control_sender* control : {&first_control, &second_control}) {
      auto updates = control->feed.Push(now, control->Content(), false);
      REQUIRE(updates.size() == 1);
      const wire::update& update = updates.front().message.update();
      REQUIRE(update.state_to() == 3);
      REQUIRE(update.has_state() == (control->name == source));
    }
    SECTION("and from the other one if the source doesn't deliver it") {
      control_sender& other =
          source == kFirstControl ? second_control : first_control;
      ExchangeUpdate(&follower, &other, now + milliseconds(600));
      REQUIRE(follower.version().value == 5);
      ExchangeUpdate(&follower, &other, now + milliseconds(1700));
      REQUIRE(follower.version().value == 6);
      REQUIRE(follower.state_source() == other.name);
    }
  }
  SECTION("a draining target is pushed between two requests") {
    first_control.registry.Report(now, Report(1, 2, target_phase::kDraining));
    now += milliseconds(60);
    auto updates = first_control.feed.Push(now, first_control.Content(), false);
    REQUIRE(updates.size() == 1);
    follower.Apply(now, kFirstControl, updates.front().message.update());
    REQUIRE(follower.state().targets.Find({"i-1"})->report.phase ==
            target_phase::kDraining);
    REQUIRE(first_control.feed
                .Push(now + seconds(1), first_control.Content(), false)
                .empty());
  }
  SECTION("a target record that isn't valid is reported") {
    wire::update update;
    update.set_target_epoch(first_control.epoch);
    update.set_targets_from(0);
    update.set_targets_to(9);
    auto* record = update.add_targets();
    record->set_id("i-2");
    record->set_phase(wire::PHASE_READY);
    record->set_port(70'000);
    const auto events = follower.Apply(now, kFirstControl, update);
    REQUIRE(events.size() == 1);
    const auto* refused = std::get_if<target_record_refused>(&events.front());
    REQUIRE(refused != nullptr);
    REQUIRE(refused->target == target_id{"i-2"});
    REQUIRE(follower.state().targets.size() == 1);
  }
  SECTION("an unreachable control instance gets requests at short intervals") {
    follower.Requests(now + kInterval, {});
    const auto retries =
        follower.Requests(now + kInterval + milliseconds(100), {});
    REQUIRE(retries.size() == 1);
    REQUIRE(retries.front().to == kSecondControl);
  }
  SECTION("a request that couldn't be sent is due again at once") {
    follower.Requests(now + kInterval, {});
    follower.RequestNotSent(kSecondControl);
    const auto repeated =
        follower.Requests(now + kInterval + milliseconds(1), {});
    REQUIRE(repeated.size() == 1);
    REQUIRE(repeated.front().to == kSecondControl);
  }
  SECTION(
      "a control instance that becomes unreachable after a long time gets "
      "requests at short intervals") {
    for (int i = 0; i < 60; ++i) {
      now += kInterval;
      ExchangeUpdate(&follower, &first_control, now);
    }
    now += 4 * kInterval;
    follower.Requests(now, {});
    const auto retries = follower.Requests(now + milliseconds(100), {});
    // The other one has never answered and gets no more retries.
    REQUIRE(retries.size() == 1);
    REQUIRE(retries.front().to == kFirstControl);
  }
  SECTION("reports of a lost control instance expire after 15 s") {
    ExchangeUpdate(&follower, &second_control, now);
    for (int i = 0; i < 40; ++i) {
      now += kInterval;
      ExchangeUpdate(&follower, &second_control, now);
      follower.Tick(now);
      const bool valid =
          follower.state().targets.Find({"i-1"})->IsReporting(now);
      REQUIRE(valid == (i < 30));
    }
  }
  SECTION("nothing expires while no control instance is reachable") {
    for (int i = 0; i < 100; ++i) {
      now += kInterval;
      follower.Tick(now);
    }
    REQUIRE(follower.state().targets.Find({"i-1"})->IsReporting(now));
    REQUIRE(follower.version().value == 5);
  }
  SECTION("targets of a restarted control instance are received again") {
    first_control.registry =
        target_registry({milliseconds(3000), milliseconds(60'000)});
    first_control.feed = follower_feed();
    first_control.epoch = 8;
    first_control.registry.Report(now, Report(2, 1, target_phase::kReady));
    now += kInterval;
    ExchangeUpdate(&follower, &first_control, now);
    REQUIRE(follower.state().targets.Find({"i-2"})->IsReporting(now));
    // The first target may not have reported again yet, so its report stays
    // valid for 10 s.
    REQUIRE(follower.state().targets.Find({"i-1"})->IsReporting(now));
    REQUIRE_FALSE(
        follower.state().targets.Find({"i-1"})->IsReporting(now + seconds(10)));
  }
  SECTION("a saved report of an unknown target") {
    target_report saved = Report(2, 5, target_phase::kReady);
    const auto restart_with_saved_report = [&] {
      second_control.registry.Restore(now, saved, now + seconds(10));
      now += kInterval;
      ExchangeUpdate(&follower, &second_control, now);
    };
    const auto accepts_new_flows = [&] {
      return follower.state().targets.Find(saved.id)->AcceptsNewFlows(now);
    };
    SECTION("opens it for new flows after an outage of the whole fleet") {
      restart_with_saved_report();
      REQUIRE(accepts_new_flows());
    }
    // The target has left while the control instance was down, so long ago that
    // the others have erased it.
    SECTION("doesn't bring it back later") {
      for (int i = 0; i < 30; ++i) {
        now += kInterval;
        ExchangeUpdate(&follower, &first_control, now);
      }
      restart_with_saved_report();
      REQUIRE_FALSE(accepts_new_flows());
      SECTION("until it reports") {
        second_control.registry.Report(now, Report(2, 1, target_phase::kReady));
        second_control.registry.Report(now, Report(2, 6, target_phase::kReady));
        now += kInterval;
        ExchangeUpdate(&follower, &second_control, now);
        REQUIRE(accepts_new_flows());
      }
    }
  }
  SECTION(
      "a data centre is closed if a control instance with the newest state "
      "reports it as closed") {
    first_control.closed = {{"a"}};
    now += kInterval;
    ExchangeUpdate(&follower, &first_control, now);
    REQUIRE(follower.state().closed.contains({"a"}));
    // The other control instance lags behind and reports it as open.
    ExchangeUpdate(&follower, &second_control, now);
    REQUIRE(follower.state().closed.contains({"a"}));
    first_control.closed.clear();
    now += kInterval;
    ExchangeUpdate(&follower, &first_control, now);
    REQUIRE(follower.state().closed.empty());
  }
}

// After an outage of the whole fleet, the callers that wait would all go to the
// few targets that report to the control instance that answers first.
TEST_CASE("the first control instance also sends the targets of the others") {
  control_follower follower = MakeFollower();
  control_sender first_control{.name = kFirstControl};
  control_sender second_control{.name = kSecondControl};
  instant now{seconds(100)};
  target_report saved = Report(2, 5, target_phase::kReady);
  saved.restored = true;
  first_control.Publish(2, 5);
  first_control.registry.Report(now, Report(1, 1, target_phase::kReady));
  first_control.peer_targets = {{.report = saved}};
  ExchangeUpdate(&follower, &first_control, now);
  const auto find = [&] { return follower.state().targets.Find(saved.id); };
  REQUIRE(follower.state().targets.size() == 2);
  REQUIRE(find()->AcceptsNewFlows(now));
  REQUIRE(find()->IsReporting(now));

  SECTION("for a limited time, unless they report") {
    REQUIRE_FALSE(find()->IsReporting(now + seconds(10)));
    second_control.registry.Report(now, Report(2, 6, target_phase::kReady));
    now += kInterval;
    ExchangeUpdate(&follower, &second_control, now);
    REQUIRE(find()->IsReporting(now + seconds(10)));
  }
  SECTION("their own control instance knows better that one has left") {
    second_control.registry.Report(now, Report(2, 6, target_phase::kDraining));
    now += kInterval;
    ExchangeUpdate(&follower, &second_control, now);
    REQUIRE_FALSE(find()->AcceptsNewFlows(now));
    ExchangeUpdate(&follower, &first_control, now + kInterval);
    REQUIRE_FALSE(find()->AcceptsNewFlows(now));
  }
  SECTION("one whose address is in use by another target gets nothing") {
    target_report successor = Report(3, 1, target_phase::kReady);
    successor.version.started_ms = 2000;
    successor.address = saved.address;
    second_control.registry.Report(now, successor);
    now += kInterval;
    ExchangeUpdate(&follower, &second_control, now);
    REQUIRE_FALSE(find()->replaced);
    // The saved report is valid for 10 s, and while the control instance that
    // sent it is in contact.
    const auto is_replaced_in = [&](milliseconds time) {
      bool is_replaced = false;
      for (const instant end = now + time; now < end;) {
        now += kInterval;
        ExchangeUpdate(&follower, &second_control, now);
        for (const follower_event& event : follower.Tick(now)) {
          const auto* change = std::get_if<target_change>(&event);
          is_replaced |= change != nullptr && change->replaced == saved.id;
        }
      }
      return is_replaced;
    };
    SECTION("once that is out of contact") {
      REQUIRE_FALSE(is_replaced_in(milliseconds(3000)));
      REQUIRE(is_replaced_in(milliseconds(1000)));
      REQUIRE(find()->replaced);
    }
    SECTION("but not because this process was suspended") {
      now += seconds(6);
      REQUIRE_FALSE(is_replaced_in(milliseconds(2500)));
      REQUIRE_FALSE(find()->replaced);
    }
  }
  SECTION("once") {
    for (follow_request& request : follower.Requests(now + kInterval, {})) {
      REQUIRE_FALSE(request.message.follow().wants_peer_targets());
    }
  }
}

TEST_CASE("a control instance that isn't a seed announces itself") {
  control_follower follower = MakeFollower();
  const instance_name other{"10.0.0.3"};
  const instant now{seconds(100)};
  const auto is_asked = [&](instant at) {
    const auto requests = follower.Requests(at, {});
    return std::any_of(
        requests.begin(), requests.end(),
        [&](const auto& request) { return request.to == other; });
  };
  REQUIRE_FALSE(is_asked(now));
  REQUIRE(follower.HandleAnnouncement(now, other));
  REQUIRE(is_asked(now));

  SECTION("again, if the request was lost") {
    REQUIRE(follower.HandleAnnouncement(now, other));
    REQUIRE(is_asked(now));
  }
  SECTION("which changes nothing once it has answered") {
    wire::update update;
    follower.Apply(now, other, update);
    REQUIRE_FALSE(follower.HandleAnnouncement(now, other));
    REQUIRE_FALSE(is_asked(now));
  }
  SECTION("forged names don't grow the table without bound") {
    for (int i = 0; i < 1000; ++i) {
      follower.HandleAnnouncement(now, {std::to_string(i)});
    }
    REQUIRE(follower.controls().size() <= 16);
  }
}

TEST_CASE("callers' demand is summed by data centre") {
  control_sender first_control{.name = kFirstControl};
  control_follower follower = MakeFollower();
  instant now{seconds(100)};
  wire::follow other;
  other.set_data_centre("b");
  auto* row = other.add_demand();
  row->set_service("catalogue");
  row->set_requests_per_s(30);
  first_control.feed.HandleFollow(now, {"second"}, other,
                                  first_control.Content());
  first_control.feed.HandleFollow(now, {"third"}, other,
                                  first_control.Content());
  ExchangeUpdate(&follower, &first_control, now);
  REQUIRE(follower.state().demand.at({"catalogue"}).at({"b"}) == Approx(60));

  SECTION("a rate that hardly changes isn't sent again") {
    auto update = first_control.feed.HandleFollow(now + kInterval, kLink, {},
                                                  first_control.Content());
    REQUIRE(update.message.update().demand_size() == 0);
  }
}

// Loses requests and updates at random. After the last steps, in which nothing
// changes and no message is lost, the follower must have the same routes and
// targets as the control instance.
TEST_CASE("a follower catches up after lost messages") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    control_follower follower = MakeFollower();
    control_sender control{.name = kFirstControl};
    instant now{seconds(100)};
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    std::uint64_t index = 0;
    const auto deliver = [&](feed_update& update, bool may_lose) {
      if (may_lose && random() % 3 == 0) return;
      follower.Apply(now, kFirstControl, update.message.update());
    };
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(1 + random() % 200);
      const bool settling = step >= 380;
      if (!settling && random() % 2 == 0) {
        control.registry.Report(
            now, Report(static_cast<int>(random() % 12), ++sequence,
                        random() % 4 == 0 ? target_phase::kDraining
                                          : target_phase::kReady));
      }
      if (!settling && random() % 6 == 0) control.Publish(++index, ++version);
      control.registry.Tick(now);
      for (feed_update& update :
           control.feed.Push(now, control.Content(), false)) {
        deliver(update, !settling);
      }
      for (follow_request& request : follower.Requests(now, {})) {
        if (request.to != kFirstControl || (!settling && random() % 3 == 0)) {
          continue;
        }
        feed_update update = control.feed.HandleFollow(
            now, kLink, request.message.follow(), control.Content());
        deliver(update, !settling);
      }
      follower.Tick(now);
    }
    INFO("seed " << seed);
    REQUIRE(follower.version() == control.published.published().version);
    for (const auto& [address, route] : control.published.published().routes) {
      REQUIRE(follower.state().routes.at(address) == route);
    }
    REQUIRE(follower.state().routes.size() ==
            control.published.published().routes.size());
    for (const auto& [id, target] : control.registry.targets()) {
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
