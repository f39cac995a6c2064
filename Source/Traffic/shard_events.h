// Events that a service shard consumes, and the effects that it returns.
#ifndef LAVENDERTACK_TRAFFIC_SHARD_EVENTS_H_
#define LAVENDERTACK_TRAFFIC_SHARD_EVENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "Traffic/messages.h"

namespace lavendertack {

// Event: a packet from a caller was received.
struct shard_packet_received {
  caller_packet packet;
  caller_address caller;
  // Estimated time that the packet has spent between instances.
  milliseconds waited{0};
};
// Event: an announcement from a target was received.
struct shard_announcement_received {
  target_connection connection;
  announcement message;
};
// Event: a part of a target's answer was received.
struct shard_answer_received {
  target_connection connection;
  run_answer answer;
};
// Event: a connection of a target was closed or became unreachable.
struct shard_target_disconnected {
  target_connection connection;
};
// Event: the service moves to another owner as planned. From now on no request
// is sent; running requests are completed.
struct shard_stop_admitting {};
// Event: the shard is discarded after this event. Every live request ends now:
// one that was never sent as not run, the others with an unknown outcome.
struct shard_end_requests {
  refusal_reason reason = refusal_reason::kDraining;
};
// Event: periodic timer, every 10 ms.
struct shard_tick {};
using shard_event =
    std::variant<shard_packet_received, shard_announcement_received,
                 shard_answer_received, shard_target_disconnected,
                 shard_stop_admitting, shard_end_requests, shard_tick>;

// Effect: send an answer to a caller.
struct send_answer {
  caller_address to;
  caller_answer answer;
};
// Effect: send a request to a target.
struct send_run {
  target_connection to;
  run_order order;
};
// Effect: ask a target to cancel an attempt.
struct send_cancel {
  target_connection to;
  attempt_id attempt;
};
// Effect: write one routing or placement decision to the log.
struct log_decision {
  std::string text;
  flow_id flow;            // 0: not about a single flow.
  request_number request;  // 0: about the flow itself.
};
// Effect: record in the metrics that a request got its final answer.
struct request_ended {
  class_name service_class;
  answer_kind kind = answer_kind::kNotRun;
  microseconds took{0};  // Time since it entered the system.
};
using shard_effect = std::variant<send_answer, send_run, send_cancel,
                                  log_decision, request_ended>;

// Part of the agreed state that the shard depends on.
struct shard_view {
  bool out = false;  // The data centre is out of service.
  // Prices of the service's classes.
  std::map<class_name, class_price> classes;
  seconds flow_idle{900};  // A flow without packets for longer is closed.
};

// Constant parameters of a shard.
struct shard_settings {
  service_name service;
  data_centre_name data_centre;
  owner_epoch epoch;
  std::uint64_t seed = 0;  // For the random number generator.
};

// Capacity and use of a shard's targets.
struct shard_load {
  // Sum of the ready targets' concurrency limits, rounded up.
  std::uint32_t ready_slots = 0;
  std::uint32_t busy_slots = 0;        // At all targets, also lost ones.
  std::uint32_t free_connections = 0;  // At the ready targets.
};

// Summary of an open flow, for operators.
struct flow_summary {
  flow_id flow;
  target_name target;  // Empty: the flow has no target now.
  std::uint32_t live_requests = 0;
};

// Counters since the shard was created.
struct shard_counters {
  std::uint64_t opened = 0;        // Flows opened.
  std::uint64_t moved = 0;         // Flows moved to another target.
  std::uint64_t sent = 0;          // Attempts sent to targets.
  std::uint64_t retried = 0;       // Attempts after the first one.
  std::uint64_t resends = 0;       // Packets for a request with a record.
  std::uint64_t late_answers = 0;  // Answers to detached attempts.
  // Answer parts that are duplicates, have an invalid number or belong to no
  // pending attempt of their connection.
  std::uint64_t dropped = 0;
  std::uint64_t displaced = 0;  // Queued requests refused for overload.
  // Warm targets that became cold, as their answers or missing answers showed.
  std::uint64_t cold_detections = 0;
  std::uint64_t slots_timed_out = 0;  // Slots freed after kSlotTimeout.
  // Final answers to requests, by kind and reason.
  std::map<std::pair<answer_kind, refusal_reason>, std::uint64_t> ended;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_SHARD_EVENTS_H_
