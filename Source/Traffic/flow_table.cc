#include "Traffic/flow_table.h"

#include <glog/logging.h>

namespace lavendertack {

flow_record* flow_table::Find(flow_id id) {
  auto it = flows_.find(id);
  return it == flows_.end() ? nullptr : &it->second;
}

flow_record* flow_table::Open(flow_id id, std::uint64_t nonce, instant now) {
  CHECK(!full()) << "the table of flows grew past its bound";
  const auto [it, fresh] = flows_.try_emplace(id);
  CHECK(fresh) << "a flow was opened twice";
  flow_record& flow = it->second;
  flow.id = id;
  flow.nonce = nonce;
  flow.last_packet = now;
  LinkNewest(&flow);
  return &flow;
}

void flow_table::Touch(flow_record* flow, instant now) {
  flow->last_packet = now;
  if (newest_ == flow) return;
  Unlink(flow);
  LinkNewest(flow);
}

void flow_table::Erase(flow_record* flow) {
  CHECK_EQ(flow->live, 0U) << "a flow at work was erased";
  for (const auto& [number, record] : flow->records) {
    --records_;
    kept_bytes_ -= record.body.size();
  }
  Unlink(flow);
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
  const auto [it, fresh] = flow->records.try_emplace(number);
  CHECK(fresh) << "a request was recorded twice";
  it->second.live = std::make_unique<live_request>();
  ++flow->live;
  return &it->second;
}

void flow_table::Ended(flow_record* flow, request_number number, instant now) {
  request_record& record = flow->records.at(number);
  if (record.live) {
    record.live.reset();
    --flow->live;
    ++records_;
  }
  record.ended = now;
  kept_bytes_ += record.body.size();
  ended_.push_back({now, {flow->id, number}, flow->nonce});
  BoundFlow(flow);
  while (records_ > kMaxRecords || kept_bytes_ > kMaxKeptBytes) ForgetOldest();
}

void flow_table::ForgetOld(instant now) {
  while (!ended_.empty() && now - ended_.front().when >= kRecordRetention) {
    ForgetOldest();
  }
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

void flow_table::Forget(
    flow_record* flow,
    std::map<request_number, request_record>::iterator record) {
  CHECK(!record->second.live) << "a live request was forgotten";
  --records_;
  kept_bytes_ -= record->second.body.size();
  flow->forgotten.Add(record->first);
  flow->records.erase(record);
}

void flow_table::BoundFlow(flow_record* flow) {
  if (flow->records.size() - flow->live <= kMaxRecordsPerFlow) return;
  for (auto it = flow->records.begin(); it != flow->records.end(); ++it) {
    if (it->second.live) continue;
    Forget(flow, it);
    return;
  }
}

void flow_table::ForgetOldest() {
  const ended_record oldest = ended_.front();
  ended_.pop_front();
  flow_record* flow = Find(oldest.key.flow);
  if (flow == nullptr || flow->nonce != oldest.nonce) return;
  auto it = flow->records.find(oldest.key.number);
  if (it == flow->records.end() || it->second.ended != oldest.when) return;
  Forget(flow, it);
}

}  // namespace lavendertack
