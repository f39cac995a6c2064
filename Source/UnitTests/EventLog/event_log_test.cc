#include "EventLog/event_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace lavendertack {
namespace {

using nlohmann::json;

// Output that accepts `capacity` bytes in total, without limit by default.
struct limited_output {
  std::string text;
  std::size_t capacity = std::string::npos;

  event_log::write_hook Hook() {
    return [this](std::string_view bytes) {
      const std::size_t accepted = std::min(capacity, bytes.size());
      text += bytes.substr(0, accepted);
      if (capacity != std::string::npos) capacity -= accepted;
      return accepted;
    };
  }
  std::vector<json> Lines() const {
    std::vector<json> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(json::parse(line));
    }
    return lines;
  }
};

TEST_CASE("each line of the log is one JSON object") {
  limited_output out;
  event_log log(
      {.instance = "entry-1", .flow_lines_per_s = 3, .buffer_bytes = 4096},
      out.Hook(), [] { return std::int64_t{1234}; });
  instant now{seconds(10)};

  SECTION("it has the time, the instance and the fields") {
    log.Write("started", {{"role", "entry"}, {"seeds", 3}, {"ready", false}});
    log.Tick(now);
    const json line = out.Lines().at(0);
    REQUIRE(line["time_ms"] == 1234);
    REQUIRE(line["instance"] == "entry-1");
    REQUIRE(line["event"] == "started");
    REQUIRE(line["seeds"] == 3);
    REQUIRE(line["ready"] == false);
  }
  SECTION("control characters are escaped and invalid UTF-8 is replaced") {
    log.Write("odd", {{"name", "a\n\"\xff"}});
    log.Tick(now);
    REQUIRE(out.Lines().size() == 1);
  }
  SECTION("lines about flows are rate-limited and the excess is counted") {
    log.Tick(now);
    for (int i = 0; i < 10; ++i) {
      if (log.AllowFlowLine(now)) log.Write("flow", {{"n", i}});
    }
    log.Write("target_changed", {});
    log.Tick(now + seconds(1));
    const auto lines = out.Lines();
    REQUIRE(lines.size() == 5);
    REQUIRE(lines[3]["event"] == "target_changed");
    REQUIRE(lines[4]["event"] == "lines_left_out");
    REQUIRE(lines[4]["count"] == 7);
    REQUIRE(log.AllowFlowLine(now + seconds(1)));
    log.Write("flow", {});
    log.Tick(now + seconds(1));
    REQUIRE(out.Lines().size() == 6);
  }
  SECTION("a blocked output doesn't block the log") {
    out.capacity = 100;
    for (int i = 0; i < 1000; ++i) log.Write("much", {{"n", i}});
    log.Tick(now);
    REQUIRE(out.text.size() == 100);
    REQUIRE(log.left_out() > 800);

    SECTION(
        "the buffered lines are written when the output accepts bytes again") {
      out.capacity = std::string::npos;
      log.Tick(now);
      REQUIRE(out.Lines().size() == log.written());
    }
  }
}

}  // namespace
}  // namespace lavendertack
