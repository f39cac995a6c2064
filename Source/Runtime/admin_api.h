// Responses of the administration API: queries answered from the state of the
// instance, and results of submitted tickets.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_API_H_
#define LAVENDERTACK_RUNTIME_ADMIN_API_H_

#include <optional>

#include "Node/node.h"
#include "Runtime/decision_log.h"
#include "Runtime/metrics.h"
#include "Runtime/request_queue.h"

namespace lavendertack {

// Read-only state that queries are answered from.
struct admin_view {
  const node& state;
  const decision_log& decisions;
  const metrics& counts;
  metric_totals totals;
  instant now;
  bool stopping = false;
};

// An instance that lags behind the newest known log entry by more entries than
// this isn't ready.
inline constexpr std::uint64_t kMaxEntriesBehindWhenReady = 8;

// Most flows listed per service.
inline constexpr std::size_t kMaxListedFlows = 1000;

// Answers a GET request. The paths are listed in docs/API.md.
http_response AnswerQuery(const admin_view& view, const std::string& path);

// Returns the response to a submitted ticket: 200 accepted, 409 conflict or
// outdated, 422 invalid, 503 undecided.
http_response DescribeOutcome(const ticket_outcome& outcome);
// Returns the response to a ticket that can't be parsed: 400 with the list of
// errors.
http_response DescribeTicketErrors(const std::vector<ticket_error>& errors);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_API_H_
