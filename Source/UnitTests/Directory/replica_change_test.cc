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

directory Founded() {
  directory agreed;
  agreed.Apply({1}, bootstrap_entry{{{{"a"}, {1}}, {{"b"}, {2}}, {{"c"}, {3}}},
                                    {{"nairobi-1"}}});
  return agreed;
}

TEST_CASE("the voters change by entries") {
  directory agreed = Founded();
  const replica_change change{{"c"}, {3}, {"c"}, {4}};

  SECTION("one with a lost disk enters with its new one") {
    REQUIRE(
        std::holds_alternative<replicas_changed>(agreed.Apply({2}, change)));
    REQUIRE(IsVoter(agreed.replicas(), {"c"}, {4}));
    REQUIRE(!IsVoter(agreed.replicas(), {"c"}, {3}));
    SECTION("and a resend finds it in force") {
      REQUIRE(std::holds_alternative<replicas_unchanged>(
          agreed.Apply({3}, change)));
    }
    SECTION("and a change of the old disk is refused") {
      const replica_change late{{"c"}, {3}, {"d"}, {5}};
      REQUIRE(
          std::holds_alternative<replicas_refused>(agreed.Apply({3}, late)));
      REQUIRE(agreed.replicas().size() == 3);
    }
  }
  SECTION("three is the least") {
    REQUIRE(
        std::get<replicas_refused>(agreed.Check({{"c"}, {3}, {}, {}})).reason ==
        "fewer than 3 replicas would be left");
  }
  SECTION("a disk that nobody has heard of can't enter") {
    REQUIRE(std::holds_alternative<replicas_refused>(
        agreed.Check({{"c"}, {3}, {"d"}, {}})));
  }
  SECTION("a voter can't enter twice") {
    REQUIRE(std::holds_alternative<replicas_refused>(
        agreed.Check({{"c"}, {3}, {"a"}, {9}})));
  }
}

TEST_CASE("data centres are known by the founding entry and by rosters") {
  directory agreed = Founded();
  REQUIRE(std::holds_alternative<ticket_accepted>(
      agreed.Check(Ticket(1, "nairobi-1"))));
  REQUIRE(std::get<ticket_invalid>(agreed.Check(Ticket(1, "nairobi-2")))
              .error.field == "data_centres");
  agreed.AddDataCentre({"nairobi-2"});
  REQUIRE(std::holds_alternative<ticket_accepted>(
      agreed.Check(Ticket(1, "nairobi-2"))));
}

TEST_CASE("the memory of accepted tickets is bounded") {
  directory agreed = Founded();
  for (std::uint64_t i = 1; i <= kMaxAcceptedTickets + 1; ++i) {
    agreed.Apply({i + 1}, Ticket(i, "nairobi-1"));
  }
  REQUIRE(agreed.accepted().size() == kMaxAcceptedTickets);

  SECTION("a resend that is remembered gets the first answer") {
    const auto verdict = agreed.Check(Ticket(2, "nairobi-1"));
    REQUIRE(std::get<ticket_accepted>(verdict).index == log_index{3});
  }
  SECTION("one that is forgotten is outdated") {
    REQUIRE(std::holds_alternative<ticket_outdated>(
        agreed.Check(Ticket(1, "nairobi-1"))));
  }
  SECTION("a snapshot has the same state") {
    directory loaded;
    loaded.Load(agreed.Save());
    REQUIRE(loaded.Save().SerializeAsString() ==
            agreed.Save().SerializeAsString());
    REQUIRE(loaded.IsOutOfService({"nairobi-1"}));
  }
}

}  // namespace
}  // namespace lavendertack
