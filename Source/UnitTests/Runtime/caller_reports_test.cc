#include "Runtime/caller_reports.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

TEST_CASE("operators see which callers are refused") {
  std::string lines;
  event_log log(
      {.instance = "e1", .buffer_bytes = 65'536},
      [&lines](std::string_view bytes) {
        lines += bytes;
        return bytes.size();
      },
      [] { return std::int64_t{1000}; });
  caller_shares_by_class callers;
  callers.try_emplace({{"catalogue"}, 2},
                      [](instant, ipv4_address) { return 0.0; });
  refused_callers_log reports;
  instant now{seconds(100)};
  const auto open = [&](std::uint32_t caller, int count, double share) {
    const flow_packet packet{
        .flow = {{{caller}, {1025}}, {{0xc6120001}, {443}}}, .opens = true};
    for (int i = 0; i < count; ++i) {
      callers.begin()->second.Refuses(now, packet, share);
    }
  };
  const auto written = [&] {
    lines.clear();
    reports.Tick(now, &callers, &log);
    log.Tick(now);
    return lines;
  };

  SECTION("no line while nothing is refused") {
    open(0x64400001, 10, 0);
    REQUIRE(written().empty());
  }
  SECTION("one line with the most refused callers first") {
    open(0x64400001, 2, 1);
    open(0x64400002, 3, 1);
    REQUIRE_THAT(written(),
                 Catch::Contains("\"event\":\"callers_refused\"") &&
                     Catch::Contains("\"service\":\"catalogue\"") &&
                     Catch::Contains("\"100.64.0.2=3 100.64.0.1=2\""));
    SECTION("at most every 5 s") {
      open(0x64400001, 1, 1);
      now += milliseconds(4999);
      REQUIRE(written().empty());
      now += milliseconds(1);
      REQUIRE_THAT(written(), Catch::Contains("\"100.64.0.1=1\""));
    }
  }
  SECTION("metrics by service and priority") {
    open(0x64400001, 3, 1);
    exposition_writer out;
    ExposeCallers(callers, &out);
    const std::string labels = "{service=\"catalogue\",priority=\"2\"} ";
    REQUIRE_THAT(
        out.Text(),
        Catch::Contains("lavendertack_callers_tracked" + labels + "1\n") &&
            Catch::Contains("lavendertack_callers_above_share" + labels) &&
            Catch::Contains("lavendertack_caller_retries_total" + labels +
                            "2\n"));
  }
}

}  // namespace
}  // namespace lavendertack
