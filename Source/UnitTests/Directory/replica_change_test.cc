#include <catch2/catch.hpp>

#include "Directory/directory.h"

namespace lavendertack {
namespace {

change_ticket Ticket(std::uint64_t number, const std::string& data_centre) {
  return {.number = {number},
          .services = {},
          .classes = {},
          .data_centres = {{{data_centre}, true}}};
}

directory BootstrappedDirectory() {
  directory state;
  state.Apply({1}, bootstrap_entry{{{{"a"}, {1}}, {{"b"}, {2}}, {{"c"}, {3}}},
                                   {{"nairobi-1"}}});
  return state;
}

TEST_CASE("log entries change the voters") {
  directory state = BootstrappedDirectory();
  const replica_change change{{"c"}, {3}, {"c"}, {4}};

  SECTION("an instance with a new disk replaces its storage id") {
    REQUIRE(std::holds_alternative<replicas_changed>(state.Apply({2}, change)));
    REQUIRE(IsVoter(state.replicas(), {"c"}, {4}));
    REQUIRE(!IsVoter(state.replicas(), {"c"}, {3}));
    SECTION("a resend changes nothing") {
      REQUIRE(
          std::holds_alternative<replicas_unchanged>(state.Apply({3}, change)));
    }
    SECTION("a change that removes the old storage id is refused") {
      const replica_change outdated{{"c"}, {3}, {"d"}, {5}};
      REQUIRE(
          std::holds_alternative<replicas_refused>(state.Apply({3}, outdated)));
      REQUIRE(state.replicas().size() == 3);
    }
  }
  SECTION("at least three voters must remain") {
    REQUIRE(
        std::get<replicas_refused>(state.Check({{"c"}, {3}, {}, {}})).reason ==
        "fewer than 3 replicas would be left");
  }
  SECTION("a voter without a known storage id can't be added") {
    REQUIRE(std::holds_alternative<replicas_refused>(
        state.Check({{"c"}, {3}, {"d"}, {}})));
  }
  SECTION("a voter can't be added twice") {
    REQUIRE(std::holds_alternative<replicas_refused>(
        state.Check({{"c"}, {3}, {"a"}, {9}})));
  }
}

TEST_CASE(
    "tickets may refer to data centres of the bootstrap entry and of rosters") {
  directory state = BootstrappedDirectory();
  REQUIRE(std::holds_alternative<ticket_accepted>(
      state.Check(Ticket(1, "nairobi-1"))));
  REQUIRE(std::get<ticket_invalid>(state.Check(Ticket(1, "nairobi-2")))
              .error.field == "data_centres");
  state.AddDataCentre({"nairobi-2"});
  REQUIRE(std::holds_alternative<ticket_accepted>(
      state.Check(Ticket(1, "nairobi-2"))));
}

TEST_CASE("the number of kept accepted tickets is bounded") {
  directory state = BootstrappedDirectory();
  for (std::uint64_t i = 1; i <= kMaxAcceptedTickets + 1; ++i) {
    state.Apply({i + 1}, Ticket(i, "nairobi-1"));
  }
  REQUIRE(state.accepted().size() == kMaxAcceptedTickets);

  SECTION("a resend of a kept ticket gets the original result") {
    const auto result = state.Check(Ticket(2, "nairobi-1"));
    REQUIRE(std::get<ticket_accepted>(result).index == log_index{3});
  }
  SECTION("a resend of a discarded ticket is outdated") {
    REQUIRE(std::holds_alternative<ticket_outdated>(
        state.Check(Ticket(1, "nairobi-1"))));
  }
  SECTION("saving and loading a snapshot keeps the state") {
    directory loaded;
    loaded.Load(state.Save());
    REQUIRE(loaded.Save().SerializeAsString() ==
            state.Save().SerializeAsString());
    REQUIRE(loaded.IsOutOfService({"nairobi-1"}));
  }
}

}  // namespace
}  // namespace lavendertack
