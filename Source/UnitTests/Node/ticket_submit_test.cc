#include <catch2/catch.hpp>

#include "Node/node.h"

namespace lavendertack {
namespace {

// A single replica, whose own vote is a majority.
class single_replica {
 public:
  single_replica()
      : node_({.self = {"one"},
               .data_centre = {"east"},
               .deployment = "test",
               .replica = true,
               .members = {{.name = {"one"},
                            .data_centre = {"east"},
                            .replica = true,
                            .last_heartbeat_at = std::nullopt,
                            .last_heartbeat = {}}},
               .incarnation = 1,
               .seed = 1}) {
    // The first log entry, with the voters, is chosen before the first ticket.
    for (int i = 0; i < 100; ++i) {
      now_ += milliseconds(10);
      node_.Reduce(now_, node_tick{});
    }
  }

  // Submits a ticket and returns its result, which must arrive within a second.
  ticket_result Submit(const std::string& json) {
    std::optional<ticket_result> result;
    const auto run = [&](const node_event& event) {
      for (const node_effect& effect : node_.Reduce(now_, event)) {
        if (const auto* answer = std::get_if<answer_ticket>(&effect)) {
          result = std::get<ticket_result>(answer->outcome);
        }
      }
    };
    run(ticket_submitted{{1}, std::get<change_ticket>(ParseTicket(json))});
    for (int i = 0; i < 100 && !result; ++i) {
      now_ += milliseconds(10);
      run(node_tick{});
    }
    REQUIRE(result);
    return *result;
  }
  log_index applied() const { return node_.agreed_directory().applied(); }

 private:
  instant now_{seconds(10)};
  node node_;
};

TEST_CASE("a ticket with a known result is answered without another entry") {
  single_replica replica;
  const std::string first =
      R"({"number": 4, "classes": [{"name": "hold", "price": 1}]})";
  const auto index = std::get<ticket_accepted>(replica.Submit(first)).index;
  const log_index applied = replica.applied();

  SECTION("a resend gets the same answer") {
    CHECK(std::get<ticket_accepted>(replica.Submit(first)).index == index);
  }
  SECTION("another ticket with its number conflicts") {
    const auto result = replica.Submit(
        R"({"number": 4, "classes": [{"name": "hold", "price": 2}]})");
    CHECK(std::get<ticket_conflict>(result).index == index);
  }
  SECTION("a lower number is outdated") {
    const auto result = replica.Submit(
        R"({"number": 3, "classes": [{"name": "hold", "price": 2}]})");
    CHECK(std::get<ticket_outdated>(result).newest == ticket_number{4});
  }
  CHECK(replica.applied() == applied);
}

}  // namespace
}  // namespace lavendertack
