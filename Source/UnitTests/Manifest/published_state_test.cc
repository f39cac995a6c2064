#include "Manifest/published_state.h"

#include <catch2/catch.hpp>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

// Decodes a manifest of the form "VERSION LETTERS" with one route for each
// letter. The port of the route is the lower-case letter, the service is the
// letter itself, so a capital letter changes the service of the same route.
std::optional<manifest> Decode(const std::string& text) {
  manifest decoded;
  const std::size_t blank = text.find(' ');
  decoded.version = {std::stoull(text.substr(0, blank))};
  for (const char letter : text.substr(blank + 1)) {
    const auto port = static_cast<std::uint16_t>(std::tolower(letter));
    decoded.routes[{{1}, {port}}] = {.shares = {{{std::string(1, letter)}, 1}},
                                     .priority = 0};
  }
  return decoded;
}

std::string Publish(std::uint64_t version, const std::string& letters) {
  return EncodeOrder(
      version,
      publish_manifest{{version}, std::to_string(version) + " " + letters});
}

TEST_CASE("published state applies the orders of operators") {
  published_state state(Decode);
  state.Apply(
      {1}, published_state::EncodeBootstrapEntry({{{"a"}, {1}}, {{"b"}, {2}}}));
  REQUIRE(state.voters().size() == 2);
  state.Apply({2}, Publish(4, "xy"));
  REQUIRE(state.published().version.value == 4);

  SECTION("a higher version replaces the manifest and keeps its text as sent") {
    state.Apply({3}, Publish(9, "z"));
    REQUIRE(state.text() == "9 z");
    REQUIRE(state.published().routes.size() == 1);
  }
  SECTION("an older version is ignored") {
    REQUIRE_FALSE(state.CanApply(Publish(3, "z")));
    state.Apply({3}, Publish(3, "z"));
    REQUIRE(state.text() == "4 xy");
    REQUIRE(state.last_changed_index() == log_index{2});
  }
  SECTION("other content with the same version is ignored") {
    REQUIRE_FALSE(state.CanApply(Publish(4, "z")));
    state.Apply({3}, Publish(4, "z"));
    REQUIRE(state.text() == "4 xy");
  }
  SECTION("a data centre is closed and opened again") {
    const auto close = EncodeOrder(1, set_evacuation{{"east"}, true});
    const auto reopen = EncodeOrder(2, set_evacuation{{"east"}, false});
    state.Apply({3}, close);
    REQUIRE(state.closed().contains({"east"}));
    REQUIRE(state.last_changed_index() == log_index{3});
    state.Apply({4}, reopen);
    REQUIRE(state.closed().empty());
    REQUIRE(state.last_changed_index() == log_index{4});
  }
  SECTION("an order that changes nothing is entered without an effect") {
    const auto close = EncodeOrder(1, set_evacuation{{"east"}, true});
    const auto reopen = EncodeOrder(2, set_evacuation{{"east"}, false});
    REQUIRE(state.CanApply(reopen));
    state.Apply({3}, reopen);
    REQUIRE(state.closed().empty());
    REQUIRE(state.last_changed_index() == log_index{2});
    state.Apply({4}, close);
    REQUIRE(state.CanApply(close));
    state.Apply({5}, close);
    REQUIRE(state.closed().size() == 1);
    REQUIRE(state.last_changed_index() == log_index{4});
  }
  SECTION("a read changes nothing") {
    REQUIRE_FALSE(state.CanApply(EncodeOrder(1, read_published{})));
  }
  SECTION("a voter is removed only under its current storage id") {
    const replica_change wrong_storage{{"b"}, {7}, {"c"}, {3}};
    REQUIRE_FALSE(state.CanApply(EncodeOrder(1, wrong_storage)));
    const replica_change current_storage{{"b"}, {2}, {"c"}, {3}};
    state.Apply({3}, EncodeOrder(1, current_storage));
    REQUIRE(state.voters() == replica_set{{{"a"}, {1}}, {{"c"}, {3}}});
    REQUIRE_FALSE(state.CanApply(EncodeOrder(2, current_storage)));
  }
  SECTION("a snapshot restores the complete state") {
    state.Apply({3}, EncodeOrder(1, set_evacuation{{"east"}, true}));
    published_state loaded(Decode);
    loaded.Load({3}, state.Save());
    REQUIRE(loaded.text() == state.text());
    REQUIRE(loaded.published().routes == state.published().routes);
    REQUIRE(loaded.closed() == state.closed());
    REQUIRE(loaded.voters() == state.voters());
    REQUIRE_FALSE(loaded.CanApply(Publish(4, "q")));
  }
  SECTION("replaying the log restores the same manifest") {
    published_state restored(Decode);
    restored.BeginRestore();
    restored.Apply({1}, published_state::EncodeBootstrapEntry({{{"a"}, {1}}}));
    restored.Apply({2}, Publish(2, "pq"));
    restored.Apply({3}, Publish(4, "xy"));
    restored.EndRestore({3});
    REQUIRE(restored.published().routes == state.published().routes);
    REQUIRE(restored.published().version == state.published().version);
    REQUIRE_FALSE(restored.RoutesSince({2}));
  }
}

// Copies the routes after a random number of entries: the changes since the
// last copy, or all routes if the history doesn't reach back to it. The copied
// routes must equal the published ones.
TEST_CASE("route changes lead to the same routes as the complete state") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    published_state state(Decode);
    std::map<ipv4_endpoint, route> copied_routes;
    log_index copied_index;
    std::uint64_t version = 0;
    for (std::uint64_t index = 1; index < 300; ++index) {
      std::string letters;
      for (char letter = 'a'; letter <= 'z'; ++letter) {
        if (random() % 3 == 0) continue;
        letters += random() % 4 == 0 ? static_cast<char>(std::toupper(letter))
                                     : letter;
      }
      version += random() % 3;
      state.Apply({index}, Publish(version, letters));
      if (random() % 3 != 0) continue;
      const auto changes = state.RoutesSince(copied_index);
      if (!changes) {
        copied_routes = state.published().routes;
      } else {
        for (const route_change& change : *changes) {
          if (change.new_route == nullptr) {
            copied_routes.erase(change.address);
          } else {
            copied_routes[change.address] = *change.new_route;
          }
        }
      }
      copied_index = state.last_changed_index();
      INFO("seed " << seed << " entry " << index);
      REQUIRE(copied_routes == state.published().routes);
    }
  });
}

}  // namespace
}  // namespace lavendertack
