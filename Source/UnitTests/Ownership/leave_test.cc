#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "Node/node.h"

namespace lavendertack {
namespace {

// Two nodes of one data centre with lossless, immediate delivery. "a" is the
// only control replica.
class two_node_cluster {
 public:
  two_node_cluster() {
    for (const char* name : {"a", "b"}) {
      node_settings settings{.self = {name},
                             .data_centre = {"north"},
                             .deployment = "test",
                             .replica = name == std::string("a"),
                             .members = {},
                             .incarnation = 1,
                             .seed = 1};
      for (const char* other : {"a", "b"}) {
        settings.members.push_back({.name = {other},
                                    .data_centre = {"north"},
                                    .replica = other == std::string("a")});
      }
      nodes_[{name}] = std::make_unique<node>(settings);
    }
  }

  void RunFor(milliseconds time) {
    for (const instant end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [name, n] : nodes_) HandleEvent(name, node_tick{});
    }
  }

  // Passes an event to a node and delivers the messages that it sends.
  void HandleEvent(const instance_name& name, const node_event& event) {
    for (const node_effect& effect : nodes_.at(name)->Reduce(now_, event)) {
      if (const auto* answer = std::get_if<send_answer>(&effect)) {
        answers.push_back(answer->answer);
      }
      const auto* sent = std::get_if<send_peer_message>(&effect);
      if (sent != nullptr) {
        HandleEvent(sent->to, peer_message_received{sent->message});
      }
    }
  }

  // Number of services that the instance is the active owner of.
  std::size_t CountOwnedBy(const std::string& name) const {
    std::size_t owned = 0;
    const node& n = *nodes_.at({name});
    for (const auto& [service, shard] : n.shards()) {
      owned += n.IsActiveOwner(now_, service) ? 1 : 0;
    }
    return owned;
  }
  const node& GetNode(const std::string& name) const {
    return *nodes_.at({name});
  }

  std::vector<caller_answer> answers;

 private:
  static constexpr milliseconds kStep{20};
  std::map<instance_name, std::unique_ptr<node>> nodes_;
  instant now_{seconds(100)};
};

TEST_CASE("a leaving instance hands over its services before it stops") {
  two_node_cluster cluster;
  cluster.RunFor(seconds(1));
  auto ticket = ParseTicket(R"({"number": 1,
      "classes": [{"name": "hold", "price": 9}],
      "services": [
        {"name": "s1", "classes": ["hold"], "flow_idle_s": 60},
        {"name": "s2", "classes": ["hold"], "flow_idle_s": 60},
        {"name": "s3", "classes": ["hold"], "flow_idle_s": 60},
        {"name": "s4", "classes": ["hold"], "flow_idle_s": 60}]})");
  cluster.HandleEvent({"a"},
                      ticket_submitted{{1}, std::get<change_ticket>(ticket)});
  cluster.RunFor(seconds(4));
  REQUIRE(cluster.CountOwnedBy("a") + cluster.CountOwnedBy("b") == 4);
  REQUIRE(cluster.CountOwnedBy("b") > 0);
  REQUIRE_FALSE(cluster.GetNode("b").CanExit());

  SECTION("the other instance takes over before any timeout") {
    cluster.HandleEvent({"b"}, leave_requested{});
    cluster.RunFor(seconds(2));
    REQUIRE(cluster.GetNode("b").CanExit());
    REQUIRE(cluster.CountOwnedBy("a") == 4);

    SECTION("the last instance leaves without a hand-over") {
      cluster.HandleEvent({"a"}, leave_requested{});
      cluster.RunFor(milliseconds(100));
      REQUIRE(cluster.GetNode("a").CanExit());
    }
  }

  // The instance used to discard such a request without an answer.
  SECTION("a request that outlasts the hand-over gets an answer") {
    const service_name service = cluster.GetNode("b").shards().begin()->first;
    const auto announce = [&] {
      cluster.HandleEvent(
          {"b"}, target_announcement_received{{"target"},
                                              {.target = {"t"},
                                               .service = service,
                                               .boot = {1},
                                               .state = target_state::kReady,
                                               .slots = 2,
                                               .connections = 10}});
    };
    announce();
    cluster.RunFor(seconds(1));
    caller_packet packet{.flow = {1},
                         .service = service,
                         .token = std::nullopt,
                         .body = open_flow{}};
    cluster.HandleEvent({"b"}, caller_packet_received{{"10.0.0.9:9"}, packet});
    REQUIRE(cluster.answers.size() == 1);
    REQUIRE(cluster.answers.front().kind == answer_kind::kOpened);
    packet.token = cluster.answers.front().token;
    packet.body = run_request{{1}, {"hold"}, false, seconds(20), "x"};
    cluster.HandleEvent({"b"}, caller_packet_received{{"10.0.0.9:9"}, packet});
    cluster.answers.clear();
    cluster.HandleEvent({"b"}, leave_requested{});
    for (int i = 0; i < 25; ++i) {
      cluster.RunFor(milliseconds(200));
      announce();
    }
    REQUIRE(cluster.GetNode("b").CanExit());
    REQUIRE(cluster.answers.size() == 1);
    REQUIRE(cluster.answers.front().kind == answer_kind::kOutcomeUnknown);
    REQUIRE(cluster.answers.front().reason == refusal_reason::kOwnerChanged);
  }
}

}  // namespace
}  // namespace lavendertack
