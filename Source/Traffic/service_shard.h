// State of one service in one data centre at the instance that owns the service
// there: targets with their slots, connections and request queues, open flows,
// and a record of every request. There is a single owner, so limits are exact
// and a request that isn't repeatable runs at most once.
#ifndef LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_
#define LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Traffic/answer_assembler.h"
#include "Traffic/class_load.h"
#include "Traffic/flow_table.h"
#include "Traffic/messages.h"
#include "Traffic/shard_events.h"
#include "Traffic/target_table.h"
#include "Traffic/timer_queue.h"

namespace lavendertack {

// A target without an announcement for this long counts as lost.
inline constexpr milliseconds kTargetTimeout{3000};
// Retry-after interval when no queue of a usable target determines it.
inline constexpr milliseconds kDefaultRetryAfter{250};
// A target and its attempts are dropped this long after its last announcement.
inline constexpr seconds kLostTargetRetention{60};
// Time after which the slot of a detached attempt is freed, even if the target
// hasn't answered.
inline constexpr seconds kSlotTimeout{60};
// Time that a new shard waits for the target of a rebuilt flow to announce
// itself before it moves the flow to another target.
inline constexpr milliseconds kTargetDiscoveryTime{1000};
// Most attempts of one repeatable request.
inline constexpr std::uint32_t kMaxAttempts = 3;

// State machine without I/O: consumes events and returns effects.
class service_shard {
 public:
  explicit service_shard(shard_settings settings);

  // Processes an event that arrived at `now`. Returns the effects, which the
  // caller must apply in this order.
  std::vector<shard_effect> Reduce(instant now, const shard_view& view,
                                   const shard_event& event);

  // Capacity and use of the targets at present.
  shard_load Load() const;
  const shard_counters& counters() const { return counters_; }
  std::size_t flow_count() const { return flows_.size(); }
  // At most `limit` open flows, in unspecified order.
  std::vector<flow_summary> Flows(std::size_t limit) const;
  // Number of attempts that aren't detached: their callers still wait for an
  // answer. A shard that has stopped admitting may be discarded when it is 0.
  std::size_t running_requests() const { return awaited_attempts_; }
  // False after shard_stop_admitting.
  bool admitting() const { return admitting_; }
  const std::map<target_name, target_record>& targets() const {
    return targets_.targets();
  }
  // Aborts when targets, attempts and flows are inconsistent. O(targets).
  void CheckConsistency() const;

 private:
  // One sending of a request to a target.
  struct attempt_record {
    request_key key;
    std::uint64_t nonce = 0;  // Of the flow.
    target_serial target;
    class_name service_class;
    instant started;
    bool overdue = false;
    // Not awaited any longer: its request has ended or was retried elsewhere.
    bool detached = false;
    answer_assembler parts;
  };
  using attempt_iterator =
      std::unordered_map<attempt_id, attempt_record>::iterator;
  // A request with its flow and its record.
  struct request_ref {
    flow_record* flow;
    request_number number;
    request_record* record;
    request_key key() const { return {flow->id, number}; }
  };
  // Final answer of a request.
  struct outcome {
    answer_kind kind = answer_kind::kNotRun;
    refusal_reason reason = refusal_reason::kNone;
    std::string body;
  };

  // Packets of callers.
  void HandlePacket(const shard_packet_received& event);
  void HandleOpen(const shard_packet_received& event);
  void HandleRequest(const shard_packet_received& event, flow_record* flow);
  void HandleCancel(const shard_packet_received& event, flow_record* flow);
  void HandleClose(flow_record* flow);
  flow_record* FindOrRebuildFlow(const shard_packet_received& event);
  void RefuseUnknownFlow(const shard_packet_received& event);
  bool AnswerFromRecord(const shard_packet_received& event, flow_record* flow,
                        request_number number);
  std::optional<outcome> CheckRequest(const shard_packet_received& event,
                                      flow_record* flow) const;
  target_record* PlaceFlow(flow_record* flow,
                           const std::optional<flow_token>& token);
  target_record* MoveFlow(flow_record* flow, target_record* from);
  void PinFlow(flow_record* flow, target_record* target);

