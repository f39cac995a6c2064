// Decides which services this instance owns and whether it may act as their
// owner at a given time. Two instances never act as owner of the same service
// in one data centre at the same time; docs/design/ownership.md explains why.
//
// An instance acts as the owner of a service while (a) the roster that it has
// applied assigns the service to it, (b) its lease is valid, and (c) every
// possible earlier owner either has released the service or had a lease that
// must have expired.
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

// Interval between lease requests.
inline constexpr milliseconds kRenewInterval{500};
// Longest time for which a service drains before it is handed over. After this
// time it is released even if its targets still run requests.
inline constexpr milliseconds kMaxDrainTime{3000};

// Constant parameters of an instance's ownership.
struct ownership_settings {
  instance_name self;
  data_centre_name data_centre;
  std::uint64_t incarnation = 0;     // Below 2^38; higher after each start.
  std::set<instance_name> replicas;  // All control replicas.
};

// State of the rest of the instance that ownership reads.
struct ownership_view {
  const roster_registry& rosters;
  std::set<service_name> services;  // All configured services.
  // Whether the instance has caught up with a majority of the control replicas
  // since its start.
  bool current = false;
  // Whether no request that this instance sent for the service is running.
  std::function<bool(const service_name&)> drained;
};

// Event: a peer sent an ownership message.
struct ownership_received {
  instance_name from;
  wire::ownership_message message;
};
// Event: periodic timer. Also required right after a roster change was applied.
struct ownership_tick {};
using ownership_event = std::variant<ownership_received, ownership_tick>;

// Effect: the instance became the owner of the service.
struct ownership_acquired {
  service_name service;
  owner_epoch epoch;
};
// Effect: the service was removed or is now assigned to another instance. This
// instance must not send new requests of the service; running ones may finish.
struct ownership_draining {
  service_name service;
};
// Effect: the service has drained or kMaxDrainTime has passed. The instance no
// longer owns the service.
struct ownership_released {
  service_name service;
};
using ownership_effect =
    std::variant<send_ownership_message, ownership_acquired, ownership_draining,
                 ownership_released>;

// Epoch of an owner. It rises with the roster index and, within one roster,
// with the incarnation. Aborts if `incarnation` is 2^38 or more, or
// `roster_index` 2^26 or more.
owner_epoch MakeOwnerEpoch(log_index roster_index, std::uint64_t incarnation);

// State machine of the ownership of one instance. Performs no input or output.
class ownership {
 public:
  explicit ownership(ownership_settings settings);

  // Handles `event` and returns the effects to apply, in this order. `now` is
  // the local monotonic time.
  std::vector<ownership_effect> Reduce(instant now, const ownership_view& view,
                                       const ownership_event& event);

  // Whether the instance may admit flows of the service and send its requests.
  // Must be called with the time of each event, so that a process that was
  // suspended finds its lease expired before it acts.
  bool IsActiveOwner(instant now, const service_name& service) const;
  // Whether the instance owns services, including those that still drain.
  bool owns_any_service() const { return !held_.empty(); }
  // When the lease expires; the epoch of the clock if there was none.
  instant lease_until() const { return lease_.valid_until(); }

 private:
  struct held_service {
    owner_epoch epoch;
    std::optional<instant> drain_deadline;  // Set while the service drains.
  };

  void Receive(const ownership_received& event);
  void SendAnswer(const instance_name& to, const wire::ownership_claim& claim,
                  const data_centre_name& data_centre);
  void ApplyRosterChange();
  void DrainLostServices();
  void ReleaseDrainedServices();
  void RenewLease();
  void ClaimServices();
  void UpdateFencing();
  // Whether all other instances that may own the service have released it or
  // were fenced.
  bool IsReleasedByOthers(const service_name& service) const;
  // Whether the current roster assigns the service to this instance.
  bool IsAssigned(const service_name& service) const;
  // Services assigned to this instance that it hasn't acquired yet.
  std::set<service_name> PendingServices() const;
  // Members of the roster without this instance.
  std::set<instance_name> OtherMembers() const;
  // Removed instances that may still own services.
  std::set<instance_name> UnfencedRemoved() const;
  std::vector<lease_quorum> Quorums() const;
  const roster& OwnRoster() const;
  wire::ownership_message NewMessage(const data_centre_name& name) const;

  ownership_settings settings_;
  lease lease_;
  log_index roster_index_;  // Of the roster that the state below belongs to.
  std::map<service_name, held_service> held_;  // Owned services, also draining.
  std::optional<claim_round> round_;  // Set once services were claimed.
  std::uint64_t last_round_;          // Number of the latest claim round.
  // When a majority of the control replicas and all other members were known to
  // have applied the roster. The wait for removed instances starts then.
  std::optional<instant> fence_start_;
  // Removed instances whose leases must have expired, so that this one no
  // longer waits for them.
  std::set<instance_name> fenced_;
  std::optional<instant> last_renewal_;  // Time of the latest lease request.
  // Valid only during Reduce.
  instant now_;
  const ownership_view* view_ = nullptr;
  std::vector<ownership_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_OWNERSHIP_H_
