// Sends events to one service shard and collects its effects by type.
#ifndef LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_DRIVER_H_
#define LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_DRIVER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Traffic/service_shard.h"

namespace lavendertack::testing {

// Drives the shard in virtual time. Targets and callers are simulated by calls
// from the test.
class shard_driver {
 public:
  explicit shard_driver(owner_epoch epoch = {7})
      : shard({.service = {"catalogue"},
               .data_centre = {"nairobi"},
               .epoch = epoch,
               .seed = 1}) {
    view.classes = {{{"hold"}, {9}}, {{"browse"}, {1}}};
  }

  // Passes an event to the shard, and keeps the tokens, answers, orders and
  // cancels from its effects.
  void Reduce(const shard_event& event) {
    for (shard_effect& effect : shard.Reduce(now, view, event)) {
      if (auto* answer = std::get_if<send_answer>(&effect)) {
        if (answer->answer.token) {
          tokens[answer->answer.flow.value] = *answer->answer.token;
        }
        answers.push_back(std::move(answer->answer));
      } else if (auto* run = std::get_if<send_run>(&effect)) {
        runs.push_back(std::move(run->order));
      } else if (auto* cancel = std::get_if<send_cancel>(&effect)) {
        cancels.push_back(cancel->attempt);
      }
    }
  }

  void Announce(const std::string& name,
                target_state state = target_state::kReady,
                std::uint32_t slots = 2, std::uint32_t connections = 2000,
                std::uint64_t boot = 1) {
    Reduce(shard_announcement_received{Connection(name, boot),
                                       {.target = {name},
                                        .service = {"catalogue"},
                                        .boot = {boot},
                                        .state = state,
                                        .slots = slots,
                                        .connections = connections}});
  }
  static target_connection Connection(const std::string& name,
                                      std::uint64_t boot = 1) {
    return {name + "/" + std::to_string(boot)};
  }

  // Sends a packet with the latest token that the flow received, if any.
  void SendPacket(std::uint64_t flow, caller_body body) {
    caller_packet packet{.flow = {flow},
                         .service = {"catalogue"},
                         .token = std::nullopt,
                         .body = std::move(body)};
    if (auto it = tokens.find(flow); it != tokens.end()) {
      packet.token = it->second;
    }
    Reduce(shard_packet_received{std::move(packet), {"10.0.0.1:9"}});
  }
  void OpenFlow(std::uint64_t flow) { SendPacket(flow, open_flow{}); }
  void SendRequest(std::uint64_t flow, std::uint64_t number,
                   const std::string& name = "hold", bool repeatable = false,
                   milliseconds deadline = milliseconds(1000)) {
    SendPacket(flow, run_request{{number}, {name}, repeatable, deadline, "x"});
  }
  // Answers an order with a single part.
  void CompleteRequest(const run_order& order,
                       run_status status = run_status::kDone,
                       const std::string& body = "whole") {
    Reduce(shard_answer_received{
        Connection(order.target.value, order.boot.value),
        {.attempt = order.attempt, .status = status, .body = body}});
  }
  // Advances the time in ticks of 10 ms. The targets in `names` announce
  // themselves every 200 ms.
  void AdvanceTime(milliseconds time,
                   const std::vector<std::string>& names = {}) {
    for (const instant end = now + time; now < end;) {
      now += milliseconds(10);
      if (now.time_since_epoch() % milliseconds(200) == microseconds(0)) {
        for (const std::string& name : names) Announce(name);
      }
      Reduce(shard_tick{});
    }
  }
  // Sends requests of `flow` and answers each after 20 ms until the flow's
  // target counts as warm, then clears `answers`.
  void WarmUpTarget(std::uint64_t flow) {
    const auto it = shard.targets().find(tokens.at(flow).target);
    for (std::uint64_t i = 1; !it->second.ramp.warm(); ++i) {
      SendRequest(flow, 100'000 + i, "browse", true);
      while (runs.empty()) AdvanceTime(milliseconds(10), {it->first.value});
      AdvanceTime(milliseconds(20), {it->first.value});
      CompleteRequest(runs.back());
      runs.clear();
      AdvanceTime(milliseconds(200), {it->first.value});
    }
    answers.clear();
  }

  service_shard shard;
  shard_view view;
  instant now{seconds(100)};
  std::map<std::uint64_t, flow_token> tokens;  // Latest one of each flow.
  std::vector<caller_answer> answers;
  std::vector<run_order> runs;
  std::vector<attempt_id> cancels;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_DRIVER_H_
