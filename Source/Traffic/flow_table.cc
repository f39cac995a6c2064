#include "Traffic/flow_table.h"

#include <glog/logging.h>

namespace lavendertack {

flow_record* flow_table::Find(flow_id id) {
  auto it = flows_.find(id);
  return it == flows_.end() ? nullptr : &it->second;
}

flow_record* flow_table::Open(flow_id id, std::uint64_t nonce, instant now) {
  CHECK(!full()) << "a flow was added to a full table";
  const auto [it, inserted] = flows_.try_emplace(id);
  CHECK(inserted) << "a flow was added twice";
  flow_record& flow = it->second;
  flow.id = id;
  flow.nonce = nonce;
  flow.last_packet = now;
  LinkNewest(&flow);
  return &flow;
}

void flow_table::RecordPacket(flow_record* flow, instant now) {
  flow->last_packet = now;
  if (newest_ == flow) return;
  Unlink(flow);
  LinkNewest(flow);
}

void flow_table::Erase(flow_record* flow, instant now) {
  CHECK_EQ(flow->live_requests, 0U) << "a flow with live requests was erased";
  for (const auto& [number, record] : flow->records) {
    --ended_record_count_;
    stored_answer_bytes_ -= record.body.size();
  }
  Unlink(flow);
  if (flow->rebuilt && ended_rebuilt_flows_.insert(flow->id).second) {
    ended_rebuilt_flow_order_.emplace_back(now, flow->id);
    if (ended_rebuilt_flows_.size() > kMaxRecords) DropOldestEndedFlow();
  }
  flows_.erase(flow_id{flow->id});
}

flow_record* flow_table::FindIdle(instant now, seconds idle) {
  if (oldest_ == nullptr || now - oldest_->last_packet <= idle) return nullptr;
  return oldest_;
}

request_record* flow_table::FindRecord(flow_record* flow,
                                       request_number number) {
  auto it = flow->records.find(number);
  return it == flow->records.end() ? nullptr : &it->second;
}

request_record* flow_table::AddRecord(flow_record* flow,
                                      request_number number) {
  const auto [it, inserted] = flow->records.try_emplace(number);
  CHECK(inserted) << "a request got a second record";
  it->second.live = std::make_unique<live_request>();
  ++flow->live_requests;
  return &it->second;
}

void flow_table::RecordEnd(flow_record* flow, request_number number,
                           instant now) {
  request_record& record = flow->records.at(number);
  if (record.live) {
    record.live.reset();
    --flow->live_requests;
    ++ended_record_count_;
  }
  record.ended = now;
  stored_answer_bytes_ += record.body.size();
  ended_records_.push_back({now, {flow->id, number}, flow->nonce});
  LimitFlowRecords(flow);
  while (ended_record_count_ > kMaxRecords ||
         stored_answer_bytes_ > kMaxStoredAnswerBytes) {
    DropOldestRecord();
  }
}

void flow_table::DropExpired(instant now) {
  while (!ended_records_.empty() &&
         now - ended_records_.front().ended >= kRecordRetention) {
    DropOldestRecord();
  }
  while (!ended_rebuilt_flow_order_.empty() &&
         now - ended_rebuilt_flow_order_.front().first >= kRecordRetention) {
    DropOldestEndedFlow();
  }
}

void flow_table::DropOldestEndedFlow() {
  ended_rebuilt_flows_.erase(ended_rebuilt_flow_order_.front().second);
  ended_rebuilt_flow_order_.pop_front();
}

void flow_table::Unlink(flow_record* flow) {
  (flow->older == nullptr ? oldest_ : flow->older->newer) = flow->newer;
  (flow->newer == nullptr ? newest_ : flow->newer->older) = flow->older;
  flow->older = nullptr;
  flow->newer = nullptr;
}

void flow_table::LinkNewest(flow_record* flow) {
  flow->older = newest_;
  (newest_ == nullptr ? oldest_ : newest_->newer) = flow;
  newest_ = flow;
}

void flow_table::DropRecord(
    flow_record* flow,
    std::map<request_number, request_record>::iterator record) {
  CHECK(!record->second.live) << "the record of a live request was dropped";
  --ended_record_count_;
  stored_answer_bytes_ -= record->second.body.size();
  flow->dropped_numbers.Add(record->first);
  flow->records.erase(record);
}

void flow_table::LimitFlowRecords(flow_record* flow) {
  if (flow->records.size() - flow->live_requests <= kMaxRecordsPerFlow) return;
  for (auto it = flow->records.begin(); it != flow->records.end(); ++it) {
    if (it->second.live) continue;
    DropRecord(flow, it);
    return;
  }
}

void flow_table::DropOldestRecord() {
  const ended_record oldest = ended_records_.front();
  ended_records_.pop_front();
  flow_record* flow = Find(oldest.key.flow);
  if (flow == nullptr || flow->nonce != oldest.nonce) return;
  auto it = flow->records.find(oldest.key.number);
  if (it == flow->records.end() || it->second.ended != oldest.ended) return;
  DropRecord(flow, it);
}

}  // namespace lavendertack
