#include "Forwarding/flow_router.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

const report_source kControl{"10.0.0.1"};
const ipv4_endpoint kRoute{{0xc6120001}, {443}};
const ipv4_endpoint kOtherRoute{{0xc6120002}, {443}};
const service_name kCatalogue{"catalogue"};
const service_name kGuides{"guides"};

// Callers and the targets of two data centres.
class router_story {
 public:
  router_story() {
    state.has_manifest = true;
    state.routes[kRoute] = {.shares = {{kCatalogue, 1}}, .priority = 1};
  }

  void AddTarget(const std::string& id, const char* data_centre,
                 target_phase phase = target_phase::kReady,
                 const service_name& service = kCatalogue) {
    target_report report{.id = {id},
                         .version = {1000, ++sequence_},
                         .service = service,
                         .address = {{++next_ip_}, {8080}},
                         .data_centre = {data_centre},
                         .slots = 2,
                         .phase = phase,
                         .cold_left = milliseconds(0)};
    if (const auto* known = state.targets.Find(report.id)) {
      report.address = known->report.address;
    }
    state.targets.Apply(now, kControl, report);
  }

  flow_packet Opening(std::uint32_t caller, std::uint32_t retransmission = 0,
                      const ipv4_endpoint& route = kRoute) const {
    return {.flow = {{{0x64400000 + caller}, {1025}}, route},
            .opens = true,
            .retransmission = retransmission,
            .sequence = 7,
            .acknowledged = retransmission};
  }

  flow_packet Following(std::uint32_t caller, const target_id& id,
                        std::uint32_t data = 100) const {
    return {.flow = {{{0x64400000 + caller}, {1025}}, kRoute},
            .tag = TagOf(id),
            .sequence = 8,
            .acknowledged = 99,
            .data_bytes = data};
  }

  // The target of a new connection; empty when it was refused.
  std::string Open(std::uint32_t caller, std::uint32_t retransmission = 0) {
    const forward_decision verdict =
        router.Route(now, Opening(caller, retransmission));
    const auto* forward = std::get_if<forward_to_target>(&verdict);
    return forward == nullptr ? "" : forward->target->report.id.value;
  }

  forward_reason ReasonOf(const flow_packet& packet) {
    return std::visit([](const auto& verdict) { return verdict.reason; },
                      router.Route(now, packet));
  }

  std::map<std::string, int> OpenMany(int count) {
    std::map<std::string, int> opened;
    for (int i = 0; i < count; ++i) {
      const std::uint32_t caller = 10'000 + ++callers_;
      const std::string id = Open(caller);
      ++opened[id];
      if (!id.empty()) router.Route(now, Following(caller, {id}));
      now += milliseconds(5);
    }
    return opened;
  }

  instant now{seconds(100)};
  routing_state state;
  flow_router router{&state, {"a"}, 1};

 private:
  std::uint64_t sequence_ = 0;
  std::uint32_t next_ip_ = 0x0a000000;
  std::uint32_t callers_ = 0;
};

TEST_CASE("packets find their target by what they carry") {
  router_story story;
  story.AddTarget("i-1", "a");
  story.AddTarget("i-2", "a");

  SECTION("whatever this instance has seen before") {
    REQUIRE(story.ReasonOf(story.Following(1, {"i-2"})) ==
            forward_reason::kFollows);
  }
  SECTION("while the target drains") {
    story.AddTarget("i-2", "a", target_phase::kDraining);
    REQUIRE(story.ReasonOf(story.Following(1, {"i-2"})) ==
            forward_reason::kFollows);
  }
  SECTION("while its data centre is taken out") {
    story.state.closed = {{"a"}};
    REQUIRE(story.ReasonOf(story.Following(1, {"i-2"})) ==
            forward_reason::kFollows);
  }
  SECTION("until it has ended for a second") {
    story.AddTarget("i-2", "a", target_phase::kGone);
    REQUIRE(story.ReasonOf(story.Following(1, {"i-2"})) ==
            forward_reason::kFollows);
    story.now += milliseconds(1001);
    const auto verdict =
        story.router.Route(story.now, story.Following(1, {"i-2"}));
    REQUIRE(std::get<reset_caller>(verdict).reason ==
            forward_reason::kTargetOver);
  }
  SECTION("are dropped when the tag isn't known here yet") {
    const auto verdict =
        story.router.Route(story.now, story.Following(1, {"i-9"}));
    REQUIRE(std::get<drop_packet>(verdict).reason ==
            forward_reason::kUnknownTag);
  }
  SECTION("and are reset when their route was removed") {
    story.state.routes.clear();
    const auto verdict =
        story.router.Route(story.now, story.Following(1, {"i-2"}));
    REQUIRE(std::get<reset_caller>(verdict).reason == forward_reason::kNoRoute);
  }
  SECTION("nothing is reset before a manifest is known") {
    story.state.has_manifest = false;
    REQUIRE(std::holds_alternative<drop_packet>(
        story.router.Route(story.now, story.Opening(1))));
  }
}

