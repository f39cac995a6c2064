// The open flows of one service in one data centre, and the record of each of
// their requests. Everything is bounded: records by flow, by age, by number
// and by the bytes of the answers kept; flows by number and by idle time.
#ifndef LAVENDERTACK_TRAFFIC_FLOW_TABLE_H_
#define LAVENDERTACK_TRAFFIC_FLOW_TABLE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "Traffic/class_queue.h"
#include "Traffic/messages.h"
#include "Traffic/number_set.h"

namespace lavendertack {

// Most open flows of one shard.
inline constexpr std::size_t kMaxFlows = 2'000'000;
// Most requests of one flow that wait or run at a time.
inline constexpr std::uint32_t kMaxLivePerFlow = 16;
// Most records of ended requests of one flow, and of one shard.
inline constexpr std::size_t kMaxRecordsPerFlow = 64;
inline constexpr std::size_t kMaxRecords = 1'000'000;
// Most bytes of kept answers of one shard.
inline constexpr std::size_t kMaxKeptBytes = 256U << 20;
// How long the record of an ended request is kept: longer than the longest
// deadline, so that a resend within its deadline finds it.
inline constexpr seconds kRecordRetention{120};

// Identity of one life of a target within a shard; 0 is none.
using target_serial = strong_type<struct target_serial_tag, std::uint64_t>;

// A request that has no final answer yet.
struct live_request {
  run_request request;
  class_price price;
  caller_address caller;
  std::optional<flow_token> token;  // That it came with.
  instant deadline;
  target_serial target;  // Where it waits or runs.
  bool running = false;
  bool may_have_run = false;  // Sent, and no target said that it didn't run.
  // An earlier sending may have run it.
  bool earlier_unknown = false;
  std::uint32_t sends = 0;
};

// What became of a request. Its answer is the same for every resend, but for
// a late answer of the target, which turns an unknown outcome into a known.
struct request_record {
  std::unique_ptr<live_request> live;  // Null once it has ended.
  answer_kind kind = answer_kind::kNotRun;
  refusal_reason reason = refusal_reason::kNone;
  milliseconds come_back{0};
  attempt_id attempt;            // The latest sending.
  bool earlier_unknown = false;  // A sending before that one may have run.
  instant ended;
  std::string body;
};

struct flow_record {
  flow_id id;
  std::uint64_t nonce = 0;
  target_serial target;
  instant last_packet;
  std::uint32_t live = 0;  // Requests without a final answer.
  bool closing = false;    // To be erased when none is live.
  bool rebuilt = false;    // Opened by an owner of an earlier epoch.
  // The highest number that came with a token of an earlier epoch.
  request_number suspect;
  std::map<request_number, request_record> records;
  number_set forgotten;  // Numbers whose records are no longer kept.
  // Neighbours in the order of the last packet.
  flow_record* older = nullptr;
  flow_record* newer = nullptr;
};

class flow_table {
 public:
  flow_record* Find(flow_id id);
  flow_record* Open(flow_id id, std::uint64_t nonce, instant now);
  // Notes a packet of the flow.
  void Touch(flow_record* flow, instant now);
  // No request of it may be live.
  void Erase(flow_record* flow, instant now);
  // True when a flow that was rebuilt from an earlier owner's token ended less
  // than kRecordRetention ago. A late packet must not rebuild it again: its
  // records are gone.
  bool EndedLately(flow_id id) const { return ended_flows_.contains(id); }
  // A flow that had no packet for `idle`, or null.
  flow_record* FindIdle(instant now, seconds idle);

  request_record* FindRecord(flow_record* flow, request_number number);
  request_record* AddRecord(flow_record* flow, request_number number);
  // The record has got its answer, or another one.
  void Ended(flow_record* flow, request_number number, instant now);
  // Forgets the records whose time is over.
  void ForgetOld(instant now);

  std::size_t size() const { return flows_.size(); }
  const std::unordered_map<flow_id, flow_record>& all() const { return flows_; }
  bool full() const { return flows_.size() >= kMaxFlows; }
  std::size_t kept_records() const { return records_; }
  std::size_t kept_bytes() const { return kept_bytes_; }

 private:
  // A record in the order of ending. It may be gone or have changed since.
  struct ended_record {
    instant when;
    request_key key;
    std::uint64_t nonce;
  };

  void Unlink(flow_record* flow);
  void LinkNewest(flow_record* flow);
  void Forget(flow_record* flow,
              std::map<request_number, request_record>::iterator record);
  void BoundFlow(flow_record* flow);
  void ForgetOldest();
  void ForgetOldestFlow();

  std::unordered_map<flow_id, flow_record> flows_;
  flow_record* oldest_ = nullptr;
  flow_record* newest_ = nullptr;
  std::deque<ended_record> ended_;
  std::unordered_set<flow_id> ended_flows_;  // Rebuilt ones.
  std::deque<std::pair<instant, flow_id>> ended_flow_order_;
  std::size_t records_ = 0;     // Ended ones.
  std::size_t kept_bytes_ = 0;  // Of their answers.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_FLOW_TABLE_H_
