#include <catch2/catch.hpp>

#include "UnitTests/Agreement/replica_world.h"

namespace lavendertack {
namespace {

using testing::broken_rules;
using testing::replica_world;
using testing::violation;

change_ticket Ticket(std::uint64_t number, std::uint32_t price) {
  return {.number = {number},
          .services = {},
          .classes = {{{"hold"}, {price}}},
          .data_centres = {}};
}

void Run(replica_world* world, milliseconds time) {
  world->queue().RunUntil(world->queue().Now() + time);
}

// Submits and runs until there is an answer; nothing after 10 s.
std::optional<ticket_outcome> Ask(replica_world* world, std::size_t i,
                                  const change_ticket& ticket) {
  std::optional<ticket_outcome> outcome;
  world->Submit(i, ticket, [&](const ticket_outcome& o) { outcome = o; });
  for (int step = 0; step < 1000 && !outcome; ++step) {
    Run(world, milliseconds(10));
  }
  return outcome;
}

bool IsAcceptance(const ticket_outcome& outcome) {
  const auto* verdict = std::get_if<ticket_result>(&outcome);
  return verdict != nullptr &&
         std::holds_alternative<ticket_accepted>(*verdict);
}

bool IsAccepted(const std::optional<ticket_outcome>& outcome) {
  return outcome && IsAcceptance(*outcome);
}

bool IsUndecided(const std::optional<ticket_outcome>& outcome) {
  return outcome && std::holds_alternative<ticket_undecided>(*outcome);
}

std::optional<replica_change_outcome> Replace(replica_world* world,
                                              std::size_t i,
                                              std::size_t removed,
                                              std::size_t added) {
  std::optional<replica_change_outcome> outcome;
  world->Replace(i, removed, added,
                 [&](const replica_change_outcome& o) { outcome = o; });
  for (int step = 0; step < 1000 && !outcome; ++step) {
    Run(world, milliseconds(10));
  }
  return outcome;
}

bool IsDone(const std::optional<replica_change_outcome>& outcome) {
  return outcome && std::holds_alternative<replica_change_done>(*outcome);
}

TEST_CASE("three replicas agree on tickets") {
  replica_world world({.seed = 7});
  Run(&world, seconds(3));
  REQUIRE(world.Voters().size() == 3);
  REQUIRE(IsAccepted(Ask(&world, 0, Ticket(1, 10))));

  SECTION("two operators race with one number") {
    std::optional<ticket_outcome> first;
    std::optional<ticket_outcome> second;
    world.Submit(0, Ticket(2, 20), [&](const auto& o) { first = o; });
    world.Submit(1, Ticket(2, 21), [&](const auto& o) { second = o; });
    Run(&world, seconds(3));
    REQUIRE(IsAccepted(first) != IsAccepted(second));
    const auto loser = IsAccepted(first) ? second : first;
    const auto& conflict =
        std::get<ticket_conflict>(std::get<ticket_result>(loser.value()));
    REQUIRE(conflict.number == ticket_number{2});
    const auto& tickets = world.At(2).agreed().accepted();
    REQUIRE(conflict.index == tickets.at({2}).index);
  }
  SECTION("the same ticket at two replicas makes one entry") {
    Run(&world, seconds(10));  // The rosters are entries too.
    const log_index before = world.At(2).agreed().applied();
    int accepted = 0;
    for (const std::size_t i : {0, 1}) {
      world.Submit(i, Ticket(2, 20), [&](const auto& o) {
        if (IsAcceptance(o)) ++accepted;
      });
    }
    Run(&world, seconds(3));
    REQUIRE(accepted == 2);
    REQUIRE(world.At(2).agreed().applied().value == before.value + 1);
  }
  SECTION("a resend makes no second entry") {
    Run(&world, seconds(10));  // The rosters are entries too.
    const log_index before = world.At(2).agreed().applied();
    REQUIRE(IsAccepted(Ask(&world, 1, Ticket(1, 10))));
    Run(&world, seconds(1));
    REQUIRE(world.At(2).agreed().applied() == before);
  }
  SECTION("a ticket for a data centre in which nobody lives is refused") {
    change_ticket ticket = Ticket(2, 20);
    ticket.data_centres = {{{"nowhere"}, true}};
    const auto outcome = Ask(&world, 0, ticket);
    const auto& verdict = std::get<ticket_result>(outcome.value());
    REQUIRE(std::get<ticket_invalid>(verdict).error.reason ==
            "unknown data centre nowhere");
  }
  SECTION("a proposer dies right after its answer, the rest put it in force") {
    bool accepted = false;
    world.Submit(0, Ticket(2, 20), [&](const auto& outcome) {
      accepted = IsAcceptance(outcome);
      world.Isolate(0);
    });
    Run(&world, seconds(1));
    REQUIRE(accepted);
    world.PowerFailure(0);
    Run(&world, seconds(2));
    REQUIRE(world.At(1).agreed().newest() == ticket_number{2});
    REQUIRE(world.At(2).agreed().newest() == ticket_number{2});
  }
  SECTION("a replica that was cut off accepts nothing alone") {
    world.Isolate(0);
    REQUIRE(IsAccepted(Ask(&world, 1, Ticket(2, 20))));
    REQUIRE(IsUndecided(Ask(&world, 0, Ticket(2, 21))));
    world.HealLinks();
    Run(&world, seconds(3));
    REQUIRE(!IsAccepted(Ask(&world, 0, Ticket(2, 21))));
    world.CheckConverged();
  }
  SECTION("a replica that was frozen wakes in the old state, and learns") {
    world.Freeze(0);
    for (std::uint64_t number = 2; number < 6; ++number) {
      REQUIRE(IsAccepted(Ask(&world, 1, Ticket(number, 20))));
    }
    world.Wake(0);
    const auto outcome = Ask(&world, 0, Ticket(3, 99));
    REQUIRE(std::holds_alternative<ticket_conflict>(
        std::get<ticket_result>(outcome.value())));
    Run(&world, seconds(3));
    world.CheckConverged();
  }
  SECTION("a full disk takes away the vote, and no more") {
    world.DiskOf(0).FullAfter(0);
    REQUIRE(IsAccepted(Ask(&world, 1, Ticket(2, 20))));
    Run(&world, seconds(3));
    REQUIRE(world.IsUp(0));
    REQUIRE(!world.At(0).agreed_log().IsVoting());
    REQUIRE(world.At(0).agreed().newest() == ticket_number{2});
  }
}

TEST_CASE("a lost disk") {
  replica_world world({.seed = 9});
  Run(&world, seconds(3));
  REQUIRE(IsAccepted(Ask(&world, 0, Ticket(1, 10))));
  world.LoseDisk(2);
  world.Start(2);
  Run(&world, seconds(3));

  SECTION("leaves a replica that only learns") {
    REQUIRE(world.At(2).agreed().newest() == ticket_number{1});
    REQUIRE(!world.At(2).agreed_log().IsVoting());
    world.Isolate(0);
    REQUIRE(IsUndecided(Ask(&world, 1, Ticket(2, 20))));
  }
  SECTION("is replaced by the same instance") {
    REQUIRE(IsDone(Replace(&world, 0, 2, 2)));
    REQUIRE(world.At(2).agreed_log().IsVoting());
    SECTION("and the next loss right after that is survived") {
      world.LoseDisk(0);
      REQUIRE(IsAccepted(Ask(&world, 1, Ticket(2, 20))));
      world.Start(0);
      Run(&world, seconds(3));
      REQUIRE(IsDone(Replace(&world, 1, 0, 0)));
      world.CheckConverged();
    }
    SECTION("and a resend of the command is done at once") {
      const log_index before = world.At(0).agreed().applied();
      REQUIRE(IsDone(Replace(&world, 1, 2, 2)));
      REQUIRE(world.At(0).agreed().applied() == before);
    }
  }
  SECTION("is replaced by a spare") {
    REQUIRE(IsDone(Replace(&world, 0, 2, 3)));
    REQUIRE(world.At(3).agreed_log().IsVoting());
    world.LoseDisk(0);
    REQUIRE(IsAccepted(Ask(&world, 1, Ticket(2, 20))));
  }
  SECTION("isn't replaced by an instance that is behind") {
    world.Freeze(3);
    REQUIRE(IsAccepted(Ask(&world, 0, Ticket(2, 20))));
    const auto outcome = Replace(&world, 0, 2, 3);
    REQUIRE(std::get<replica_change_refused>(outcome.value()).reason ==
            "n3 hasn't got every entry yet");
  }
}

TEST_CASE("a replica change is done when a majority of the new voters has it") {
  constexpr microseconds kDelay(4000);
  replica_world world({.seed = 17, .min_delay = kDelay, .max_delay = kDelay});
  Run(&world, seconds(10));
  world.LoseDisk(2);
  world.Start(2);
  Run(&world, seconds(5));
  bool done = false;
  world.Replace(0, 2, 2, [&](const replica_change_outcome& outcome) {
    done = std::holds_alternative<replica_change_done>(outcome);
  });
  // n1 has been asked to accept it; nobody hears from n0 that it is chosen.
  world.queue().RunUntil(world.queue().Now() + 5 * kDelay / 2);
  for (const std::size_t other : {1, 2, 3, 4}) world.Cut(0, other);
  Run(&world, seconds(3));
  REQUIRE(world.At(0).agreed_log().chosen_index() >
          world.At(1).agreed_log().chosen_index());
  REQUIRE(!done);
  world.HealLinks();
  Run(&world, seconds(3));
  REQUIRE(done);
}

// A ticket is accepted by n0 and n2, n2 loses its disk, and n1 proposes another
// ticket with its number while n0 is away.
void LoseTheSecondVote(broken_rules broken) {
  replica_world world({.seed = 11, .broken = broken});
  Run(&world, seconds(3));
  world.Isolate(1);
  REQUIRE(IsAccepted(Ask(&world, 0, Ticket(1, 10))));
  world.Freeze(0);
  world.LoseDisk(2);
  world.HealLinks();
  // Learners know the ticket; here there is none to tell.
  world.Freeze(3);
  world.Freeze(4);
  world.Start(2);
  Run(&world, seconds(3));
  Ask(&world, 1, Ticket(1, 11));
}

TEST_CASE("a replica that votes after it lost its disk is caught") {
  SECTION("it would give one number to two tickets") {
    REQUIRE_THROWS_AS(LoseTheSecondVote({.votes_after_lost_disk = true}),
                      violation);
  }
  SECTION("and with the disk's identity it can't") { LoseTheSecondVote({}); }
}

TEST_CASE("the first entry takes all founders") {
  replica_world world({.seed = 13});
  world.Isolate(2);
  Run(&world, seconds(5));
  REQUIRE(world.Voters().empty());
  REQUIRE(IsUndecided(Ask(&world, 0, Ticket(1, 10))));

  SECTION("and is made when the last one comes") {
    world.HealLinks();
    Run(&world, seconds(5));
    REQUIRE(world.Voters().size() == 3);
    REQUIRE(IsAccepted(Ask(&world, 0, Ticket(1, 10))));
    SECTION("and a founder without its disk can't make another one") {
      world.LoseDisk(0);
      world.Start(0);
      Run(&world, seconds(5));
      REQUIRE(world.At(0).agreed().newest() == ticket_number{1});
      REQUIRE(!world.At(0).agreed_log().IsVoting());
    }
  }
  SECTION("and a disk that is lost before it leaves all free to start anew") {
    world.LoseDisk(2);
    world.HealLinks();
    world.Start(2);
    Run(&world, seconds(5));
    REQUIRE(world.Voters().size() == 3);
  }
}

TEST_CASE("an instance far behind gets the state, not the entries") {
  replica_world world(
      {.seed = 15, .limits = {.kept_entries = 4, .rewrite_bytes = 512}});
  Run(&world, seconds(3));
  world.Freeze(3);
  world.PowerFailure(2);
  for (std::uint64_t number = 1; number <= 20; ++number) {
    REQUIRE(IsAccepted(Ask(&world, 0, Ticket(number, 10))));
  }
  world.Wake(3);
  world.Start(2);
  Run(&world, seconds(8));
  REQUIRE(world.counts()["snapshot sent"] > 0);
  world.CheckConverged();
  SECTION("and starts from it again") {
    world.PowerFailure(2);
    world.Start(2);
    REQUIRE(world.At(2).agreed().newest() == ticket_number{20});
  }
}

}  // namespace
}  // namespace lavendertack
