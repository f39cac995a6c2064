#include "Distribution/catch_up.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

TEST_CASE("an instance that started is current after it caught up") {
  catch_up started(
      {.self = {"a"}, .replicas = {{"a"}, {"b"}, {"c"}}, .nonce = 7});
  REQUIRE_FALSE(started.IsCurrent({}));
  REQUIRE(started.ReplicasToQuery(instant(seconds(1))) ==
          std::vector<instance_name>{{"b"}, {"c"}});
  REQUIRE(started.ReplicasToQuery(instant(seconds(1))).empty());

  SECTION("a replica without its log file needs a majority of the others") {
    started.HandleIndexReport({"b"}, 7, {4});
    REQUIRE_FALSE(started.IsCurrent({4}));
    started.HandleIndexReport({"c"}, 7, {5});
    REQUIRE_FALSE(started.IsCurrent({4}));
    REQUIRE(started.IsCurrent({5}));
  }
  SECTION("one with its log file counts itself") {
    started.CountOwnState();
    started.HandleIndexReport({"b"}, 7, {4});
    REQUIRE(started.IsCurrent({4}));
  }
  SECTION("answers to an earlier life, and of others, don't count") {
    started.CountOwnState();
    started.HandleIndexReport({"b"}, 6, {4});
    started.HandleIndexReport({"d"}, 7, {4});
    REQUIRE_FALSE(started.IsCurrent({4}));
  }
}

}  // namespace
}  // namespace lavendertack
