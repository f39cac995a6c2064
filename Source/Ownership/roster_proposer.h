// Proposes roster changes; runs on the control replicas. It adds instances that
// are reachable and caught up, and removes those that have timed out or that
// are leaving. Any replica may propose: of two proposals that are based on the
// same roster, the first one in the agreed log is accepted.
#ifndef LAVENDERTACK_OWNERSHIP_ROSTER_PROPOSER_H_
#define LAVENDERTACK_OWNERSHIP_ROSTER_PROPOSER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "Ownership/claim_round.h"
#include "Ownership/roster_registry.h"

namespace lavendertack {

// Status of an instance as seen by this replica.
enum class instance_status {
  kUndetermined,  // Unreachable but not timed out yet, or not caught up yet.
  kReady,         // Reachable and caught up.
  kSilent,        // Unreachable for longer than a restart takes.
  kLeaving,       // Announced its shutdown.
};

// Constant parameters of a proposer.
struct roster_proposer_settings {
  instance_name self;
  std::uint64_t incarnation = 0;     // Below 2^38.
  std::set<instance_name> replicas;  // All control replicas.
  // All configured instances of each data centre.
  std::map<data_centre_name, std::set<instance_name>> instances;
  std::uint64_t seed = 0;  // For the random proposal delays.
};

// State of the rest of the instance that the proposer reads.
struct roster_proposer_view {
  const roster_registry& rosters;
  std::function<instance_status(const instance_name&)> status_of;
};

// Effect: propose `change` as an entry of the agreed log.
struct propose_roster {
  roster_change change;
};
using roster_proposer_effect =
    std::variant<send_ownership_message, propose_roster>;

// State machine of the proposals of one control replica.
class roster_proposer {
 public:
  explicit roster_proposer(roster_proposer_settings settings);

  // Returns the claims and proposals that are due. A change is proposed only
  // once the answers to the claims show that no owner can renew a lease for the
  // roster before the current one. Must be called only while this replica is
  // caught up.
  std::vector<roster_proposer_effect> Tick(instant now,
                                           const roster_proposer_view& view);
  // Handles an answer to one of its claims; other answers are ignored.
  void Receive(const instance_name& from,
               const wire::ownership_message& message);

 private:
  // A change that isn't in the agreed log yet.
  struct pending_change {
    roster_change change;
    claim_round round;  // Confirms the roster that the change is based on.
    instant propose_at;
  };

  // The change that the statuses of the instances require; nullopt if none.
  std::optional<roster_change> DesiredChange(
      const data_centre_name& name, const roster_proposer_view& view) const;
  // Whether no lease for the roster before `current` can be renewed any more.
  bool IsPredecessorClosed(const roster& current,
                           const claim_round& round) const;
  claim_round StartRound(const data_centre_name& name, log_index index);
  microseconds RandomJitter();

  roster_proposer_settings settings_;
  std::mt19937_64 random_;
  std::uint64_t last_round_;  // Number of the latest claim round.
  std::optional<instant> first_tick_;
  std::map<data_centre_name, pending_change> pending_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_ROSTER_PROPOSER_H_
