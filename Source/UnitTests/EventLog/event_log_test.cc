#include "EventLog/event_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace lavendertack {
namespace {

using nlohmann::json;

// A reader that takes only so many bytes at a time.
struct reader {
  std::string text;
  std::size_t room = std::string::npos;

  event_log::write_hook Hook() {
    return [this](std::string_view bytes) {
      const std::size_t taken = std::min(room, bytes.size());
      text += bytes.substr(0, taken);
      if (room != std::string::npos) room -= taken;
      return taken;
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
  reader out;
  event_log log(
      {.instance = "entry-1", .flow_lines_per_s = 3, .buffer_bytes = 4096},
      out.Hook(), [] { return std::int64_t{1234}; });
  instant now{seconds(10)};

  SECTION("with its time, its instance and its fields") {
    log.Write("started", {{"role", "entry"}, {"seeds", 3}, {"ready", false}});
    log.Tick(now);
    const json line = out.Lines().at(0);
    REQUIRE(line["time_ms"] == 1234);
    REQUIRE(line["instance"] == "entry-1");
    REQUIRE(line["event"] == "started");
    REQUIRE(line["seeds"] == 3);
    REQUIRE(line["ready"] == false);
  }
  SECTION("whatever bytes a name holds") {
    log.Write("odd", {{"name", "a\n\"\xff"}});
    log.Tick(now);
    REQUIRE(out.Lines().size() == 1);
  }
  SECTION("lines about flows have a budget, and the rest is counted") {
    log.Tick(now);
    for (int i = 0; i < 10; ++i) {
      if (log.TakeFlowLine(now)) log.Write("flow", {{"n", i}});
    }
    log.Write("target_changed", {});
    log.Tick(now + seconds(1));
    const auto lines = out.Lines();
    REQUIRE(lines.size() == 5);
    REQUIRE(lines[3]["event"] == "target_changed");
    REQUIRE(lines[4]["event"] == "lines_left_out");
    REQUIRE(lines[4]["count"] == 7);
    REQUIRE(log.TakeFlowLine(now + seconds(1)));
    log.Write("flow", {});
    log.Tick(now + seconds(1));
    REQUIRE(out.Lines().size() == 6);
  }
  SECTION("a reader that doesn't read stops nothing") {
    out.room = 100;
    for (int i = 0; i < 1000; ++i) log.Write("much", {{"n", i}});
    log.Tick(now);
    REQUIRE(out.text.size() == 100);
    REQUIRE(log.left_out() > 800);

    SECTION("and gets what was kept when it reads again") {
      out.room = std::string::npos;
      log.Tick(now);
      REQUIRE(out.Lines().size() == log.written());
    }
  }
}

}  // namespace
}  // namespace lavendertack
