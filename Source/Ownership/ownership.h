// Which services this instance is in charge of, and whether it may act as
// their owner right now. Two instances never act as owner of one service in
// one data centre at the same time; docs/design/ownership.md has the argument.
//
// An owner acts while (a) the agreed roster that it has applied names it, (b)
// its lease holds, and (c) everyone who could have been at work before it has
// released the service or was fenced by time.
#ifndef LAVENDERTACK_OWNERSHIP_OWNERSHIP_H_
#define LAVENDERTACK_OWNERSHIP_OWNERSHIP_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Ownership/claim_round.h"
#include "Ownership/lease.h"
#include "Ownership/roster_registry.h"
#include "Traffic/messages.h"

namespace lavendertack {

// Time between two lease requests.
inline constexpr milliseconds kRenewInterval{500};
// A service that is handed over is released after so long even when requests
// that its targets run haven't ended.
inline constexpr milliseconds kDrainBound{3000};

struct ownership_settings {
  instance_name self;
  data_centre_name data_centre;
  std::uint64_t incarnation = 0;  // Below 2^38; rises with every start.
  std::set<instance_name> replicas;
};

// What ownership needs of the rest of the instance.
struct ownership_view {
  const roster_registry& rosters;
  std::set<service_name> services;  // Those in force.
  bool current = false;             // Caught up with a quorum since the start.
  // No request that this instance sent for the service is running.
  std::function<bool(const service_name&)> drained;
};

// Events.
struct ownership_received {
  instance_name from;
  wire::ownership_message message;
};
// Also to be given right after a roster entry was applied.
struct ownership_tick {};
using ownership_event = std::variant<ownership_received, ownership_tick>;

// Effects, besides send_ownership_message. From here on the instance is in
// charge.
struct ownership_acquired {
  service_name service;
  owner_epoch epoch;
};
// The instance sends no new requests; it lets those that run end.
struct ownership_draining {
  service_name service;
};
struct ownership_released {
  service_name service;
};
using ownership_effect =
    std::variant<send_ownership_message, ownership_acquired, ownership_draining,
                 ownership_released>;

// Epoch of an owner: a later roster, or a later life, is always higher.
owner_epoch EpochOf(log_index roster_index, std::uint64_t incarnation);

class ownership {
 public:
  explicit ownership(ownership_settings settings);

  std::vector<ownership_effect> Reduce(instant now, const ownership_view& view,
                                       const ownership_event& event);

  // The instance may admit flows of the service and send its requests. To be
  // asked with the time of each event, so that a process that was frozen
  // finds its lease expired before it does anything.
  bool IsActiveOwner(instant now, const service_name& service) const;
  // The instance holds services that it hasn't released.
  bool owns_any_service() const { return !tenures_.empty(); }
  instant lease_until() const { return lease_.valid_until(); }

 private:
  struct tenure {
    owner_epoch epoch;
    std::optional<instant> closing_until;  // Set while it is handed over.
  };

  void Receive(const ownership_received& event);
  void Answer(const instance_name& to, const wire::ownership_claim& claim,
              const data_centre_name& data_centre);
  void FollowRoster();
  void CloseTenures();
  void EndDrained();
  void RenewLease();
  void Claim();
  void PassFence();
  bool IsClear(const service_name& service) const;
  bool IsMine(const service_name& service) const;
  std::set<service_name> Waiting() const;
  std::set<instance_name> Others() const;
  std::set<instance_name> Unfenced() const;
  std::vector<lease_quorum> Quorums() const;
  const roster& MyRoster() const;
  wire::ownership_message NewMessage(const data_centre_name& name) const;

  ownership_settings settings_;
  lease lease_;
  log_index followed_;  // The roster that the state below is for.
  std::map<service_name, tenure> tenures_;
  std::optional<claim_round> round_;
  std::uint64_t rounds_;
  std::optional<instant> fence_start_;
  std::set<instance_name> fenced_;  // Removed ones whose leases ran out.
  std::optional<instant> last_renewal_;
  // For the event that is being reduced.
  instant now_;
  const ownership_view* view_ = nullptr;
  std::vector<ownership_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_OWNERSHIP_H_
