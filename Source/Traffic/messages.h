// Messages of the traffic path between an instance, its callers and its
// targets. The wire format of the same messages is defined by the .proto files.
#ifndef LAVENDERTACK_TRAFFIC_MESSAGES_H_
#define LAVENDERTACK_TRAFFIC_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Address of a caller, as "ip:port".
using caller_address = strong_type<struct caller_address_tag, std::string>;
// Identifies a connection of a target process; never reused by a new process.
using target_connection =
    strong_type<struct target_connection_tag, std::string>;
// Identifies one attempt, which is a single sending of a request to a target. A
// retry is a new attempt.
using attempt_id = strong_type<struct attempt_id_tag, std::uint64_t>;
// Increases each time another instance, or a restarted one, becomes the owner
// of a service in a data centre.
using owner_epoch = strong_type<struct owner_epoch_tag, std::uint64_t>;

// Data centre and target of an open flow. The caller echoes the token in each
// packet, so that every instance finds the target without a table of flows.
struct flow_token {
  data_centre_name data_centre;
  target_name target;
  boot_id boot;
  owner_epoch epoch;
  std::uint64_t nonce = 0;

  friend bool operator==(const flow_token&, const flow_token&) = default;
};

// Bodies of a caller's packet.
struct open_flow {};
struct close_flow {};
struct keep_alive {};
struct cancel_request {
  request_number number;
};
struct run_request {
  request_number number;
  class_name service_class;
  bool repeatable = false;   // May run more than once.
  milliseconds deadline{0};  // Time that the caller waits after sending.
  std::string body;
};

using caller_body = std::variant<open_flow, run_request, cancel_request,
                                 close_flow, keep_alive>;

// A packet from a caller.
struct caller_packet {
  flow_id flow;
  service_name service;
  std::optional<flow_token> token;
  caller_body body;
};

// The request in the packet, or null.
const run_request* RequestIn(const caller_packet& packet);
// Number of the request that the packet sends or cancels; 0 for none.
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

// An answer to a caller's packet.
struct caller_answer {
  flow_id flow;
  request_number request;  // 0: about the flow itself.
  answer_kind kind = answer_kind::kNotRun;
  refusal_reason reason = refusal_reason::kNone;
  milliseconds retry_after{0};  // Retry-after interval of a refusal.
  std::optional<flow_token> token;
  std::string body;
  // The flow no longer exists: the caller must open a new one.
  bool flow_lost = false;
};

// Values are those of wire::target_state.
enum class target_state { kCold = 1, kReady = 2, kDraining = 3, kLeaving = 4 };

// Periodic report of a target about itself.
struct announcement {
  target_name target;
  service_name service;
  boot_id boot;
  target_state state = target_state::kCold;
  std::uint32_t slots = 0;          // Requests that may run at the same time.
  std::uint32_t connections = 0;    // Flows that may be open at the same time.
  std::uint32_t reported_busy = 0;  // Requests that it is running.
};

// Values are those of wire::run_status.
enum class run_status { kDone = 1, kShed = 2, kFailed = 3, kAbandoned = 4 };

// One part of a target's answer to one attempt.
struct run_answer {
  attempt_id attempt;
  run_status status = run_status::kDone;
  std::uint32_t part = 0;   // Index of this part, from 0.
  std::uint32_t parts = 1;  // Number of parts of the answer.
  std::string body;
};

// Order to a target to run a request.
struct run_order {
  attempt_id attempt;
  flow_id flow;
  request_number request;
  service_name service;
  target_name target;
  boot_id boot;
  class_name service_class;
  bool repeatable = false;
  milliseconds remaining{0};  // Time left until the caller's deadline.
  owner_epoch epoch;
  std::string body;
};

// True when an answer with this kind and reason means that its flow no longer
// exists: its data centre is out of service, or its owner has no such flow.
bool EndsFlow(answer_kind kind, refusal_reason reason);

// Texts for logs and metrics; "invalid" for a value that isn't in the enum.
std::string_view ToString(answer_kind kind);
std::string_view ToString(refusal_reason reason);
std::string_view ToString(target_state state);

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_MESSAGES_H_
