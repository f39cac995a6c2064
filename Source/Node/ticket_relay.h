// Relays tickets from an instance that doesn't vote to a replica, and returns
// the replica's result. If a replica doesn't answer, the same bytes are
// sent to the next one: a resend is idempotent.
#ifndef LAVENDERTACK_NODE_TICKET_RELAY_H_
#define LAVENDERTACK_NODE_TICKET_RELAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Directory/directory.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Identifies an operator's request within the process.
using admin_request_id = strong_type<struct admin_request_tag, std::uint64_t>;

struct ticket_undecided {};  // Outcome unknown; a resend is safe.
using ticket_outcome = std::variant<ticket_result, ticket_undecided>;

// Effect: answers the operator's request.
struct answer_ticket {
  admin_request_id request;
  ticket_outcome outcome;
};

// Effect: sends the ticket to a replica.
struct relay_ticket {
  instance_name to;
  wire::ticket_ask message;
};
using relay_effect = std::variant<relay_ticket, answer_ticket>;

// Time to wait for one replica before the next one is tried.
inline constexpr milliseconds kRelayAttemptTimeout{2000};
// Time limit for the whole request; after it the outcome is ticket_undecided.
inline constexpr milliseconds kRelayTimeout{8000};

class ticket_relay {
 public:
  // Ids count up from `first_id`, which differs for each start of the process.
  // Late replies to an earlier process therefore match no pending ticket.
  explicit ticket_relay(std::uint64_t first_id) : next_id_(first_id) {}

  // `replicas` is in order of preference, in each function. Without replicas,
  // the ticket is answered with ticket_undecided immediately.
  std::vector<relay_effect> Submit(instant now, admin_request_id request,
                                   const change_ticket& ticket,
                                   const std::vector<instance_name>& replicas);
  // Handles a replica's reply. After ticket_undecided the ticket is sent to the
  // next replica.
  std::vector<relay_effect> Receive(instant now,
                                    const wire::ticket_reply& reply,
                                    const std::vector<instance_name>& replicas);
  // Sends tickets to the next replica after kRelayAttemptTimeout, and answers
  // them with ticket_undecided after kRelayTimeout.
  std::vector<relay_effect> Tick(instant now,
                                 const std::vector<instance_name>& replicas);

 private:
  struct pending_ticket {
    admin_request_id request;
    std::string entry;
    std::size_t attempts = 0;
    instant next_attempt_at;
    instant deadline;
  };

  relay_effect SendToNextReplica(instant now, std::uint64_t id,
                                 pending_ticket* ticket,
                                 const std::vector<instance_name>& replicas);

  std::uint64_t next_id_;
  std::map<std::uint64_t, pending_ticket> pending_;
};

// The reply to the relayed ticket with this `id`. ticket_undecided sets no
// outcome.
wire::ticket_reply EncodeOutcome(std::uint64_t id,
                                 const ticket_outcome& outcome);
// A reply without a valid result gives ticket_undecided.
ticket_outcome DecodeOutcome(const wire::ticket_reply& reply);

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_TICKET_RELAY_H_
