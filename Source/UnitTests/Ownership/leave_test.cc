#include <catch2/catch.hpp>
#include <memory>

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
}

}  // namespace
}  // namespace lavendertack
