#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "Ctl/http_transport.h"
#include "Runtime/admin_access.h"
#include "Runtime/admin_api.h"
#include "Runtime/admin_server.h"

namespace lavendertack {
namespace {

using nlohmann::json;

constexpr const char* kToken = "0123456789abcdef";
constexpr std::uint16_t kPort = 39471;

TEST_CASE("changes require the token, queries don't") {
  http_request request{.method = "POST", .path = "/v1/tickets"};
  CHECK(CheckAccess(request, kToken)->status == 401);
  request.authorization = "Bearer 0123456789abcdeX";
  CHECK(CheckAccess(request, kToken)->status == 401);
  request.authorization = std::string("Bearer ") + kToken;
  CHECK_FALSE(CheckAccess(request, kToken));
  CHECK(CheckAccess(request, "")->status == 403);
  request.too_large = true;
  CHECK(CheckAccess(request, kToken)->status == 413);
  CHECK(CheckAccess({.method = "DELETE"}, kToken)->status == 405);
  CHECK_FALSE(CheckAccess({.method = "GET"}, ""));
}

TEST_CASE("the admin server passes requests to the event loop") {
  request_queue queue([] {}, std::chrono::milliseconds(300));
  auto server = std::make_unique<admin_server>(endpoint{"127.0.0.1", kPort},
                                               kToken, &queue);
  const auto send = MakeHttpTransport(std::chrono::milliseconds(3000));
  const std::string address = "127.0.0.1:" + std::to_string(kPort);
  const auto status = [&](const admin_call& call) {
    auto answered = send(address, call);
    if (auto* error = std::get_if<admin_unreachable>(&answered)) {
      UNSCOPED_INFO(error->what);
    }
    const auto* reply = std::get_if<http_reply>(&answered);
    return reply == nullptr ? 0 : reply->status;
  };

  SECTION("a request that the loop doesn't answer in time gets 504") {
    CHECK(status({"GET", "/v1/live", "", ""}) == 504);
    auto late = queue.PopAll();
    REQUIRE(late.size() == 1);
    late[0].answer({200, "{}"});  // The request has already timed out.
  }
  SECTION("a large body within the limit is accepted") {
    const std::string body(kMaxRequestBodyBytes - 1000, 'x');
    CHECK(status({"POST", "/v1/tickets", body, kToken}) == 504);
    CHECK(queue.PopAll().at(0).request.body == body);
  }
  SECTION("a body above the limit is refused") {
    const std::string body(2 * kMaxRequestBodyBytes, 'x');
    CHECK(status({"POST", "/v1/tickets", body, kToken}) == 413);
    CHECK(queue.PopAll().empty());
  }
  SECTION("a change without the token never reaches the loop") {
    CHECK(status({"POST", "/v1/tickets", "{}", "wrong token"}) == 401);
    CHECK(queue.PopAll().empty());
  }
  SECTION("closing the queue answers pending and later requests") {
    request_queue closing_queue([] {}, std::chrono::seconds(30));
    std::thread waiting([&closing_queue] {
      CHECK(closing_queue.SubmitAndWait({.method = "GET", .path = "/v1/live"})
                .status == 503);
    });
    while (true) {
      auto items = closing_queue.PopAll();
      if (items.empty()) continue;
      closing_queue.Close();
      items[0].answer({503, "{}"});
      break;
    }
    waiting.join();
    CHECK(closing_queue.SubmitAndWait({.method = "GET", .path = "/v1/live"})
              .status == 503);
  }
}

node NewNode() {
  return node({.self = {"one"},
               .data_centre = {"east"},
               .deployment = "test",
               .replica = true,
               .members = {{.name = {"one"},
                            .data_centre = {"east"},
                            .replica = true,
                            .last_heartbeat_at = std::nullopt,
                            .last_heartbeat = {}}},
               .incarnation = 1,
               .seed = 1});
}

TEST_CASE("queries are answered from the state of the instance") {
  const node state = NewNode();
  decision_log decisions(0, [](const auto&, const auto&) {});
  metrics counts;
  admin_view view{.state = state,
                  .decisions = decisions,
                  .counts = counts,
                  .totals = {},
                  .now = instant(seconds(5))};
  const auto body = [&](const std::string& path) {
    return json::parse(AnswerQuery(view, path).body);
  };

  SECTION("a stopping instance is live but not ready") {
    CHECK(AnswerQuery(view, "/v1/ready").status == 200);
    view.stopping = true;
    CHECK(AnswerQuery(view, "/v1/ready").status == 503);
    CHECK(AnswerQuery(view, "/v1/live").status == 200);
  }
  SECTION("decisions on one flow are found") {
    decisions.Add(instant(seconds(4)), {"entry", "went east", {77}, {}});
    CHECK(body("/v1/decisions/77").at("decisions").size() == 1);
    CHECK(body("/v1/decisions/77").at("decisions")[0].at("ago_ms") == 1000);
    CHECK(body("/v1/decisions/77/3").at("decisions").empty());
    CHECK(AnswerQuery(view, "/v1/decisions/x").status == 400);
  }
  SECTION("unknown paths get 404 and malformed numbers 400") {
    for (const char* path : {"", "/", "//", "/v1", "/v1/", "/v1/tickets/",
                             "/v1/tickets/9", "/v2/status", "/v1/a/b/c/d"}) {
      CHECK(AnswerQuery(view, path).status == 404);
    }
    CHECK(AnswerQuery(view, "/v1/tickets/-1").status == 400);
  }
  SECTION("metrics have the Prometheus text format") {
    counts.CountDropped("caller", "packet is \"odd\"");
    counts.CountAnswer(
        {.kind = answer_kind::kNotRun, .reason = refusal_reason::kOverloaded});
    for (int i = 1; i <= 1000; ++i) {
      counts.ObserveLatency({"hold"}, milliseconds(i));
    }
    const std::string text = AnswerQuery(view, "/metrics").body;
    CHECK(text.find("lavendertack_dropped_total{source=\"caller\","
                    "fault=\"packet is \\\"odd\\\"\"} 1\n") !=
          std::string::npos);
    CHECK(text.find("lavendertack_answers_total{outcome=\"not run\","
                    "reason=\"overloaded\"} 1\n") != std::string::npos);
    const auto at = text.find("quantile=\"0.5\"} ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(text.substr(at + 16)) == Approx(0.5).margin(0.05));
    CHECK(text.find("lavendertack_request_seconds_count{class=\"hold\"} "
                    "1000\n") != std::string::npos);
  }
}

}  // namespace
}  // namespace lavendertack
