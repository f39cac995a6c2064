#include "Distribution/catch_up.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

TEST_CASE("a started instance is current once it has caught up") {
  catch_up tracker(
      {.self = {"a"}, .replicas = {{"a"}, {"b"}, {"c"}}, .nonce = 7});
  REQUIRE_FALSE(tracker.IsCurrent({}));
  REQUIRE(tracker.ReplicasToQuery(instant(seconds(1))) ==
          std::vector<instance_name>{{"b"}, {"c"}});
  REQUIRE(tracker.ReplicasToQuery(instant(seconds(1))).empty());

  SECTION("a replica without its log file needs answers of a majority") {
    tracker.HandleIndexReport({"b"}, 7, {4});
    REQUIRE_FALSE(tracker.IsCurrent({4}));
    tracker.HandleIndexReport({"c"}, 7, {5});
    REQUIRE_FALSE(tracker.IsCurrent({4}));
    REQUIRE(tracker.IsCurrent({5}));
  }
  SECTION("a replica with its log file counts towards the majority") {
    tracker.CountOwnState();
    tracker.HandleIndexReport({"b"}, 7, {4});
    REQUIRE(tracker.IsCurrent({4}));
  }
  SECTION("answers to an earlier run or from other instances are ignored") {
    tracker.CountOwnState();
    tracker.HandleIndexReport({"b"}, 6, {4});
    tracker.HandleIndexReport({"d"}, 7, {4});
    REQUIRE_FALSE(tracker.IsCurrent({4}));
  }
}

}  // namespace
}  // namespace lavendertack
