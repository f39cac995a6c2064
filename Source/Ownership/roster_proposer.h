// Proposes changes of the rosters; runs on the control replicas. It adds an
// instance that is heard and caught up, and removes one that was silent for
// long or that leaves. Any replica may propose: of two proposals that are
// based on the same roster the agreed log lets the first one count.
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

// What the replica knows of an instance.
enum class instance_status {
  kUndetermined,  // Not heard, but not for long; or not caught up yet.
  kReady,         // Heard and caught up.
  kSilent,        // Not heard for longer than a restart takes.
  kLeaving,       // It announced that it stops.
};

struct roster_proposer_settings {
  instance_name self;
  std::uint64_t incarnation = 0;  // Below 2^38.
  std::set<instance_name> replicas;
  std::map<data_centre_name, std::set<instance_name>> instances;
  std::uint64_t seed = 0;  // For the delays of proposers.
};

struct roster_proposer_view {
  const roster_registry& rosters;
  std::function<instance_status(const instance_name&)> status_of;
};

struct propose_roster {
  roster_change change;
};
using roster_proposer_effect =
    std::variant<send_ownership_message, propose_roster>;

class roster_proposer {
 public:
  explicit roster_proposer(roster_proposer_settings settings);

  std::vector<roster_proposer_effect> Tick(instant now,
                                           const roster_proposer_view& view);
  // An answer to one of its claims; others are passed over.
  void Receive(const instance_name& from,
               const wire::ownership_message& message);

 private:
  // A change that is on its way.
  struct intent {
    roster_change change;
    claim_round round;
    instant propose_at;
  };

  std::optional<roster_change> Wanted(const data_centre_name& name,
                                      const roster_proposer_view& view) const;
  bool PredecessorClosed(const roster& present, const claim_round& round) const;
  claim_round NewRound(const data_centre_name& name, log_index index);
  microseconds Jitter();

  roster_proposer_settings settings_;
  std::mt19937_64 random_;
  std::uint64_t rounds_;
  std::optional<instant> started_;
  std::map<data_centre_name, intent> intents_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_ROSTER_PROPOSER_H_
