// Answers the operators' requests from the state of the instance.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_API_H_
#define LAVENDERTACK_RUNTIME_ADMIN_API_H_

#include "Node/node.h"
#include "Runtime/admin_queue.h"

namespace lavendertack {

http_answer DescribeStatus(const node& state, instant now);
http_answer DescribeTargets(const node& state);
http_answer DescribeTickets(const node& state);
http_answer DescribeOutcome(const ticket_outcome& outcome);
http_answer DescribeTicketErrors(const std::vector<ticket_error>& errors);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_API_H_
