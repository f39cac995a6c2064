#include "Runtime/decision_log.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

TEST_CASE("the decision log is rate-limited") {
  std::vector<std::string> lines;
  decision_log log(2,
                   [&lines](const std::string& part, const std::string& text) {
                     lines.push_back(part);
                     lines.back().append(": ").append(text);
                   });
  const instant start(seconds(100));
  for (std::uint64_t i = 1; i <= 5; ++i) {
    log.Add(start,
            {"entry", "decision " + std::to_string(i), {i % 2 + 1}, {i}});
  }
  REQUIRE(lines ==
          std::vector<std::string>{"entry: decision 1", "entry: decision 2"});

  SECTION("the number of lines left out is logged after the second") {
    log.Tick(start + milliseconds(999));
    CHECK(lines.size() == 2);
    log.Tick(start + seconds(1));
    CHECK(lines.back() == "log: 3 decisions left out");
    CHECK(log.left_out() == 3);
    log.Add(start + seconds(1), {"entry", "later", {9}, {}});
    CHECK(lines.back() == "entry: later");
  }
  SECTION("lines that aren't about a single flow have no limit") {
    log.Add(start, {"ticket", "in force", {}, {}});
    CHECK(lines.back() == "ticket: in force");
  }
  SECTION("decisions left out of the log can still be found") {
    CHECK(log.Find({2}, std::nullopt).size() == 3);
    const auto found = log.Find({2}, request_number{5});
    REQUIRE(found.size() == 1);
    CHECK(found[0]->line.text == "decision 5");
  }
  SECTION("the oldest decisions are discarded first") {
    for (std::size_t i = 0; i < kMaxKeptDecisions - 1; ++i) {
      log.Add(start, {"entry", "other", {7}, {}});
    }
    CHECK(log.Find({7}, std::nullopt).size() == kMaxKeptDecisions - 1);
    CHECK(log.Find({1}, std::nullopt).empty());
    CHECK(log.Find({2}, std::nullopt).size() == 1);
  }
}

}  // namespace
}  // namespace lavendertack
