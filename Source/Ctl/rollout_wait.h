// Waits until a ticket is in force, that is, applied, at all live instances.
#ifndef LAVENDERTACK_CTL_ROLLOUT_WAIT_H_
#define LAVENDERTACK_CTL_ROLLOUT_WAIT_H_

#include <string>
#include <vector>

#include "Ctl/commands.h"

namespace lavendertack {

// The instances that have applied a log entry and those that haven't, as
// reported by one instance.
struct rollout_status {
  std::size_t applied = 0;           // Number of instances that applied it.
  std::vector<std::string> pending;  // Alive, but haven't applied it.
  std::vector<std::string> down;     // Not alive, and haven't applied it.
};

// Reads the rollout of log entry `entry` from a response of /v1/status.
rollout_status ParseRolloutStatus(const nlohmann::json& response,
                                  std::uint64_t entry);

// Polls /v1/status until every live instance has applied the entry or
// `wait_timeout` has passed. Prints the result unless the options ask for JSON,
// and returns kExitSuccess or kExitNotInForce.
int WaitForRollout(const command_context& context, std::uint64_t entry);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_ROLLOUT_WAIT_H_
