// Operators' changes of the voters, from the request to the answer. The answer
// "done" waits until a majority of the new voters holds the change, so that
// the loss of one more disk right after it is survived.
#ifndef LAVENDERTACK_NODE_REPLICA_CHANGES_H_
#define LAVENDERTACK_NODE_REPLICA_CHANGES_H_

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "Agreement/agreement.h"
#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Directory/log_entry.h"
#include "Node/ticket_relay.h"

namespace lavendertack {

// Event: voter `removed` leaves, `added` enters with the disk that it has now.
// An empty name means none; equal names mean the same instance with a new disk.
// Only a voting replica takes it. A resend is idempotent.
struct replica_change_submitted {
  admin_request request;
  instance_name removed;
  instance_name added;
};

// In force by the entry at `index` at the latest, and safe.
struct replica_change_done {
  log_index index;
};
// Nothing was changed.
struct replica_change_refused {
  std::string reason;
};
// Not known yet; a resend is safe.
struct replica_change_undecided {};
using replica_change_outcome =
    std::variant<replica_change_done, replica_change_refused,
                 replica_change_undecided>;

// Effect.
struct answer_replica_change {
  admin_request request;
  replica_change_outcome outcome;
};

class replica_changes {
 public:
  void Proposed(admin_request request, proposal_id id,
                const replica_change& change);
  // In force by the entry at `index`, not yet known to be held by a majority.
  void InForce(instant now, admin_request request, log_index index);
  bool Contains(proposal_id id) const { return proposed_.contains(id); }
  const replica_change& At(proposal_id id) const;
  // Ends the proposal; the request that made it.
  admin_request Take(proposal_id id);
  // Answers what is held, and what took too long.
  std::vector<answer_replica_change> Tick(
      instant now, const std::function<bool(log_index)>& is_held);

 private:
  struct proposal {
    admin_request request;
    replica_change change;
  };
  struct unconfirmed {
    log_index index;
    instant give_up;
  };

  std::map<proposal_id, proposal> proposed_;
  std::map<admin_request, unconfirmed> unconfirmed_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_REPLICA_CHANGES_H_
