// Confirms in two steps that a roster is durable and that no other instance
// still acts under an earlier one:
//   1. A majority of the control replicas reports that it has applied the
//      roster's log entry.
//   2. The other instances report that they have applied it too, and which of
//      the claimed services they still hold.
// The order matters: an instance that restarts after step 1 catches up from a
// majority of the replicas, so its answer in step 2 remains true after a
// restart.
#ifndef LAVENDERTACK_OWNERSHIP_CLAIM_ROUND_H_
#define LAVENDERTACK_OWNERSHIP_CLAIM_ROUND_H_

#include <map>
#include <set>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Time after which a claim that wasn't answered is sent again.
inline constexpr milliseconds kClaimResendInterval{200};

// Effect: send `message` to the instance `to`.
struct send_ownership_message {
  instance_name to;
  wire::ownership_message message;
};

// Constant parameters of a round.
struct claim_settings {
  instance_name self;
  data_centre_name data_centre;
  log_index roster_index;            // Log entry of the roster to confirm.
  std::set<instance_name> replicas;  // All control replicas.
  // Never reused, not even after a restart of the instance.
  std::uint64_t round = 0;
};

// State machine of one round. Performs no input or output.
class claim_round {
 public:
  explicit claim_round(claim_settings settings);

  // Returns the claims that are due for sending or resending. They go to the
  // control replicas in step 1. In step 2 they go to `instances` and ask which
  // of the `services` these still hold.
  std::vector<send_ownership_message> Tick(
      instant now, const std::set<instance_name>& instances,
      const std::set<service_name>& services);
  // Handles an answer. Answers of other rounds, other data centres and older
  // rosters are ignored.
  void Receive(const instance_name& from,
               const wire::ownership_message& message);

  // Whether step 1 is complete.
  bool replica_majority_applied() const { return replica_majority_applied_; }
  // Whether `name` has reported in step 2 that it applied the roster.
  bool HasApplied(const instance_name& name) const {
    return released_.contains(name);
  }
  // Whether `name` has reported in step 2 that it doesn't hold `service`.
  bool HasReleased(const instance_name& name,
                   const service_name& service) const;

 private:
  send_ownership_message MakeClaim(
      const instance_name& to, const std::set<service_name>& services) const;
  bool NeedsClaim(const instance_name& name,
                  const std::set<service_name>& services) const;
  std::uint64_t CurrentRoundNumber() const;

  claim_settings settings_;
  std::set<instance_name> replicas_applied_;
  bool replica_majority_applied_ = false;
  // Services that an instance doesn't hold, by its answers in step 2. Has an
  // entry, which may be empty, for each instance that answered.
  std::map<instance_name, std::set<service_name>> released_;
  std::map<instance_name, instant> last_sent_;  // In the current step.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_CLAIM_ROUND_H_