TEST_CASE("a new connection is placed on a target that can take it") {
  router_story story;

  SECTION("or refused at once when there is none") {
    const auto verdict = story.router.Route(story.now, story.Opening(1));
    REQUIRE(std::get<reset_caller>(verdict).reason ==
            forward_reason::kNoTarget);
  }
  SECTION("or refused at once without a route") {
    const auto verdict =
        story.router.Route(story.now, story.Opening(1, 0, kOtherRoute));
    REQUIRE(std::get<reset_caller>(verdict).reason == forward_reason::kNoRoute);
  }
  SECTION("never on one that drains, is cold, or stands in a closed place") {
    story.AddTarget("i-1", "a");
    story.AddTarget("i-2", "a", target_phase::kDraining);
    story.AddTarget("i-3", "b");
    story.state.closed = {{"b"}};
    const auto opened = story.OpenMany(100);
    REQUIRE(opened.size() == 1);
    REQUIRE(opened.contains("i-1"));
  }
  SECTION("never on another service") {
    story.AddTarget("i-1", "a");
    story.AddTarget("i-2", "a", target_phase::kReady, kGuides);
    REQUIRE_FALSE(story.OpenMany(100).contains("i-2"));
  }
  SECTION("by the weights of its route") {
    story.AddTarget("i-1", "a");
    story.AddTarget("i-2", "a", target_phase::kReady, kGuides);
    story.state.routes[kRoute].shares = {{kCatalogue, 90}, {kGuides, 10}};
    const auto opened = story.OpenMany(2000);
    REQUIRE(opened.at("i-2") > 100);
    REQUIRE(opened.at("i-2") < 300);
  }
  SECTION("evenly") {
    for (int i = 0; i < 7; ++i) story.AddTarget("i-" + std::to_string(i), "a");
    const auto opened = story.OpenMany(2000);
    REQUIRE(opened.size() == 7);
    for (const auto& [id, count] : opened) REQUIRE(count < 1.2 * 2000 / 7);
  }
}

TEST_CASE("a target that doesn't answer new connections is left alone") {
  router_story story;
  story.AddTarget("i-1", "a");
  story.AddTarget("i-2", "a");
  story.AddTarget("i-3", "a");
  const std::string first = story.Open(1);

  SECTION("the copy goes to another one, which goes on with the rest") {
    story.now += milliseconds(200);
    const std::string second = story.Open(1, 1);
    REQUIRE(second != first);
    REQUIRE_FALSE(story.OpenMany(100).contains(first));
  }
  SECTION("until it answers again") {
    story.now += milliseconds(200);
    story.Open(1, 1);
    story.now += seconds(10);
    std::map<std::string, int> opened = story.OpenMany(200);
    REQUIRE(opened.at(first) > 20);
  }
  SECTION("one caller at a time finds out whether it does") {
    story.now += milliseconds(200);
    story.Open(1, 1);
    story.now += milliseconds(1100);
    int tried = 0;
    for (std::uint32_t caller = 100; caller < 200; ++caller) {
      if (story.Open(caller) == first) ++tried;
    }
    REQUIRE(tried == 1);
  }
  SECTION("but is tried when all are so") {
    for (std::uint32_t caller = 50; caller < 80; ++caller) {
      story.Open(caller);
      story.Open(caller, 1);
    }
    REQUIRE_FALSE(story.Open(500).empty());
  }
}

// The load pattern after all control instances were killed: for seconds only
// the targets that reported first are heard.
TEST_CASE("new connections don't crowd on the few targets that are heard") {
  router_story story;
  for (int i = 0; i < 10; ++i) story.AddTarget("i-" + std::to_string(i), "a");
  story.state.targets.ExpireSource(kControl, story.now);
  story.AddTarget("i-1", "a");
  story.AddTarget("i-2", "a");
  const auto opened = story.OpenMany(1000);
  REQUIRE(opened.size() == 10);
  for (const auto& [id, count] : opened) REQUIRE(count < 200);

  SECTION("and a few silent ones among many get none") {
    for (int i = 3; i < 9; ++i) story.AddTarget("i-" + std::to_string(i), "a");
    const auto later = story.OpenMany(500);
    REQUIRE_FALSE(later.contains("i-0"));
    REQUIRE_FALSE(later.contains("i-9"));
  }
}

