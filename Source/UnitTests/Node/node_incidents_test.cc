// Incidents that operators of similar systems have reported, replayed against
// one instance that owns all services of its data centre.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "Node/node.h"

namespace lavendertack {
namespace {

const service_name kCatalogue{"catalogue"};
const service_name kGuides{"guides"};
const caller_address kCaller{"10.0.0.9:4000"};

// An instance that is the only one of its deployment, with two services. Each
// has one target; one process runs both targets, so they share a connection.
class lone_instance {
 public:
  lone_instance() {
    RunFor(seconds(1));
    auto ticket = ParseTicket(R"({"number": 1,
        "classes": [{"name": "hold", "price": 9}],
        "services": [
          {"name": "catalogue", "classes": ["hold"], "flow_idle_s": 60},
          {"name": "guides", "classes": ["hold"], "flow_idle_s": 60}]})");
    HandleEvent(ticket_submitted{{1}, std::get<change_ticket>(ticket)});
    RunFor(seconds(4));
    REQUIRE(node_.shards().size() == 2);
  }

  void RunFor(milliseconds time) {
    for (const instant end = now_ + time; now_ < end; now_ += kStep) {
      if (announcing_) Announce();
      HandleEvent(node_tick{});
    }
  }
  // Time passes without any event.
  void Pause(milliseconds time) { now_ += time; }
  void StartTargets() { announcing_ = true; }

  void HandleEvent(const node_event& event) {
    for (const node_effect& effect : node_.Reduce(now_, event)) {
      if (const auto* answer = std::get_if<send_answer>(&effect)) {
        if (answer->answer.token) {
          tokens_[answer->answer.flow] = *answer->answer.token;
        }
        answers.push_back(answer->answer);
      } else if (const auto* run = std::get_if<send_run>(&effect)) {
        runs.push_back(run->order);
      }
    }
  }

  void SendPacket(const service_name& service, flow_id flow, caller_body body) {
    caller_packet packet{.flow = flow,
                         .service = service,
                         .token = std::nullopt,
                         .body = std::move(body)};
    if (auto it = tokens_.find(flow); it != tokens_.end()) {
      packet.token = it->second;
    }
    HandleEvent(caller_packet_received{kCaller, packet});
  }
  // Opens a flow and sends one request in it.
  void StartRequest(const service_name& service, flow_id flow) {
    SendPacket(service, flow, open_flow{});
    SendPacket(service, flow,
               run_request{{1}, {"hold"}, false, seconds(20), "x"});
  }
  void CompleteRequest(const run_order& order, const std::string& body) {
    HandleEvent(target_answer_received{
        kConnection, {.attempt = order.attempt, .body = body}});
  }
  // The final answers to the requests of the flow.
  std::vector<caller_answer> AnswersTo(flow_id flow) const {
    std::vector<caller_answer> found;
    std::copy_if(answers.begin(), answers.end(), std::back_inserter(found),
                 [flow](const caller_answer& answer) {
                   return answer.flow == flow && answer.request.value == 1;
                 });
    return found;
  }
  const node& state() const { return node_; }

  std::vector<caller_answer> answers;
  std::vector<run_order> runs;

 private:
  static constexpr milliseconds kStep{20};
  inline static const target_connection kConnection{"process"};

  static node_settings Settings() {
    return {.self = {"a"},
            .data_centre = {"north"},
            .deployment = "test",
            .replica = true,
            .members = {{.name = {"a"},
                         .data_centre = {"north"},
                         .replica = true,
                         .last_heartbeat_at = std::nullopt,
                         .last_heartbeat = {}}},
            .incarnation = 1,
            .seed = 1};
  }

  void Announce() {
    for (const service_name& service : {kCatalogue, kGuides}) {
      HandleEvent(
          target_announcement_received{kConnection,
                                       {.target = {service.value + "-1"},
                                        .service = service,
                                        .boot = {1},
                                        .state = target_state::kReady,
                                        .slots = 4,
                                        .connections = 100}});
    }
  }

  node node_{Settings()};
  instant now_{seconds(100)};
  std::map<flow_id, flow_token> tokens_;
  bool announcing_ = false;
};

// Shards of one instance used to number their attempts alike. An answer over a
// connection that targets of two services share then ended a request of each.
TEST_CASE("a target's answer goes to the caller of its request only") {
  lone_instance instance;
  instance.StartTargets();
  instance.RunFor(seconds(1));
  instance.StartRequest(kCatalogue, {11});
  instance.StartRequest(kGuides, {12});
  REQUIRE(instance.runs.size() == 2);

  SECTION("not to that of another service on the same connection") {
    instance.CompleteRequest(instance.runs[0], "catalogue answer");
    REQUIRE(instance.AnswersTo({12}).empty());
    REQUIRE(instance.AnswersTo({11}).size() == 1);
    REQUIRE(instance.AnswersTo({11}).front().body == "catalogue answer");

    SECTION("also if a second copy arrives late") {
      instance.CompleteRequest(instance.runs[0], "catalogue answer");
      REQUIRE(instance.AnswersTo({11}).size() == 1);
      REQUIRE(instance.AnswersTo({12}).empty());
    }
  }
}

// A stopping instance used to exit without an answer to the requests that still
// ran at the end of the time for a graceful stop.
TEST_CASE("a request in progress at a planned stop gets an answer") {
  lone_instance instance;
  instance.StartTargets();
  instance.RunFor(seconds(1));
  instance.StartRequest(kCatalogue, {11});
  REQUIRE(instance.runs.size() == 1);
  // A target that has just started runs one request at a time.
  instance.StartRequest(kCatalogue, {12});
  REQUIRE(instance.runs.size() == 1);
  instance.HandleEvent(leave_requested{});
  REQUIRE(instance.AnswersTo({11}).empty());
  REQUIRE_FALSE(instance.state().CanExit());

  SECTION("one that wasn't sent yet is refused at once") {
    REQUIRE(instance.AnswersTo({12}).size() == 1);
    REQUIRE(instance.AnswersTo({12}).front().kind == answer_kind::kNotRun);
  }
  SECTION("a running one gets the answer of its target") {
    instance.CompleteRequest(instance.runs[0], "whole");
    REQUIRE(instance.AnswersTo({11}).size() == 1);
    REQUIRE(instance.AnswersTo({11}).front().kind == answer_kind::kServed);
    REQUIRE(instance.state().CanExit());
  }
  SECTION("one that still runs when the process exits has an unknown outcome") {
    instance.HandleEvent(exit_imminent{});
    REQUIRE(instance.AnswersTo({11}).size() == 1);
    REQUIRE(instance.AnswersTo({11}).front().kind ==
            answer_kind::kOutcomeUnknown);
    REQUIRE(instance.AnswersTo({12}).size() == 1);
  }
}

}  // namespace
}  // namespace lavendertack
