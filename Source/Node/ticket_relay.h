// Passes tickets that were submitted to an instance without a vote on to a
// replica, and the replica's verdict back. A replica that doesn't answer is
// followed by the next one with the same bytes: a resend is idempotent.
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

// Number of an operator's request within the process.
using admin_request = strong_type<struct admin_request_tag, std::uint64_t>;

struct ticket_undecided {};  // No quorum answered; a resend is safe.
using ticket_outcome = std::variant<ticket_result, ticket_undecided>;

struct answer_ticket {
  admin_request request;
  ticket_outcome outcome;
};

// Effects.
struct relay_ticket {
  instance_name to;
  wire::ticket_ask message;
};
using relay_effect = std::variant<relay_ticket, answer_ticket>;

// Wait for one replica before the next one is asked.
inline constexpr milliseconds kRelayTryTimeout{2000};
// Longest wait for any verdict.
inline constexpr milliseconds kRelayTimeout{8000};

class ticket_relay {
 public:
  // `first_id` tells this life of the process from earlier ones.
  explicit ticket_relay(std::uint64_t first_id) : next_id_(first_id) {}

  // `replicas`: those that are thought to answer come first.
  std::vector<relay_effect> Submit(instant now, admin_request request,
                                   const change_ticket& ticket,
                                   const std::vector<instance_name>& replicas);
  std::vector<relay_effect> Receive(instant now,
                                    const wire::ticket_reply& reply,
                                    const std::vector<instance_name>& replicas);
  std::vector<relay_effect> Tick(instant now,
                                 const std::vector<instance_name>& replicas);

 private:
  struct pending {
    admin_request request;
    std::string entry;
    std::size_t tries = 0;
    instant next_try;
    instant give_up;
  };

  relay_effect TryNext(instant now, std::uint64_t id, pending* ticket,
                       const std::vector<instance_name>& replicas);

  std::uint64_t next_id_;
  std::map<std::uint64_t, pending> pending_;
};

wire::ticket_reply EncodeOutcome(std::uint64_t id,
                                 const ticket_outcome& outcome);
// Anything that is no verdict leaves the outcome open.
ticket_outcome DecodeOutcome(const wire::ticket_reply& reply);

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_TICKET_RELAY_H_
