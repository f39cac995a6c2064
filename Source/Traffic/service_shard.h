// One service in one data centre, as the instance in charge of it runs it:
// its targets, their slots and connections, its open flows, the queues by
// class, and the record of every request. A single owner keeps all of it, so
// limits are exact and a request that may not be repeated runs at most once.
#ifndef LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_
#define LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

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
struct shard_tick {};
using shard_event = std::variant<shard_packet, shard_announced, shard_answered,
                                 shard_disconnected, shard_tick>;

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
  std::uint32_t ready_slots = 0;
  std::uint32_t busy_slots = 0;
  std::uint32_t free_connections = 0;
};

class service_shard {
 public:
  explicit service_shard(shard_settings settings);

  std::vector<shard_effect> Reduce(instant now, const shard_view& view,
                                   const shard_event& event);

  shard_load Load() const;
  std::size_t flow_count() const { return flows_.size(); }

  struct target_record {
    target_name name;
    boot_id boot;
    target_connection connection;
    target_state state = target_state::kCold;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t busy = 0;   // Requests sent and not yet ended.
    std::uint32_t flows = 0;  // Open flows.
    instant last_heard;
  };
  const std::map<target_name, target_record>& targets() const {
    return targets_;
  }

 private:
  enum class request_step { kQueued, kRunning, kEnded };

  struct request_record {
    request_step step = request_step::kQueued;
    bool repeatable = false;
    caller_address caller;
    run_request request;
    instant deadline;
    attempt_id attempt;
    std::vector<std::string> parts;  // Answer parts so far.
    std::set<std::uint32_t> parts_seen;
    caller_answer answer;  // Once ended.
    instant ended;
  };

  struct flow_record {
    flow_token token;
    caller_address caller;
    instant last_packet;
    request_number forgotten;  // Records up to here are no longer kept.
    std::map<request_number, request_record> requests;
  };

  // Order in a target's queue: price, then arrival.
  struct queue_key {
    class_price price;
    std::uint64_t arrival = 0;
    friend bool operator<(const queue_key& a, const queue_key& b) {
      if (a.price != b.price) return a.price > b.price;
      return a.arrival < b.arrival;
    }
  };
  struct request_key {
    flow_id flow;
    request_number number;
  };

  void HandlePacket(const shard_packet& event);
  void HandleOpen(const shard_packet& event);
  void HandleRequest(const shard_packet& event, flow_record* flow);
  void HandleCancel(const cancel_request& cancel, flow_record* flow);
  void HandleAnnounced(const shard_announced& event);
  void HandleAnswered(const shard_answered& event);
  void HandleDisconnected(const target_connection& connection);
  void HandleTick();
  flow_record* FindOrRebuildFlow(const shard_packet& event);
  target_record* ChooseTarget();
  target_record* FindTarget(const flow_token& token);
  void LoseTarget(const target_name& name);
  void CloseFlow(flow_id id);
  void ServeQueue(target_record* target);
  void Run(target_record* target, const request_key& key,
           request_record* record);
  void EndRequest(const request_key& key, request_record* record,
                  answer_kind kind, refusal_reason reason, std::string body);
  void Refuse(const shard_packet& event, request_number number,
              answer_kind kind, refusal_reason reason);
  void Answer(const caller_address& to, caller_answer answer);
  void Note(std::string text);

  shard_settings settings_;
  std::mt19937_64 random_;
  std::uint64_t arrivals_ = 0;
  std::uint64_t attempts_ = 0;
  std::map<target_name, target_record> targets_;
  std::unordered_map<flow_id, flow_record> flows_;
  std::map<target_name, std::map<queue_key, request_key>> queues_;
  std::unordered_map<attempt_id, request_key> running_;
  // For the event that is being reduced.
  instant now_;
  const shard_view* view_ = nullptr;
  std::vector<shard_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_
