// Answers the operators' requests from the state of the instance.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_API_H_
#define LAVENDERTACK_RUNTIME_ADMIN_API_H_

#include <optional>

#include "Node/node.h"
#include "Runtime/admin_queue.h"
#include "Runtime/decision_log.h"
#include "Runtime/metrics.h"

namespace lavendertack {

// What queries are answered from.
struct admin_view {
  const node& state;
  const decision_log& decisions;
  const metrics& counts;
  metric_totals totals;
  instant now;
  bool stopping = false;
};

// An instance that is behind by more entries isn't ready.
inline constexpr std::uint64_t kReadyWithinEntries = 8;

// Answers a GET request; every path of docs/API.md.
http_answer AnswerQuery(const admin_view& view, const std::string& path);

http_answer DescribeOutcome(const ticket_outcome& outcome);
http_answer DescribeTicketErrors(const std::vector<ticket_error>& errors);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_API_H_
