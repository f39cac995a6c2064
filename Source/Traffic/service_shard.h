// One service in one data centre, as the instance in charge of it runs it:
// its targets, their slots and connections, its open flows, the queues by
// class, and the record of every request. A single owner keeps all of it, so
// limits are exact and a request that may not be repeated runs at most once.
#ifndef LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_
#define LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Traffic/answer_parts.h"
#include "Traffic/class_load.h"
#include "Traffic/flow_table.h"
#include "Traffic/messages.h"
#include "Traffic/shard_events.h"
#include "Traffic/target_table.h"
#include "Traffic/timer_queue.h"

namespace lavendertack {

// A target that says nothing for so long gets no more packets.
inline constexpr milliseconds kTargetSilence{3000};
// When a caller may come back whose refusal has no queue behind it.
inline constexpr milliseconds kComeBack{250};
// A silent target's running requests are remembered for so long.
inline constexpr seconds kLostRetention{60};
// The slot of a request that the target never answers is free again after it.
inline constexpr seconds kSlotHold{60};
// A new shard waits so long for a flow's own target to announce itself.
inline constexpr milliseconds kLearnTime{1000};
// Most sendings of one repeatable request.
inline constexpr std::uint32_t kMaxSends = 3;

class service_shard {
 public:
  explicit service_shard(shard_settings settings);

  std::vector<shard_effect> Reduce(instant now, const shard_view& view,
                                   const shard_event& event);

  shard_load Load() const;
  const shard_counters& counters() const { return counters_; }
  std::size_t flow_count() const { return flows_.size(); }
  // At most `limit` open flows, in no order.
  std::vector<flow_summary> Flows(std::size_t limit) const;
  // Requests sent to targets whose callers still wait. A shard that has
  // stopped admitting may be dropped when there are none.
  std::size_t running_requests() const { return running_; }
  bool admitting() const { return admitting_; }
  const std::map<target_name, target_record>& targets() const {
    return targets_.all();
  }
  // Fails when the parts contradict each other. Runs in O(targets).
  void CheckConsistency() const;

 private:
  // One sending of a request.
  struct attempt_record {
    request_key key;
    std::uint64_t nonce = 0;  // Of the flow.
    target_serial target;
    class_name service_class;
    instant started;
    bool overdue = false;
    bool given_up = false;  // The caller has its answer already.
    answer_parts parts;
  };
  using attempt_iterator =
      std::unordered_map<attempt_id, attempt_record>::iterator;
  // A request with what belongs to it.
  struct request_ref {
    flow_record* flow;
    request_number number;
    request_record* record;
    request_key key() const { return {flow->id, number}; }
  };
  struct outcome {
    answer_kind kind = answer_kind::kNotRun;
    refusal_reason reason = refusal_reason::kNone;
    std::string body;
  };

  // Callers.
  void HandlePacket(const shard_packet& event);
  void HandleOpen(const shard_packet& event);
  void HandleRequest(const shard_packet& event, flow_record* flow);
  void HandleCancel(const shard_packet& event, flow_record* flow);
  void HandleClose(flow_record* flow);
  flow_record* FindOrRebuildFlow(const shard_packet& event);
  void RefuseUnknownFlow(const shard_packet& event);
  bool AnswerFromRecord(const shard_packet& event, flow_record* flow,
                        request_number number);
  std::optional<outcome> CheckRequest(const shard_packet& event,
                                      flow_record* flow) const;
  target_record* PlaceFlow(flow_record* flow,
                           const std::optional<flow_token>& token);
  target_record* MoveFlow(flow_record* flow, target_record* from);
  void PinFlow(flow_record* flow, target_record* target);

  // Admission.
  void Admit(const request_ref& request, target_record* target);
  bool MeetsDeadline(const live_request& live,
                     const target_record& target) const;
  microseconds EstimateWait(const target_record& target, std::size_t ahead,
                            double usable) const;
  std::uint32_t UsableSlots(const target_record& target,
                            const class_name& service_class,
                            class_price price) const;
  void ServeQueue(target_record* target);
  void RefuseHopeless(target_record* target);
  void RefuseQueue(target_record* target, refusal_reason reason);
  void Run(const request_ref& request, target_record* target);
  bool RetryElsewhere(const request_ref& request, target_serial except);

  // Targets.
  void HandleAnnounced(const shard_announced& event);
  void HandleAnswered(const shard_answered& event);
  void HandleDisconnected(const target_connection& connection);
  void FinishAttempt(attempt_iterator attempt, parts_verdict verdict);
  void FinishRequest(const request_ref& request, target_serial target,
                     parts_verdict verdict, answer_parts* parts);
  void UpdateEnded(const attempt_record& attempt, attempt_id id,
                   parts_verdict verdict, answer_parts* parts);
  void FreeSlot(attempt_iterator attempt);
  void GiveUp(attempt_iterator attempt);
  void LoseTarget(target_record* target);
  void EraseTarget(target_record* target);
  void MoveQueue(target_record* target);

  // Time.
  void HandleTick();
  void HandleDeadline(const request_key& key);
  void HandleOverdue(attempt_id id);
  void CheckSilence();
  void NoteSuspension();
  void CountInherited(target_record* target, std::uint32_t reported_busy,
                      bool joined);
  void EraseClosedFlows();
  void FlushWhenOut();

  request_ref Find(const request_key& key);
  void EndRequest(const request_ref& request, outcome result);
  caller_answer AnswerOf(const request_ref& request,
                         const std::optional<flow_token>& seen) const;
  std::optional<flow_token> TokenOf(
      const flow_record& flow, const std::optional<flow_token>& seen) const;
  milliseconds ComeBack(const live_request& live);
  milliseconds Spread(milliseconds wait);
  void RefusePacket(const shard_packet& event, answer_kind kind,
                    refusal_reason reason);
  void Answer(const caller_address& to, caller_answer answer);
  void Cancel(const target_record& target, attempt_id attempt);
  void Note(std::string text, flow_id flow = {}, request_number request = {});

  shard_settings settings_;
  std::mt19937_64 random_;
  std::uint64_t attempt_numbers_ = 0;
  std::optional<instant> started_;
  bool admitting_ = true;
  flow_table flows_;
  target_table targets_;
  class_load load_;
  std::unordered_map<attempt_id, attempt_record> attempts_;
  std::size_t running_ = 0;  // Attempts that aren't given up.
  timer_queue<request_key> deadlines_;
  timer_queue<attempt_id> overdue_;
  timer_queue<target_serial> wakeups_;
  instant next_silence_check_;
  std::optional<instant> last_event_;
  bool was_out_ = false;
  std::vector<flow_id> closed_;  // Flows to look at when the event is done.
  shard_counters counters_;
  // For the event that is being reduced.
  instant now_;
  const shard_view* view_ = nullptr;
  std::vector<shard_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_SERVICE_SHARD_H_