  // Admission and dispatch of requests.
  void Admit(const request_ref& request, target_record* target);
  bool CanMeetDeadline(const live_request& live,
                       const target_record& target) const;
  microseconds EstimateWait(const target_record& target, std::size_t ahead,
                            double usable_slots) const;
  std::uint32_t UsableSlots(const target_record& target,
                            const class_name& service_class,
                            class_price price) const;
  void DispatchQueue(target_record* target);
  void RefuseUnmeetable(target_record* target);
  void RefuseQueue(target_record* target, refusal_reason reason);
  void SendRequest(const request_ref& request, target_record* target);
  bool RetryOnOtherTarget(const request_ref& request, target_serial except);

  // Messages and state of targets.
  void HandleAnnouncement(const shard_announcement_received& event);
  void HandleAnswer(const shard_answer_received& event);
  void HandleDisconnect(const target_connection& connection);
  void FinishAttempt(attempt_iterator attempt, assembly_result result);
  void FinishRequest(const request_ref& request, target_serial target,
                     assembly_result result, answer_assembler* parts);
  void UpdateEndedRequest(const attempt_record& attempt, attempt_id id,
                          assembly_result result, answer_assembler* parts);
  void FreeSlot(attempt_iterator attempt);
  void DetachAttempt(attempt_iterator attempt);
  void MarkTargetLost(target_record* target);
  void EraseTarget(target_record* target);
  void MoveQueue(target_record* target);

  // Timers and periodic checks.
  void HandleTick();
  void HandleDeadline(const request_key& key);
  void HandleAttemptTimer(attempt_id id);
  void CheckTargetTimeouts();
  void DetectSuspension();
  void UpdateEarlierOwnerBusy(target_record* target,
                              std::uint32_t reported_busy, bool joined);
  void EraseClosedFlows();
  void RefuseQueuesWhenOut();

  // Answers and log lines.
  request_ref Find(const request_key& key);
  void EndRequest(const request_ref& request, outcome result);
  void EndAllRequests(refusal_reason reason);
  caller_answer BuildAnswer(
      const request_ref& request,
      const std::optional<flow_token>& caller_token) const;
  std::optional<flow_token> BuildToken(
      const flow_record& flow,
      const std::optional<flow_token>& caller_token) const;
  milliseconds RetryAfter(const live_request& live);
  milliseconds AddJitter(milliseconds wait);
  void RefusePacket(const shard_packet_received& event, answer_kind kind,
                    refusal_reason reason);
  void SendAnswer(const caller_address& to, caller_answer answer);
  void SendCancel(const target_record& target, attempt_id attempt);
  void LogDecision(std::string text, flow_id flow = {},
                   request_number request = {});

  shard_settings settings_;
  std::mt19937_64 random_;
  std::uint64_t last_attempt_number_ = 0;
  std::optional<instant> started_;  // Time of the first event.
  bool admitting_ = true;
  flow_table flows_;
  target_table targets_;
  class_load load_;
  std::unordered_map<attempt_id, attempt_record> attempts_;
  std::size_t awaited_attempts_ = 0;  // Attempts that aren't detached.
  timer_queue<request_key> deadlines_;
  // Times at which an attempt becomes overdue, and at which the slot of a
  // detached one is freed.
  timer_queue<attempt_id> attempt_timers_;
  timer_queue<target_serial> wakeups_;  // When to dispatch a target's queue.
  instant next_timeout_check_;
  std::optional<instant> last_event_;  // Time of the latest event.
  bool was_out_ = false;               // view_->out at the latest tick.
  // Flows to erase after the event, unless they have live requests.
  std::vector<flow_id> closing_flows_;
  shard_counters counters_;
  // Valid while an event is processed.
  instant now_;
  const shard_view* view_ = nullptr;
  std::vector<shard_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_
