// Finds out, in two steps, that a roster can't be forgotten any more and that
// nobody else is at work for an earlier one:
//   1. a majority of the control replicas has applied the roster's entry;
//   2. after that, instances say that they have applied it too, and which
//      services they still hold.
// The order matters: an instance that restarts after step 1 catches up from a
// majority of the replicas, so an answer of step 2 holds for its later lives.
#ifndef LAVENDERTACK_OWNERSHIP_CLAIM_ROUND_H_
#define LAVENDERTACK_OWNERSHIP_CLAIM_ROUND_H_

#include <map>
#include <set>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Time after which a question without an answer is asked again.
inline constexpr milliseconds kClaimInterval{200};

struct send_ownership_message {
  instance_name to;
  wire::ownership_message message;
};

struct claim_settings {
  instance_name self;
  data_centre_name data_centre;
  log_index roster_index;
  std::set<instance_name> replicas;
  std::uint64_t round = 0;  // Unique among rounds of all lives.
};

class claim_round {
 public:
  explicit claim_round(claim_settings settings);

  // Questions that are due: about `services`, to replicas first and then to
  // `asked`.
  std::vector<send_ownership_message> Tick(
      instant now, const std::set<instance_name>& asked,
      const std::set<service_name>& services);
  void Receive(const instance_name& from,
               const wire::ownership_message& message);

  bool replicas_done() const { return replicas_done_; }
  // `name` has applied the roster.
  bool HasApplied(const instance_name& name) const {
    return cleared_.contains(name);
  }
  // `name` has applied the roster and holds `service` no more.
  bool HasCleared(const instance_name& name, const service_name& service) const;

 private:
  send_ownership_message Question(const instance_name& to,
                                  const std::set<service_name>& services) const;
  bool NeedsAsking(const instance_name& name,
                   const std::set<service_name>& services) const;
  std::uint64_t CurrentRound() const;

  claim_settings settings_;
  std::set<instance_name> replicas_applied_;
  bool replicas_done_ = false;
  std::map<instance_name, std::set<service_name>> cleared_;
  std::map<instance_name, instant> asked_at_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_CLAIM_ROUND_H_
