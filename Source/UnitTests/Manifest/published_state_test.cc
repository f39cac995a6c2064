#include "Manifest/published_state.h"

#include <catch2/catch.hpp>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

// "version letters": one route for each letter, to the service of that name;
// a capital letter is the same route with another service.
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

TEST_CASE("operators publish manifests by number") {
  published_state state(Decode);
  state.Apply(
      {1}, published_state::EncodeBootstrapEntry({{{"a"}, {1}}, {{"b"}, {2}}}));
  REQUIRE(state.voters().size() == 2);
  state.Apply({2}, Publish(4, "xy"));
  REQUIRE(state.published().version.value == 4);

  SECTION("the highest one takes effect, with its text as it was sent") {
    state.Apply({3}, Publish(9, "z"));
    REQUIRE(state.text() == "9 z");
    REQUIRE(state.published().routes.size() == 1);
  }
  SECTION("an older one changes nothing") {
    REQUIRE_FALSE(state.CanApply(Publish(3, "z")));
    state.Apply({3}, Publish(3, "z"));
    REQUIRE(state.text() == "4 xy");
    REQUIRE(state.last_changed_index() == log_index{2});
  }
  SECTION("neither does other content under the same number") {
    REQUIRE_FALSE(state.CanApply(Publish(4, "z")));
    state.Apply({3}, Publish(4, "z"));
    REQUIRE(state.text() == "4 xy");
  }
  SECTION("a data centre is taken out and back") {
    const auto out = EncodeOrder(1, set_evacuation{{"east"}, true});
    const auto back = EncodeOrder(2, set_evacuation{{"east"}, false});
    REQUIRE_FALSE(state.CanApply(back));
    state.Apply({3}, out);
    REQUIRE(state.closed().contains({"east"}));
    REQUIRE_FALSE(state.CanApply(out));
    state.Apply({4}, back);
    REQUIRE(state.closed().empty());
  }
  SECTION("a read is never an entry of its own") {
    REQUIRE_FALSE(state.CanApply(EncodeOrder(1, read_published{})));
  }
  SECTION("a voter leaves only with the disk that it votes with") {
    const replica_change other{{"b"}, {7}, {"c"}, {3}};
    REQUIRE_FALSE(state.CanApply(EncodeOrder(1, other)));
    const replica_change own{{"b"}, {2}, {"c"}, {3}};
    state.Apply({3}, EncodeOrder(1, own));
    REQUIRE(state.voters() == replica_set{{{"a"}, {1}}, {{"c"}, {3}}});
    REQUIRE_FALSE(state.CanApply(EncodeOrder(2, own)));
  }
  SECTION("all of it is saved and loaded") {
    state.Apply({3}, EncodeOrder(1, set_evacuation{{"east"}, true}));
    published_state other(Decode);
    other.Load({3}, state.Save());
    REQUIRE(other.text() == state.text());
    REQUIRE(other.published().routes == state.published().routes);
    REQUIRE(other.closed() == state.closed());
    REQUIRE(other.voters() == state.voters());
    REQUIRE_FALSE(other.CanApply(Publish(4, "q")));
  }
  SECTION("a log that is read back leaves the same") {
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

// A follower that takes differences, some of them late or not at all.
TEST_CASE("differences lead to the same routes as the whole state") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    published_state state(Decode);
    std::map<ipv4_endpoint, route> followed;
    log_index holds;
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
      const auto changes = state.RoutesSince(holds);
      if (!changes) {
        followed = state.published().routes;
      } else {
        for (const route_change& change : *changes) {
          if (change.now == nullptr) {
            followed.erase(change.at);
          } else {
            followed[change.at] = *change.now;
          }
        }
      }
      holds = state.last_changed_index();
      INFO("seed " << seed << " entry " << index);
      REQUIRE(followed == state.published().routes);
    }
  });
}

}  // namespace
}  // namespace lavendertack
