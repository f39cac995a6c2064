#include "Control/follower_feed.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

// Guards against updates without any change that repeat the names of all
// control instances to each entry instance twice a second.
TEST_CASE("the list of control instances is sent when it's due") {
  const instance_name self{"10.0.0.1"};
  const data_centre_name data_centre{"a"};
  const std::vector<registered_target> no_peer_targets;
  const published_state published(
      [](const std::string&) { return manifest{}; });
  const activity_registry activities;
  const target_registry targets({.silent_after = seconds(3),
                                 .forget_after = seconds(60),
                                 .unanswered_silent_after = seconds(2)});
  feed_content content{.self = self,
                       .published = published,
                       .targets = targets,
                       .peer_targets = no_peer_targets,
                       .target_epoch = 1,
                       .data_centre = data_centre,
                       .current = true,
                       .controls = {{"10.0.0.2"}, {"10.0.0.3"}},
                       .closed = {},
                       .activities = activities};
  follower_feed feed;
  instant now{seconds(100)};
  const auto listed = [&](const char* link = "entry 1") {
    const feed_update update =
        feed.HandleFollow(now, {link}, wire::follow(), content);
    return update.message.update().controls_size();
  };
  REQUIRE(listed() == 2);
  now += milliseconds(500);
  REQUIRE(listed() == 0);

  SECTION("to a follower that has connected again") {
    REQUIRE(listed("entry 1 again") == 2);
  }
  SECTION("after a change") {
    content.controls.push_back({"10.0.0.4"});
    REQUIRE(listed() == 3);
    REQUIRE(listed() == 0);
  }
  SECTION("before followers forget silent control instances") {
    now += seconds(5);
    REQUIRE(listed() == 2);
  }
}

}  // namespace
}  // namespace lavendertack
