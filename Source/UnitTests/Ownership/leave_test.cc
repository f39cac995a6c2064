#include <catch2/catch.hpp>
#include <memory>

#include "Node/node.h"

namespace lavendertack {
namespace {

// Two nodes of one data centre, joined without loss; "a" is the replica.
class pair_of_nodes {
 public:
  pair_of_nodes() {
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

  void Live(milliseconds time) {
    for (const instant end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [name, n] : nodes_) Event(name, node_tick{});
    }
  }

  void Event(const instance_name& name, const node_event& event) {
    for (const node_effect& effect : nodes_.at(name)->Reduce(now_, event)) {
      const auto* sent = std::get_if<send_peer>(&effect);
      if (sent != nullptr)
        Event(sent->to, peer_message_received{sent->message});
    }
  }

  std::size_t OwnedBy(const std::string& name) const {
    std::size_t owned = 0;
    const node& n = *nodes_.at({name});
    for (const auto& [service, shard] : n.shards()) {
      owned += n.IsActiveOwner(now_, service) ? 1 : 0;
    }
    return owned;
  }
  const node& Get(const std::string& name) const { return *nodes_.at({name}); }

 private:
  static constexpr milliseconds kStep{20};
  std::map<instance_name, std::unique_ptr<node>> nodes_;
  instant now_{seconds(100)};
};

TEST_CASE("an instance that leaves hands its services over first") {
  pair_of_nodes nodes;
  nodes.Live(seconds(1));
  auto ticket = ParseTicket(R"({"number": 1,
      "classes": [{"name": "hold", "price": 9}],
      "services": [
        {"name": "s1", "classes": ["hold"], "flow_idle_s": 60},
        {"name": "s2", "classes": ["hold"], "flow_idle_s": 60},
        {"name": "s3", "classes": ["hold"], "flow_idle_s": 60},
        {"name": "s4", "classes": ["hold"], "flow_idle_s": 60}]})");
  nodes.Event({"a"}, ticket_submitted{{1}, std::get<change_ticket>(ticket)});
  nodes.Live(seconds(4));
  REQUIRE(nodes.OwnedBy("a") + nodes.OwnedBy("b") == 4);
  REQUIRE(nodes.OwnedBy("b") > 0);
  REQUIRE_FALSE(nodes.Get("b").HasLeft());

  SECTION("to the other one, at once and not by a timeout") {
    nodes.Event({"b"}, leave_requested{});
    nodes.Live(seconds(2));
    REQUIRE(nodes.Get("b").HasLeft());
    REQUIRE(nodes.OwnedBy("a") == 4);

    SECTION("and the last one has nobody to hand over to") {
      nodes.Event({"a"}, leave_requested{});
      nodes.Live(milliseconds(100));
      REQUIRE(nodes.Get("a").HasLeft());
    }
  }
}

}  // namespace
}  // namespace lavendertack
