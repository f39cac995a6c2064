// Typed messages of the traffic path: what callers and targets say to an
// instance, and what it says to them.
#ifndef LAVENDERTACK_TRAFFIC_MESSAGES_H_
#define LAVENDERTACK_TRAFFIC_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// "ip:port" of a caller.
using caller_address = strong_type<struct caller_address_tag, std::string>;
// Identity of a target's connection; a new process never gets an old one's.
using target_connection =
    strong_type<struct target_connection_tag, std::string>;
// Unique number of one sending of a request to a target.
using attempt_id = strong_type<struct attempt_id_tag, std::uint64_t>;
// Rises each time another instance, or another life of the same instance,
// takes charge of a service in a data centre.
using owner_epoch = strong_type<struct owner_epoch_tag, std::uint64_t>;

// Place of an open flow, echoed by the caller in each packet, so that every
// instance finds the flow's target without a table of flows.
struct flow_token {
  data_centre_name data_centre;
  target_name target;
  boot_id boot;
  owner_epoch epoch;
  std::uint64_t nonce = 0;

  friend bool operator==(const flow_token&, const flow_token&) = default;
};

struct open_flow {};
struct close_flow {};
struct keep_alive {};
struct cancel_request {
  request_number number;
};
struct run_request {
  request_number number;
  class_name service_class;
  bool repeatable = false;
  milliseconds deadline{0};  // Time the caller waits, from sending.
  std::string body;
};

using caller_body = std::variant<open_flow, run_request, cancel_request,
                                 close_flow, keep_alive>;

struct caller_packet {
  flow_id flow;
  service_name service;
  std::optional<flow_token> token;
  caller_body body;
};

// The request that the packet holds, or null.
const run_request* RequestIn(const caller_packet& packet);
// The number of the request that the packet is about; 0 for none.
request_number NumberIn(const caller_packet& packet);

// Values are those of wire::answer_kind.
enum class answer_kind {
  kOpened = 1,
  kServed = 2,
  kNotRun = 3,
  kOutcomeUnknown = 4,
  kFlowLost = 5,
  kAlive = 6,
};

// Values are those of wire::refusal_reason.
enum class refusal_reason {
  kNone = 0,
  kOverloaded = 1,
  kNoTarget = 2,
  kUnknownService = 3,
  kUnknownClass = 4,
  kDataCentreOut = 5,
  kDeadlinePassed = 6,
  kTargetShed = 7,
  kTargetLost = 8,
  kOwnerUnreachable = 9,
  kOwnerChanged = 10,
  kCancelled = 11,
  kTooLarge = 12,
  kTooOld = 13,
  kDraining = 14,
  kBadAnswer = 15,
  kNotCurrent = 20,
  kFlowUnknown = 21,
};

struct caller_answer {
  flow_id flow;
  request_number request;  // 0 when the answer is to the flow itself.
  answer_kind kind = answer_kind::kNotRun;
  refusal_reason reason = refusal_reason::kNone;
  milliseconds come_back{0};  // Of a refusal: when to try again.
  std::optional<flow_token> token;
  std::string body;
  // The flow is given up: the caller opens a new one.
  bool flow_lost = false;
};

// Values are those of wire::target_state.
enum class target_state { kCold = 1, kReady = 2, kDraining = 3, kLeaving = 4 };

struct announcement {
  target_name target;
  service_name service;
  boot_id boot;
  target_state state = target_state::kCold;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t reported_busy = 0;
};

// Values are those of wire::run_status.
enum class run_status { kDone = 1, kShed = 2, kFailed = 3, kAbandoned = 4 };

// One part of a target's answer to one sending.
struct run_answer {
  attempt_id attempt;
  run_status status = run_status::kDone;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::string body;
};

struct run_order {
  attempt_id attempt;
  flow_id flow;
  request_number request;
  service_name service;
  target_name target;
  boot_id boot;
  class_name service_class;
  bool repeatable = false;
  milliseconds remaining{0};
  owner_epoch epoch;
  std::string body;
};

// The answer means that its flow is given up: its data centre is out, or its
// owner doesn't know it any more.
bool EndsFlow(answer_kind kind, refusal_reason reason);

std::string_view ToString(answer_kind kind);
std::string_view ToString(refusal_reason reason);
std::string_view ToString(target_state state);

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_MESSAGES_H_
