#include "Control/voter_plan.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

constexpr voter_plan_settings kSettings{.wanted = 3,
                                        .replace_after = milliseconds(2000),
                                        .candidate_within = milliseconds(900)};

control_peer Peer(const char* name, const char* data_centre,
                  std::uint64_t storage, int silent_ms = 0) {
  return {.name = {name},
          .data_centre = {data_centre},
          .storage = {storage},
          .caught_up = true,
          .silent = milliseconds(silent_ms)};
}

TEST_CASE("voters are replaced one at a time") {
  const replica_set voters{{{"a"}, {1}}, {{"b"}, {2}}, {{"c"}, {3}}};
  std::vector<control_peer> peers{Peer("a", "x", 1), Peer("b", "y", 2),
                                  Peer("c", "z", 3), Peer("d", "y", 4)};

  SECTION("not while all are heard") {
    REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
  }
  SECTION("not for a short silence") {
    peers[1].silent = milliseconds(1999);
    REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
  }
  SECTION("after a long one") {
    peers[1].silent = milliseconds(2000);
    const auto change = PlanVoters(kSettings, voters, peers);
    REQUIRE(change);
    REQUIRE(change->removed == instance_name{"b"});
    REQUIRE(change->removed_storage == storage_id{2});
    REQUIRE(change->added == instance_name{"d"});
    REQUIRE(change->added_storage == storage_id{4});

    SECTION("not right after the own start") {
      auto starting = kSettings;
      starting.replace_after = milliseconds::max();
      REQUIRE_FALSE(PlanVoters(starting, voters, peers));
    }
    SECTION("not by one that is behind, silent or can't write") {
      SECTION("behind") { peers[3].caught_up = false; }
      SECTION("silent") { peers[3].silent = milliseconds(1000); }
      SECTION("without a disk") { peers[3].storage = {0}; }
      REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
    }
  }
  SECTION("one that was never heard is lost") {
    peers.erase(peers.begin() + 1);
    REQUIRE(PlanVoters(kSettings, voters, peers)->removed ==
            instance_name{"b"});
  }
  SECTION("at once when it comes back with another disk, by itself") {
    peers[1].storage = {9};
    const auto change = PlanVoters(kSettings, voters, peers);
    REQUIRE(change->removed == instance_name{"b"});
    REQUIRE(change->added == instance_name{"b"});
    REQUIRE(change->added_storage == storage_id{9});

    SECTION("or by another one until it has caught up") {
      peers[1].caught_up = false;
      REQUIRE(PlanVoters(kSettings, voters, peers)->added ==
              instance_name{"d"});
    }
  }
  SECTION("one whose disk takes nothing gives its place away") {
    peers[1].storage = {0};
    REQUIRE(PlanVoters(kSettings, voters, peers)->added == instance_name{"d"});
  }
  SECTION("no data centre keeps so many that its loss would stop the rest") {
    peers[1].data_centre = {"x"};
    peers[3].data_centre = {"x"};
    REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
    peers.push_back(Peer("e", "w", 5));
    const auto change = PlanVoters(kSettings, voters, peers);
    REQUIRE(change);
    REQUIRE(change->added == instance_name{"e"});
    REQUIRE((change->removed == instance_name{"a"} ||
             change->removed == instance_name{"b"}));

    SECTION("and it stays so once it's spread") {
      replica_set spread = voters;
      spread.erase(change->removed);
      spread[{"e"}] = {5};
      REQUIRE_FALSE(PlanVoters(kSettings, spread, peers));
    }
  }
  SECTION("more are added where fewer vote than are wanted") {
    auto more = kSettings;
    more.wanted = 5;
    peers.push_back(Peer("e", "w", 5));
    const auto change = PlanVoters(more, voters, peers);
    REQUIRE(change->removed.value.empty());

    SECTION("first from the data centre with the fewest") {
      REQUIRE(change->added == instance_name{"e"});
    }
  }
}

}  // namespace
}  // namespace lavendertack
