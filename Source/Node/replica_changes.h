// Tracks operators' changes of the voters from the request to the answer. A
// change counts as done only when a majority of the new voters has stored it,
// so that the loss of one more disk right after the answer does no harm.
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

// Event: an operator asks to remove the voter `removed` and to add `added` with
// its current storage id. An empty name means none; equal names mean the same
// instance with a new disk. Only a voting replica accepts it. A resend is
// idempotent.
struct replica_change_submitted {
  admin_request_id request;
  instance_name removed;
  instance_name added;
};

// The change is in effect as of the entry at `index` or an earlier one, and a
// majority of the new voters has stored it.
struct replica_change_done {
  log_index index;
};
// The change isn't made; `reason` is for the operator.
struct replica_change_refused {
  std::string reason;
};
// The outcome is unknown; a resend is safe.
struct replica_change_undecided {};
using replica_change_outcome =
    std::variant<replica_change_done, replica_change_refused,
                 replica_change_undecided>;

// Effect: answers the operator's request.
struct answer_replica_change {
  admin_request_id request;
  replica_change_outcome outcome;
};

class replica_changes {
 public:
  // Starts tracking a change that was proposed as `id`.
  void AddProposal(admin_request_id request, proposal_id id,
                   const replica_change& change);
  // The change is in effect as of the entry at `index`. Its request is answered
  // by Tick when a majority has stored the entry.
  void AwaitConfirmation(instant now, admin_request_id request,
                         log_index index);
  bool Contains(proposal_id id) const { return proposals_.contains(id); }
  // Returns the change that was proposed as `id`. The proposal must exist.
  const replica_change& ChangeOf(proposal_id id) const;
  // Removes the proposal, which must exist, and returns its request.
  admin_request_id RemoveProposal(proposal_id id);
  // Returns the answers to the requests whose entry a majority has stored, or
  // whose wait for a majority has timed out. `is_held_by_majority` returns
  // whether a majority of the voters has stored the entry at an index.
  std::vector<answer_replica_change> Tick(
      instant now, const std::function<bool(log_index)>& is_held_by_majority);

 private:
  struct proposal {
    admin_request_id request;
    replica_change change;
  };
  struct unconfirmed_change {
    log_index index;
    instant deadline;
  };

  std::map<proposal_id, proposal> proposals_;
  std::map<admin_request_id, unconfirmed_change> unconfirmed_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_REPLICA_CHANGES_H_
