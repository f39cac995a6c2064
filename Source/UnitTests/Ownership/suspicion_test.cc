#include <catch2/catch.hpp>
#include <memory>

#include "Node/node.h"

namespace lavendertack {
namespace {

// Returns a node that has restored an accepted ticket from its storage.
std::unique_ptr<node> MakeNode(const std::string& name) {
  node_settings settings{.self = {name},
                         .data_centre = {"north"},
                         .deployment = "test",
                         .replica = true,
                         .members = {},
                         .incarnation = 1,
                         .seed = 1};
  for (const char* other : {"a", "b"}) {
    settings.members.push_back(
        {.name = {other}, .data_centre = {"north"}, .replica = true});
  }
  auto restored = std::make_unique<node>(settings);
  auto ticket = ParseTicket(R"({"number": 1,
      "classes": [{"name": "hold", "price": 9}],
      "services": [{"name": "catalogue", "classes": ["hold"],
                    "flow_idle_s": 60}]})");
  wire::stored_record record;
  record.mutable_chosen()->set_first(1);
  record.mutable_chosen()->add_values(
      EncodeTicket(std::get<change_ticket>(ticket)));
  restored->Restore(record);
  return restored;
}

// Neither instance can reach a majority of the two control replicas.
TEST_CASE("two isolated instances don't both become owner of a service") {
  int owners = 0;
  for (const char* name : {"a", "b"}) {
    const auto isolated = MakeNode(name);
    for (int ms = 0; ms <= 5000; ms += 100) {
      const instant now(seconds(100) + milliseconds(ms));
      isolated->Reduce(now, node_tick{});
      isolated->Reduce(
          now, target_announcement_received{{"connection"},
                                            {.target = {"host"},
                                             .service = {"catalogue"},
                                             .boot = {1},
                                             .state = target_state::kReady,
                                             .slots = 2,
                                             .connections = 10}});
    }
    owners += static_cast<int>(isolated->shards().size());
  }
  REQUIRE(owners < 2);
}

}  // namespace
}  // namespace lavendertack
