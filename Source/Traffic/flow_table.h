// Open flows of one service in one data centre, with a record of each of their
// requests. The size of the table is bounded: the records by their number per
// flow and in total, by their age and by the bytes of their answers, and the
// flows by their number and idle time.
#ifndef LAVENDERTACK_TRAFFIC_FLOW_TABLE_H_
#define LAVENDERTACK_TRAFFIC_FLOW_TABLE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "Traffic/messages.h"
#include "Traffic/number_set.h"
#include "Traffic/request_priority_queue.h"

namespace lavendertack {

// Most open flows of one shard.
inline constexpr std::size_t kMaxFlows = 2'000'000;
// Most requests of one flow that wait or run at the same time.
inline constexpr std::uint32_t kMaxLivePerFlow = 16;
// Most records of ended requests of one flow.
inline constexpr std::size_t kMaxRecordsPerFlow = 64;
// Most records of ended requests of one shard.
inline constexpr std::size_t kMaxRecords = 1'000'000;
// Most bytes of stored answers of one shard.
inline constexpr std::size_t kMaxStoredAnswerBytes = 256U << 20;
// How long the record of an ended request is kept. Longer than the longest
// deadline, so that a resend within its deadline finds the record.
inline constexpr seconds kRecordRetention{120};

// Identifies one incarnation of a target within a shard; 0 is none.
using target_serial = strong_type<struct target_serial_tag, std::uint64_t>;

// A request that has no final answer yet.
struct live_request {
  run_request request;
  class_price price;
  caller_address caller;
  std::optional<flow_token> token;  // From the packet with the request.
  instant deadline;
  target_serial target;  // Target that it waits for or runs at.
  bool running = false;
  // The latest attempt was sent, and its target hasn't reported that the
  // request didn't run.
  bool may_have_run = false;
  // An attempt before the latest one may have run the request.
  bool earlier_may_have_run = false;
  std::uint32_t attempts = 0;  // Attempts sent so far.
};

// A live request, or the final answer of an ended one. Every resend gets the
// same answer, except that a late answer of the target replaces an unknown
// outcome.
struct request_record {
  std::unique_ptr<live_request> live;  // Null once the request has ended.
  answer_kind kind = answer_kind::kNotRun;
  refusal_reason reason = refusal_reason::kNone;
  milliseconds retry_after{0};  // Retry-after interval of a refusal.
  attempt_id attempt;           // The latest attempt.
  // An attempt before the latest one may have run the request.
  bool earlier_may_have_run = false;
  instant ended;
  std::string body;
};

// An open flow.
struct flow_record {
  flow_id id;
  std::uint64_t nonce = 0;  // Distinguishes flows that reuse an id.
  target_serial target;     // Target that the flow is pinned to.
  instant last_packet;
  std::uint32_t live_requests = 0;  // Requests without a final answer.
  bool closing = false;             // To be erased once no request is live.
  bool rebuilt = false;             // Rebuilt from a token of an earlier epoch.
  // Highest request number received with a token of an earlier epoch.
  request_number max_earlier_epoch_number;
  std::map<request_number, request_record> records;
  // Numbers of the ended requests whose records were dropped.
  number_set dropped_numbers;
  // Neighbours in the list of all flows, which is ordered by `last_packet`.
  flow_record* older = nullptr;
  flow_record* newer = nullptr;
};

// Owns the open flows and their records. Pointers to them stay valid until the
// flow is erased or the record is dropped.
class flow_table {
 public:
  // Null when the flow isn't open.
  flow_record* Find(flow_id id);
  // Adds a flow. The table must not be full, nor contain the flow.
  flow_record* Open(flow_id id, std::uint64_t nonce, instant now);
  // Restarts the idle time of a flow, because a packet of it was received.
  void RecordPacket(flow_record* flow, instant now);
  // Removes a flow, none of whose requests may be live.
  void Erase(flow_record* flow, instant now);
  // True for a flow that was rebuilt from a token of an earlier epoch and was
  // erased less than kRecordRetention ago. A late packet must not rebuild it
  // again, because its records no longer exist.
  bool EndedWithinRetention(flow_id id) const {
    return ended_rebuilt_flows_.contains(id);
  }
  // The flow that has been idle for longest, if that is longer than `idle`;
  // otherwise null.
  flow_record* FindIdle(instant now, seconds idle);

  // Null when the flow has no record of the request.
  request_record* FindRecord(flow_record* flow, request_number number);
  // Adds the record of a new, live request.
  request_record* AddRecord(flow_record* flow, request_number number);
  // Ends a request whose record now holds its answer. Called again when a late
  // answer replaces the first one.
  void RecordEnd(flow_record* flow, request_number number, instant now);
  // Drops the records of requests that ended at least kRecordRetention ago.
  void DropExpired(instant now);

  // Number of open flows.
  std::size_t size() const { return flows_.size(); }
  const std::unordered_map<flow_id, flow_record>& flows() const {
    return flows_;
  }
  bool full() const { return flows_.size() >= kMaxFlows; }
  // Number of records of ended requests, and the bytes of their answers.
  std::size_t ended_record_count() const { return ended_record_count_; }
  std::size_t stored_answer_bytes() const { return stored_answer_bytes_; }

 private:
  // Entry of the queue of ended requests. The entry is stale if the record was
  // dropped, or got another answer and thereby a newer entry.
  struct ended_record {
    instant ended;
    request_key key;
    std::uint64_t nonce;
  };

  void Unlink(flow_record* flow);
  void LinkNewest(flow_record* flow);
  void DropRecord(flow_record* flow,
                  std::map<request_number, request_record>::iterator record);
  void LimitFlowRecords(flow_record* flow);
  void DropOldestRecord();
  void DropOldestEndedFlow();

  std::unordered_map<flow_id, flow_record> flows_;
  flow_record* oldest_ = nullptr;
  flow_record* newest_ = nullptr;
  std::deque<ended_record> ended_records_;  // Oldest first.
  // Rebuilt flows erased within the last kRecordRetention, at most kMaxRecords
  // of them; the deque holds them in the order in which they were erased.
  std::unordered_set<flow_id> ended_rebuilt_flows_;
  std::deque<std::pair<instant, flow_id>> ended_rebuilt_flow_order_;
  std::size_t ended_record_count_ = 0;
  std::size_t stored_answer_bytes_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_FLOW_TABLE_H_
