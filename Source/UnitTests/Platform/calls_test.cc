#include "platform/calls.h"

#include <catch2/catch.hpp>

#include "Runtime/fleet_links.h"
#include "platform/adapter.h"

namespace lavendertack::platform {
namespace {

const std::string kManifest = R"({"version":3,"routes":[],"services":[]})";

control_call Decode(const std::string& method, const std::string& path,
                    const std::string& body = "") {
  return DecodeCall({.method = method, .path = path, .body = body});
}

unsigned RefusedStatus(const control_call& call) {
  const auto* refused = std::get_if<refused_call>(&call);
  return refused == nullptr ? 0 : refused->status;
}

TEST_CASE("requests are decoded to calls") {
  SECTION("publishing a manifest keeps its text unchanged") {
    const auto call = Decode("PUT", "/config", kManifest);
    const auto& order = std::get<published_order>(call);
    const auto& publish = std::get<publish_manifest>(order);
    REQUIRE(publish.version.value == 3);
    REQUIRE(publish.text == kManifest);
  }
  SECTION("reading the manifest") {
    const auto call = Decode("GET", "/config");
    REQUIRE(std::holds_alternative<read_published>(
        std::get<published_order>(call)));
  }
  SECTION("closing a data centre and opening it again") {
    for (const bool closed : {true, false}) {
      const auto call = Decode(closed ? "POST" : "DELETE", "/evacuations/east");
      const auto& order =
          std::get<set_evacuation>(std::get<published_order>(call));
      REQUIRE(order.data_centre == data_centre_name{"east"});
      REQUIRE(order.closed == closed);
    }
  }
  SECTION("the notice that a target has terminated") {
    const auto call = Decode("DELETE", "/instances/i-1");
    REQUIRE(std::get<target_ended>(call).id == target_id{"i-1"});
  }
  SECTION("other requests are refused with the HTTP status of their error") {
    REQUIRE(RefusedStatus(Decode("GET", "/")) == 404);
    REQUIRE(RefusedStatus(Decode("PUT", "/instances/")) == 404);
    REQUIRE(RefusedStatus(Decode("PUT", "/instances/a/b")) == 404);
    REQUIRE(RefusedStatus(Decode("PATCH", "/config")) == 405);
    REQUIRE(RefusedStatus(Decode("PUT", "/config", "{")) == 400);
    REQUIRE(RefusedStatus(Decode("PUT", "/instances/i-1", "{}")) == 400);
    http_request large{.method = "PUT", .path = "/config"};
    large.too_large = true;
    REQUIRE(RefusedStatus(DecodeCall(large)) == 413);
  }
}

TEST_CASE("a manifest with every address of a large fleet is accepted") {
  constexpr int kAddresses = 9'500;
  constexpr int kAddressesPerHost = 100;
  std::string text = R"({"version":7,"services":[)"
                     R"({"name":"waiver-desk"},{"name":"pack-press"}],)"
                     R"("routes":[)";
  for (int i = 0; i < kAddresses; ++i) {
    if (i > 0) text += ",";
    text += R"({"name":"r-)" + std::to_string(1'000'000 + i) +
            R"(","host":"198.18.)" + std::to_string(i / kAddressesPerHost) +
            R"(.1","path_prefix":"/)" +
            std::to_string(8000 + i % kAddressesPerHost) +
            R"(/","type":"download","timeout_ms":12000,)"
            R"("target_latency_ms":1500,"priority":2,"max_attempts":2,)"
            R"("traffic_split":[{"service":"waiver-desk","weight":90},)"
            R"({"service":"pack-press","weight":10}]})";
  }
  text += "]}";
  const auto call = Decode("PUT", "/config", text);
  REQUIRE(std::holds_alternative<published_order>(call));
  const std::size_t max_bytes = MakePlatformAdapter().calls.max_body_bytes;
  REQUIRE(text.size() <= max_bytes);
  // Control instances send it to each other in one message.
  REQUIRE(max_bytes < kMaxFleetMessageBytes);
}

TEST_CASE("outcomes of orders are encoded as HTTP answers") {
  const published_state empty(
      [](const std::string&) { return std::optional<manifest>(); });
  const http_request request{.method = "PUT", .path = "/config"};
  const auto answer = [&](const order_outcome& outcome, bool is_read) {
    return AnswerOrder(request, outcome, is_read, empty, {8166});
  };

  SECTION("done") { REQUIRE(answer(order_done{}, false).status == 200); }
  SECTION("a redirect has the complete URL of the other instance") {
    const auto redirect = answer(order_redirected{{"10.0.0.4"}}, false);
    REQUIRE(redirect.status == 307);
    REQUIRE(redirect.location == "http://10.0.0.4:8166/config");
  }
  SECTION("an unknown outcome and a read without a manifest fail with 503") {
    REQUIRE(answer(order_outcome_unknown{"alone"}, false).status == 503);
    REQUIRE(answer(order_done{}, true).status == 503);
  }
}

TEST_CASE("readiness probes are recognized and answered") {
  REQUIRE(IsReadinessProbe({.method = "GET", .path = "/ready"}));
  REQUIRE_FALSE(IsReadinessProbe({.method = "GET", .path = "/metrics"}));
  REQUIRE(AnswerReadiness(true).status == 200);
  REQUIRE(AnswerReadiness(false).status == 503);
}

}  // namespace
}  // namespace lavendertack::platform
