#include "Node/ticket_relay.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

TEST_CASE("a ticket is relayed to replicas until one returns a result") {
  ticket_relay relay(100);
  const std::vector<instance_name> replicas{{"one"}, {"two"}};
  const instant start;
  const change_ticket ticket{.number = {1}};
  const auto first = relay.Submit(start, {7}, ticket, replicas);
  const auto& first_try = std::get<relay_ticket>(first.at(0));
  CHECK(first_try.to == instance_name{"one"});

  SECTION("its result is sent to the operator once") {
    const auto reply = EncodeOutcome(first_try.message.id(),
                                     ticket_result{ticket_accepted{{3}}});
    const auto effects = relay.Receive(start, reply, replicas);
    const auto& answer = std::get<answer_ticket>(effects.at(0));
    CHECK(answer.request == admin_request_id{7});
    const auto& result = std::get<ticket_result>(answer.outcome);
    CHECK(std::get<ticket_accepted>(result).index == log_index{3});
    CHECK(relay.Receive(start, reply, replicas).empty());
  }
  SECTION("after a replica's timeout the next one gets the same bytes") {
    CHECK(relay.Tick(start + kRelayAttemptTimeout - milliseconds(1), replicas)
              .empty());
    const auto next = relay.Tick(start + kRelayAttemptTimeout, replicas);
    const auto& second_try = std::get<relay_ticket>(next.at(0));
    CHECK(second_try.to == instance_name{"two"});
    CHECK(second_try.message.entry() == first_try.message.entry());
  }
  SECTION("after an undecided replica the next one is tried") {
    const auto next = relay.Receive(
        start, EncodeOutcome(first_try.message.id(), ticket_undecided{}),
        replicas);
    CHECK(std::get<relay_ticket>(next.at(0)).to == instance_name{"two"});
  }
  SECTION("without any result the outcome is undecided") {
    const auto effects = relay.Tick(start + kRelayTimeout, replicas);
    const auto& answer = std::get<answer_ticket>(effects.at(0));
    CHECK(std::holds_alternative<ticket_undecided>(answer.outcome));
    CHECK(relay.Tick(start + kRelayTimeout * 2, replicas).empty());
  }
  SECTION("replies to an earlier process are dropped") {
    CHECK(relay.Receive(start, EncodeOutcome(1, ticket_undecided{}), replicas)
              .empty());
  }
}

TEST_CASE("every result is encoded and decoded unchanged") {
  const ticket_invalid invalid{{"services.x", "is unknown"}};
  const auto decoded = DecodeOutcome(EncodeOutcome(1, ticket_result{invalid}));
  const auto& decoded_invalid =
      std::get<ticket_invalid>(std::get<ticket_result>(decoded));
  CHECK(decoded_invalid.error.field == "services.x");
  const auto conflict =
      DecodeOutcome(EncodeOutcome(1, ticket_result{ticket_conflict{{4}, {2}}}));
  CHECK(std::get<ticket_conflict>(std::get<ticket_result>(conflict)).number ==
        ticket_number{4});
  const auto outdated =
      DecodeOutcome(EncodeOutcome(1, ticket_result{ticket_outdated{{9}}}));
  CHECK(std::get<ticket_outdated>(std::get<ticket_result>(outdated)).newest ==
        ticket_number{9});
}

}  // namespace
}  // namespace lavendertack