TEST_CASE("new connections stay in the callers' data centre") {
  router_story story;
  for (int i = 0; i < 4; ++i) {
    story.AddTarget("i-1" + std::to_string(i), "a");
    story.AddTarget("i-2" + std::to_string(i), "b");
  }
  const auto local = [](const std::map<std::string, int>& opened) {
    int count = 0;
    for (const auto& [id, number] : opened) {
      if (id.starts_with("i-1")) count += number;
    }
    return count;
  };

  SECTION("all of them at equal demand") {
    story.state.demand[kCatalogue] = {{{"a"}, 100}, {{"b"}, 100}};
    REQUIRE(local(story.OpenMany(400)) == 400);
  }
  SECTION("a part where callers crowd") {
    story.state.demand[kCatalogue] = {{{"a"}, 300}, {{"b"}, 100}};
    const int count = local(story.OpenMany(2000));
    REQUIRE(count > 2000 * 0.8);
    REQUIRE(count < 2000 * 0.93);
  }
  SECTION("none when none of its targets can take them") {
    story.state.closed = {{"a"}};
    REQUIRE(local(story.OpenMany(100)) == 0);
  }
}

TEST_CASE("what waits in a suspended instance says nothing of targets") {
  router_story story;
  story.AddTarget("i-1", "a");
  story.router.Tick(story.now);
  story.Open(1);
  story.now += milliseconds(8);
  const auto passes = [&](std::uint32_t acknowledged, std::uint32_t data) {
    flow_packet packet = story.Following(1, {"i-1"}, data);
    packet.acknowledged = acknowledged;
    story.router.Route(story.now, packet);
  };
  passes(100, 50);
  const auto answered_after = [&](milliseconds time, milliseconds tick) {
    for (milliseconds passed{0}; passed < time; passed += tick) {
      story.now += tick;
      if (passed + tick < time) story.router.Tick(story.now);
    }
    passes(4000, 0);
    return story.router.Pressure(story.now, kCatalogue, 2);
  };

  SECTION("an answer after two seconds in step is slow") {
    REQUIRE(answered_after(seconds(2), milliseconds(50)) > 0);
  }
  SECTION("two seconds in which nothing ran aren't the target's") {
    REQUIRE(answered_after(seconds(2), seconds(2)) == 0);
  }
}

TEST_CASE("patient work is refused at its first packet when all is busy") {
  router_story story;
  story.AddTarget("i-1", "a");
  const ipv4_endpoint urgent{{0xc6120001}, {8443}};
  story.state.routes[urgent] = {.shares = {{kCatalogue, 1}}, .priority = 0};
  story.state.priorities = PrioritiesOf(story.state.routes);
  // Requests whose answers begin after 40 ms, 200 a second at two slots.
  const auto work = [&](int requests) {
    for (int i = 0; i < requests; ++i) {
      story.router.Tick(story.now);
      const auto caller = static_cast<std::uint32_t>(i % 50);
      if (i % 20 == 0) story.Open(1000 + caller);
      story.router.Route(story.now, story.Following(caller, {"i-1"}));
      flow_packet answered = story.Following(caller, {"i-1"}, 0);
      answered.acknowledged += 4000;
      story.router.Route(story.now + milliseconds(40), answered);
      if (i % 20 == 0) {
        story.router.Route(story.now + milliseconds(1),
                           story.Following(1000 + caller, {"i-1"}));
      }
      story.now += milliseconds(5);
    }
  };
  const auto refused = [&](const ipv4_endpoint& route) {
    int count = 0;
    for (std::uint32_t i = 0; i < 100; ++i) {
      count += story.ReasonOf(story.Opening(5000 + i, 0, route)) ==
               forward_reason::kOverloaded;
    }
    return count;
  };

  work(2000);
  REQUIRE(story.router.Pressure(story.now, kCatalogue, 2) > 3);
  REQUIRE(refused(kRoute) > 90);
  SECTION("less while others are silent: the demand told may be theirs") {
    const auto pressure = [&] {
      for (std::uint32_t i = 0;; ++i) {
        const auto verdict =
            story.router.Route(story.now, story.Opening(7000 + i));
        if (const auto* reset = std::get_if<reset_caller>(&verdict)) {
          return reset->pressure;
        }
      }
    };
    const double before = pressure();
    story.AddTarget("i-2", "b");
    story.AddTarget("i-2", "b", target_phase::kSilent);
    REQUIRE(pressure() == Approx(before / 2));
  }
  SECTION("urgent work isn't") { REQUIRE(refused(urgent) == 0); }
  SECTION("and it's taken again, from the first, when slots are free") {
    story.now += seconds(4);
    REQUIRE(story.router.Pressure(story.now, kCatalogue, 2) < 1);
    REQUIRE(refused(kRoute) == 0);
  }
  SECTION("where there is nothing more urgent, targets refuse themselves") {
    story.state.routes.erase(urgent);
    story.state.priorities = PrioritiesOf(story.state.routes);
    REQUIRE(refused(kRoute) == 0);
  }
}

}  // namespace
}  // namespace lavendertack
