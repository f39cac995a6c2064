// Waits for a ticket to be in force everywhere.
#ifndef LAVENDERTACK_CTL_FORCE_WAIT_H_
#define LAVENDERTACK_CTL_FORCE_WAIT_H_

#include <string>
#include <vector>

#include "Ctl/verbs.h"

namespace lavendertack {

// Who has applied an entry, as one instance sees it.
struct force_state {
  std::size_t in_force = 0;
  std::vector<std::string> behind;  // They answer, but haven't applied it.
  std::vector<std::string> away;    // They don't answer.
};

// Reads the answer of /v1/status.
force_state ForceStateOf(const nlohmann::json& status, std::uint64_t entry);

// Asks until nobody is behind or the options' wait is over. Returns an exit
// code, and prints what it came to unless the options ask for JSON.
int WaitUntilInForce(const verb_context& context, std::uint64_t entry);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_FORCE_WAIT_H_
