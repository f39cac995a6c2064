#include "Control/voter_plan.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

constexpr voter_plan_settings kSettings{
    .desired_voters = 3,
    .replace_after = milliseconds(2000),
    .candidate_max_silence = milliseconds(900)};

control_peer Peer(const char* name, const char* data_centre,
                  std::uint64_t storage, int silent_ms = 0) {
  return {.name = {name},
          .data_centre = {data_centre},
          .storage = {storage},
          .caught_up = true,
          .silent_for = milliseconds(silent_ms)};
}

TEST_CASE("voters are replaced one at a time") {
  const replica_set voters{{{"a"}, {1}}, {{"b"}, {2}}, {{"c"}, {3}}};
  std::vector<control_peer> peers{Peer("a", "x", 1), Peer("b", "y", 2),
                                  Peer("c", "z", 3), Peer("d", "y", 4)};

  SECTION("not while all are reachable") {
    REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
  }
  SECTION("not before a voter was silent for `replace_after`") {
    peers[1].silent_for = milliseconds(1999);
    REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
  }
  SECTION("when a voter was silent for `replace_after`") {
    peers[1].silent_for = milliseconds(2000);
    const auto change = PlanVoters(kSettings, voters, peers);
    REQUIRE(change);
    REQUIRE(change->removed == instance_name{"b"});
    REQUIRE(change->removed_storage == storage_id{2});
    REQUIRE(change->added == instance_name{"d"});
    REQUIRE(change->added_storage == storage_id{4});

    SECTION("not while replacement is turned off after a start") {
      auto starting = kSettings;
      starting.replace_after = milliseconds::max();
      REQUIRE_FALSE(PlanVoters(starting, voters, peers));
    }
    SECTION("not by an instance that can't be a candidate") {
      SECTION("behind") { peers[3].caught_up = false; }
      SECTION("silent") { peers[3].silent_for = milliseconds(1000); }
      SECTION("without a disk") { peers[3].storage = {0}; }
      REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
    }
  }
  SECTION("a voter that never sent a message counts as lost") {
    peers.erase(peers.begin() + 1);
    REQUIRE(PlanVoters(kSettings, voters, peers)->removed ==
            instance_name{"b"});
  }
  SECTION("a voter that returns with a new disk replaces itself at once") {
    peers[1].storage = {9};
    const auto change = PlanVoters(kSettings, voters, peers);
    REQUIRE(change->removed == instance_name{"b"});
    REQUIRE(change->added == instance_name{"b"});
    REQUIRE(change->added_storage == storage_id{9});

    SECTION("unless it lags behind: then another instance replaces it") {
      peers[1].caught_up = false;
      REQUIRE(PlanVoters(kSettings, voters, peers)->added ==
              instance_name{"d"});
    }
  }
  SECTION("a voter whose disk can't be written is replaced") {
    peers[1].storage = {0};
    REQUIRE(PlanVoters(kSettings, voters, peers)->added == instance_name{"d"});
  }
  SECTION(
      "voters are spread so that the loss of one data centre leaves a "
      "majority") {
    peers[1].data_centre = {"x"};
    peers[3].data_centre = {"x"};
    REQUIRE_FALSE(PlanVoters(kSettings, voters, peers));
    peers.push_back(Peer("e", "w", 5));
    const auto change = PlanVoters(kSettings, voters, peers);
    REQUIRE(change);
    REQUIRE(change->added == instance_name{"e"});
    REQUIRE((change->removed == instance_name{"a"} ||
             change->removed == instance_name{"b"}));

    SECTION("and voters that are spread well stay unchanged") {
      replica_set spread = voters;
      spread.erase(change->removed);
      spread[{"e"}] = {5};
      REQUIRE_FALSE(PlanVoters(kSettings, spread, peers));
    }
  }
  SECTION("a voter is added while there are too few") {
    auto more_voters = kSettings;
    more_voters.desired_voters = 5;
    peers.push_back(Peer("e", "w", 5));
    const auto change = PlanVoters(more_voters, voters, peers);
    REQUIRE(change->removed.value.empty());

    SECTION("from the data centre with the fewest voters") {
      REQUIRE(change->added == instance_name{"e"});
    }
  }
}

}  // namespace
}  // namespace lavendertack
