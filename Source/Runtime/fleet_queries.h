// Answers to questions about an entry or control instance: `/metrics` in the
// text exposition format, `/v1/status` and `/v1/targets` in JSON.
#ifndef LAVENDERTACK_RUNTIME_FLEET_QUERIES_H_
#define LAVENDERTACK_RUNTIME_FLEET_QUERIES_H_

#include <cstdint>
#include <map>
#include <string>

#include "Common/latency_histogram.h"
#include "Control/control_instance.h"
#include "Entry/entry_instance.h"
#include "EventLog/event_log.h"
#include "Runtime/admin_queue.h"
#include "Runtime/fleet_links.h"

namespace lavendertack {

// Counted by the loop of an entry instance.
struct entry_counts {
  std::map<forward_reason, std::uint64_t> packets;
  std::uint64_t malformed = 0;
  std::uint64_t unaddressable = 0;  // The target's id is no number.
  std::uint64_t unsent = 0;
};

// Counted by the loop of a control instance.
struct control_counts {
  std::map<std::string, std::uint64_t> orders;  // By result.
  latency_histogram order_latency;
  std::map<target_phase, std::uint64_t> reports;  // That changed something.
  std::uint64_t refused_calls = 0;
};

struct entry_query_view {
  const entry_instance& entry;
  const entry_counts& counts;
  const event_log& log;
  const fleet_links& links;
  std::string instance;
  instant now;
};
struct control_query_view {
  const control_instance& control;
  const control_counts& counts;
  const event_log& log;
  const fleet_links& links;
  std::string instance;
  instant now;
};

http_answer AnswerEntryQuery(const entry_query_view& view,
                             const std::string& path);
http_answer AnswerControlQuery(const control_query_view& view,
                               const std::string& path);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_FLEET_QUERIES_H_
