#include <catch2/catch.hpp>

#include "UnitTests/Agreement/replica_simulation.h"

namespace lavendertack {
namespace {

using testing::injected_defects;
using testing::invariant_violation;
using testing::replica_simulation;

change_ticket Ticket(std::uint64_t number, std::uint32_t price) {
  return {.number = {number},
          .services = {},
          .classes = {{{"hold"}, {price}}},
          .data_centres = {}};
}

void RunFor(replica_simulation* simulation, milliseconds time) {
  simulation->queue().RunUntil(simulation->queue().Now() + time);
}

// Submits `ticket` to instance `i` and runs until it is answered. Returns
// nothing if there is no answer within 10 s.
std::optional<ticket_outcome> SubmitAndWait(replica_simulation* simulation,
                                            std::size_t i,
                                            const change_ticket& ticket) {
  std::optional<ticket_outcome> outcome;
  simulation->Submit(i, ticket, [&](const ticket_outcome& o) { outcome = o; });
  for (int step = 0; step < 1000 && !outcome; ++step) {
    RunFor(simulation, milliseconds(10));
  }
  return outcome;
}

bool IsAcceptance(const ticket_outcome& outcome) {
  const auto* result = std::get_if<ticket_result>(&outcome);
  return result != nullptr && std::holds_alternative<ticket_accepted>(*result);
}

bool IsAccepted(const std::optional<ticket_outcome>& outcome) {
  return outcome && IsAcceptance(*outcome);
}

bool IsUndecided(const std::optional<ticket_outcome>& outcome) {
  return outcome && std::holds_alternative<ticket_undecided>(*outcome);
}

std::optional<replica_change_outcome> ReplaceAndWait(
    replica_simulation* simulation, std::size_t i, std::size_t removed,
    std::size_t added) {
  std::optional<replica_change_outcome> outcome;
  simulation->Replace(i, removed, added,
                      [&](const replica_change_outcome& o) { outcome = o; });
  for (int step = 0; step < 1000 && !outcome; ++step) {
    RunFor(simulation, milliseconds(10));
  }
  return outcome;
}

bool IsDone(const std::optional<replica_change_outcome>& outcome) {
  return outcome && std::holds_alternative<replica_change_done>(*outcome);
}

TEST_CASE("three replicas agree on tickets") {
  replica_simulation simulation({.seed = 7});
  RunFor(&simulation, seconds(3));
  REQUIRE(simulation.Voters().size() == 3);
  REQUIRE(IsAccepted(SubmitAndWait(&simulation, 0, Ticket(1, 10))));

  SECTION("of two concurrent tickets with one number, one is accepted") {
    std::optional<ticket_outcome> first;
    std::optional<ticket_outcome> second;
    simulation.Submit(0, Ticket(2, 20), [&](const auto& o) { first = o; });
    simulation.Submit(1, Ticket(2, 21), [&](const auto& o) { second = o; });
    RunFor(&simulation, seconds(3));
    REQUIRE(IsAccepted(first) != IsAccepted(second));
    const auto refused = IsAccepted(first) ? second : first;
    const auto& conflict =
        std::get<ticket_conflict>(std::get<ticket_result>(refused.value()));
    REQUIRE(conflict.number == ticket_number{2});
    const auto& tickets = simulation.NodeOf(2).agreed_directory().accepted();
    REQUIRE(conflict.index == tickets.at({2}).index);
  }
  SECTION("the same ticket submitted to two replicas appends one entry") {
    RunFor(&simulation, seconds(10));  // Until all roster entries are chosen.
    const log_index before = simulation.NodeOf(2).agreed_directory().applied();
    int accepted = 0;
    for (const std::size_t i : {0, 1}) {
      simulation.Submit(i, Ticket(2, 20), [&](const auto& o) {
        if (IsAcceptance(o)) ++accepted;
      });
    }
    RunFor(&simulation, seconds(3));
    REQUIRE(accepted == 2);
    REQUIRE(simulation.NodeOf(2).agreed_directory().applied().value ==
            before.value + 1);
  }
  SECTION("a resend appends no second entry") {
    RunFor(&simulation, seconds(10));  // Until all roster entries are chosen.
    const log_index before = simulation.NodeOf(2).agreed_directory().applied();
    REQUIRE(IsAccepted(SubmitAndWait(&simulation, 1, Ticket(1, 10))));
    RunFor(&simulation, seconds(1));
    REQUIRE(simulation.NodeOf(2).agreed_directory().applied() == before);
  }
  SECTION("a ticket for a data centre without instances is refused") {
    change_ticket ticket = Ticket(2, 20);
    ticket.data_centres = {{{"nowhere"}, true}};
    const auto outcome = SubmitAndWait(&simulation, 0, ticket);
    const auto& result = std::get<ticket_result>(outcome.value());
    REQUIRE(std::get<ticket_invalid>(result).error.reason ==
            "unknown data centre nowhere");
  }
  SECTION("the others apply a ticket whose proposer failed after answering") {
    bool accepted = false;
    simulation.Submit(0, Ticket(2, 20), [&](const auto& outcome) {
      accepted = IsAcceptance(outcome);
      simulation.Isolate(0);
    });
    RunFor(&simulation, seconds(1));
    REQUIRE(accepted);
    simulation.PowerFailure(0);
    RunFor(&simulation, seconds(2));
    REQUIRE(simulation.NodeOf(1).agreed_directory().newest() ==
            ticket_number{2});
    REQUIRE(simulation.NodeOf(2).agreed_directory().newest() ==
            ticket_number{2});
  }
  SECTION("an isolated replica accepts nothing") {
    simulation.Isolate(0);
    REQUIRE(IsAccepted(SubmitAndWait(&simulation, 1, Ticket(2, 20))));
    REQUIRE(IsUndecided(SubmitAndWait(&simulation, 0, Ticket(2, 21))));
    simulation.RestoreLinks();
    RunFor(&simulation, seconds(3));
    REQUIRE(!IsAccepted(SubmitAndWait(&simulation, 0, Ticket(2, 21))));
    simulation.CheckConverged();
  }
  SECTION("a frozen replica catches up after it resumes in an old state") {
    simulation.Freeze(0);
    for (std::uint64_t number = 2; number < 6; ++number) {
      REQUIRE(IsAccepted(SubmitAndWait(&simulation, 1, Ticket(number, 20))));
    }
    simulation.Unfreeze(0);
    const auto outcome = SubmitAndWait(&simulation, 0, Ticket(3, 99));
    REQUIRE(std::holds_alternative<ticket_conflict>(
        std::get<ticket_result>(outcome.value())));
    RunFor(&simulation, seconds(3));
    simulation.CheckConverged();
  }
  SECTION("a replica with a full disk loses its vote and still learns") {
    simulation.DiskOf(0).LimitFreeBytes(0);
    REQUIRE(IsAccepted(SubmitAndWait(&simulation, 1, Ticket(2, 20))));
    RunFor(&simulation, seconds(3));
    REQUIRE(simulation.IsUp(0));
    REQUIRE(!simulation.NodeOf(0).agreed_log().IsVoting());
    REQUIRE(simulation.NodeOf(0).agreed_directory().newest() ==
            ticket_number{2});
  }
}

TEST_CASE("a replica that lost its disk") {
  replica_simulation simulation({.seed = 9});
  RunFor(&simulation, seconds(3));
  REQUIRE(IsAccepted(SubmitAndWait(&simulation, 0, Ticket(1, 10))));
  simulation.LoseDisk(2);
  simulation.Start(2);
  RunFor(&simulation, seconds(3));

  SECTION("becomes a learner") {
    REQUIRE(simulation.NodeOf(2).agreed_directory().newest() ==
            ticket_number{1});
    REQUIRE(!simulation.NodeOf(2).agreed_log().IsVoting());
    simulation.Isolate(0);
    REQUIRE(IsUndecided(SubmitAndWait(&simulation, 1, Ticket(2, 20))));
  }
  SECTION("can be replaced on the same instance") {
    REQUIRE(IsDone(ReplaceAndWait(&simulation, 0, 2, 2)));
    REQUIRE(simulation.NodeOf(2).agreed_log().IsVoting());
    SECTION("another disk lost right after the replacement is tolerated") {
      simulation.LoseDisk(0);
      REQUIRE(IsAccepted(SubmitAndWait(&simulation, 1, Ticket(2, 20))));
      simulation.Start(0);
      RunFor(&simulation, seconds(3));
      REQUIRE(IsDone(ReplaceAndWait(&simulation, 1, 0, 0)));
      simulation.CheckConverged();
    }
    SECTION("a resent replica change succeeds without another entry") {
      const log_index before =
          simulation.NodeOf(0).agreed_directory().applied();
      REQUIRE(IsDone(ReplaceAndWait(&simulation, 1, 2, 2)));
      REQUIRE(simulation.NodeOf(0).agreed_directory().applied() == before);
    }
  }
  SECTION("can be replaced by a spare instance") {
    REQUIRE(IsDone(ReplaceAndWait(&simulation, 0, 2, 3)));
    REQUIRE(simulation.NodeOf(3).agreed_log().IsVoting());
    simulation.LoseDisk(0);
    REQUIRE(IsAccepted(SubmitAndWait(&simulation, 1, Ticket(2, 20))));
  }
  SECTION("can't be replaced by an instance that lags behind") {
    simulation.Freeze(3);
    REQUIRE(IsAccepted(SubmitAndWait(&simulation, 0, Ticket(2, 20))));
    const auto outcome = ReplaceAndWait(&simulation, 0, 2, 3);
    REQUIRE(std::get<replica_change_refused>(outcome.value()).reason ==
            "n3 hasn't got every entry yet");
  }
}

TEST_CASE(
    "a replica change is done once a majority of the new voters stores it") {
  constexpr microseconds kDelay(4000);
  replica_simulation simulation(
      {.seed = 17, .min_delay = kDelay, .max_delay = kDelay});
  RunFor(&simulation, seconds(10));
  simulation.LoseDisk(2);
  simulation.Start(2);
  RunFor(&simulation, seconds(5));
  bool done = false;
  simulation.Replace(0, 2, 2, [&](const replica_change_outcome& outcome) {
    done = std::holds_alternative<replica_change_done>(outcome);
  });
  // By now n0 has sent the accept requests. Nothing that it sends later
  // arrives, so n0 chooses the entry but no other instance receives it.
  simulation.queue().RunUntil(simulation.queue().Now() + 5 * kDelay / 2);
  for (const std::size_t other : {1, 2, 3, 4}) simulation.CutLink(0, other);
  RunFor(&simulation, seconds(3));
  REQUIRE(simulation.NodeOf(0).agreed_log().chosen_index() >
          simulation.NodeOf(1).agreed_log().chosen_index());
  REQUIRE(!done);
  simulation.RestoreLinks();
  RunFor(&simulation, seconds(3));
  REQUIRE(done);
}

// n0 and n2 accept a ticket. Then n2 loses its disk and thereby its acceptance,
// and n1 proposes another ticket with the same number while n0 is frozen.
void RunLostAcceptance(injected_defects defects) {
  replica_simulation simulation({.seed = 11, .defects = defects});
  RunFor(&simulation, seconds(3));
  simulation.Isolate(1);
  REQUIRE(IsAccepted(SubmitAndWait(&simulation, 0, Ticket(1, 10))));
  simulation.Freeze(0);
  simulation.LoseDisk(2);
  simulation.RestoreLinks();
  // The spare and the learner have the accepted ticket; freeze them, so that
  // n1 and n2 can't fetch it.
  simulation.Freeze(3);
  simulation.Freeze(4);
  simulation.Start(2);
  RunFor(&simulation, seconds(3));
  SubmitAndWait(&simulation, 1, Ticket(1, 11));
}

TEST_CASE("voting after a lost disk violates agreement") {
  SECTION("without the storage id check, one number goes to two tickets") {
    REQUIRE_THROWS_AS(RunLostAcceptance({.votes_after_lost_disk = true}),
                      invariant_violation);
  }
  SECTION("with the storage id check, no invariant is violated") {
    RunLostAcceptance({});
  }
}

TEST_CASE("the first entry needs all bootstrap voters") {
  replica_simulation simulation({.seed = 13});
  simulation.Isolate(2);
  RunFor(&simulation, seconds(5));
  REQUIRE(simulation.Voters().empty());
  REQUIRE(IsUndecided(SubmitAndWait(&simulation, 0, Ticket(1, 10))));

  SECTION("the entry is chosen once the last bootstrap voter is connected") {
    simulation.RestoreLinks();
    RunFor(&simulation, seconds(5));
    REQUIRE(simulation.Voters().size() == 3);
    REQUIRE(IsAccepted(SubmitAndWait(&simulation, 0, Ticket(1, 10))));
    SECTION("a voter that then loses its disk can't choose another entry") {
      simulation.LoseDisk(0);
      simulation.Start(0);
      RunFor(&simulation, seconds(5));
      REQUIRE(simulation.NodeOf(0).agreed_directory().newest() ==
              ticket_number{1});
      REQUIRE(!simulation.NodeOf(0).agreed_log().IsVoting());
    }
  }
  SECTION("a disk lost before it is chosen doesn't block the bootstrap") {
    simulation.LoseDisk(2);
    simulation.RestoreLinks();
    simulation.Start(2);
    RunFor(&simulation, seconds(5));
    REQUIRE(simulation.Voters().size() == 3);
  }
}

TEST_CASE("an instance that lags far behind gets a snapshot") {
  replica_simulation simulation(
      {.seed = 15, .limits = {.kept_entries = 4, .rewrite_bytes = 512}});
  RunFor(&simulation, seconds(3));
  simulation.Freeze(3);
  simulation.PowerFailure(2);
  for (std::uint64_t number = 1; number <= 20; ++number) {
    REQUIRE(IsAccepted(SubmitAndWait(&simulation, 0, Ticket(number, 10))));
  }
  simulation.Unfreeze(3);
  simulation.Start(2);
  RunFor(&simulation, seconds(8));
  REQUIRE(simulation.counts()["snapshot sent"] > 0);
  simulation.CheckConverged();
  SECTION("a restart restores the snapshot") {
    simulation.PowerFailure(2);
    simulation.Start(2);
    REQUIRE(simulation.NodeOf(2).agreed_directory().newest() ==
            ticket_number{20});
  }
}

}  // namespace
}  // namespace lavendertack
