// Events that reach a service shard, and the effects that it asks for.
#ifndef LAVENDERTACK_TRAFFIC_SHARD_EVENTS_H_
#define LAVENDERTACK_TRAFFIC_SHARD_EVENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "Traffic/messages.h"

namespace lavendertack {

// Events.
struct shard_packet {
  caller_packet packet;
  caller_address caller;
  milliseconds waited{0};  // Already spent inside the system.
};
struct shard_announced {
  target_connection connection;
  announcement what;
};
struct shard_answered {
  target_connection connection;
  run_answer answer;
};
// The connection can't be reached any more.
struct shard_disconnected {
  target_connection connection;
};
// A planned hand-over: from here on no request is sent; what runs ends.
struct shard_stop_admitting {};
struct shard_tick {};
using shard_event =
    std::variant<shard_packet, shard_announced, shard_answered,
                 shard_disconnected, shard_stop_admitting, shard_tick>;

// Effects.
struct send_answer {
  caller_address to;
  caller_answer answer;
};
struct send_run {
  target_connection to;
  run_order order;
};
struct send_cancel {
  target_connection to;
  attempt_id attempt;
};
// One routing or placement decision, for the log.
struct note_decision {
  std::string text;
};
using shard_effect =
    std::variant<send_answer, send_run, send_cancel, note_decision>;

// What the shard needs of the agreed state.
struct shard_view {
  bool out = false;                           // The data centre is taken out.
  std::map<class_name, class_price> classes;  // Of this service.
  seconds flow_idle{900};
};

struct shard_settings {
  service_name service;
  data_centre_name data_centre;
  owner_epoch epoch;
  std::uint64_t seed = 0;
};

struct shard_load {
  std::uint32_t ready_slots = 0;  // Slots' worth of work that targets may bear.
  std::uint32_t busy_slots = 0;
  std::uint32_t free_connections = 0;
};

// Counts since the shard began.
struct shard_counters {
  std::uint64_t opened = 0;      // Flows.
  std::uint64_t moved = 0;       // Flows that went on at another target.
  std::uint64_t sent = 0;        // Sendings of requests to targets.
  std::uint64_t retried = 0;     // Of these, sendings after the first.
  std::uint64_t resends = 0;     // Requests answered from their record.
  std::uint64_t late = 0;        // Answers that came after the request ended.
  std::uint64_t dropped = 0;     // Answers and parts that fit no request.
  std::uint64_t displaced = 0;   // Waiting requests that gave way.
  std::uint64_t collapses = 0;   // Targets found to have turned cold.
  std::uint64_t slots_held = 0;  // Slots given up on after kSlotHold.
  // Final answers to requests.
  std::map<std::pair<answer_kind, refusal_reason>, std::uint64_t> ended;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_SHARD_EVENTS_H_
