#include "platform/calls.h"

#include <catch2/catch.hpp>

namespace lavendertack::platform {
namespace {

const std::string kManifest = R"({"version":3,"routes":[],"services":[]})";

control_call Call(const std::string& method, const std::string& path,
                  const std::string& body = "") {
  return DecodeCall({.method = method, .path = path, .body = body});
}

unsigned RefusalOf(const control_call& call) {
  const auto* refused = std::get_if<refused_call>(&call);
  return refused == nullptr ? 0 : refused->status;
}

TEST_CASE("requests are told apart") {
  SECTION("a manifest, with its text as it came") {
    const auto call = Call("PUT", "/config", kManifest);
    const auto& order = std::get<published_order>(call);
    const auto& publish = std::get<publish_manifest>(order);
    REQUIRE(publish.version.value == 3);
    REQUIRE(publish.text == kManifest);
  }
  SECTION("a read of it") {
    const auto call = Call("GET", "/config");
    REQUIRE(std::holds_alternative<read_published>(
        std::get<published_order>(call)));
  }
  SECTION("a data centre out and back") {
    for (const bool out : {true, false}) {
      const auto call = Call(out ? "POST" : "DELETE", "/evacuations/east");
      const auto& order =
          std::get<set_evacuation>(std::get<published_order>(call));
      REQUIRE(order.data_centre == data_centre_name{"east"});
      REQUIRE(order.closed == out);
    }
  }
  SECTION("the end of a target") {
    const auto call = Call("DELETE", "/instances/i-1");
    REQUIRE(std::get<target_ended>(call).id == target_id{"i-1"});
  }
  SECTION("and what is none of them") {
    REQUIRE(RefusalOf(Call("GET", "/")) == 404);
    REQUIRE(RefusalOf(Call("PUT", "/instances/")) == 404);
    REQUIRE(RefusalOf(Call("PUT", "/instances/a/b")) == 404);
    REQUIRE(RefusalOf(Call("PATCH", "/config")) == 405);
    REQUIRE(RefusalOf(Call("PUT", "/config", "{")) == 400);
    REQUIRE(RefusalOf(Call("PUT", "/instances/i-1", "{}")) == 400);
    http_request large{.method = "PUT", .path = "/config"};
    large.too_large = true;
    REQUIRE(RefusalOf(DecodeCall(large)) == 413);
  }
}

TEST_CASE("orders are answered") {
  const published_state empty(
      [](const std::string&) { return std::optional<manifest>(); });
  const http_request request{.method = "PUT", .path = "/config"};
  const auto answer = [&](const order_outcome& outcome, bool is_read) {
    return AnswerOrder(request, outcome, is_read, empty, {8166});
  };

  SECTION("done") { REQUIRE(answer(order_done{}, false).status == 200); }
  SECTION("elsewhere, with the whole address") {
    const auto elsewhere = answer(order_redirected{{"10.0.0.4"}}, false);
    REQUIRE(elsewhere.status == 307);
    REQUIRE(elsewhere.location == "http://10.0.0.4:8166/config");
  }
  SECTION("not for certain") {
    REQUIRE(answer(order_outcome_unknown{"alone"}, false).status == 503);
    REQUIRE(answer(order_done{}, true).status == 503);
  }
}

TEST_CASE("an entry instance is asked whether it's ready") {
  REQUIRE(IsReadinessProbe({.method = "GET", .path = "/ready"}));
  REQUIRE_FALSE(IsReadinessProbe({.method = "GET", .path = "/metrics"}));
  REQUIRE(AnswerReadiness(true).status == 200);
  REQUIRE(AnswerReadiness(false).status == 503);
}

}  // namespace
}  // namespace lavendertack::platform
