// An entry instance: forwards callers' packets to targets, based on the routes
// and targets received from the control instances. It stores nothing on disk
// and takes no part in the agreement of the control instances.
#ifndef LAVENDERTACK_ENTRY_ENTRY_INSTANCE_H_
#define LAVENDERTACK_ENTRY_ENTRY_INSTANCE_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "Common/instant.h"
#include "Entry/held_packets.h"
#include "Entry/withdrawal.h"
#include "Following/control_follower.h"
#include "Forwarding/flow_router.h"

namespace lavendertack {

struct entry_settings {
  instance_name self;
  data_centre_name data_centre;
  // Control instances to start from; their updates list the others.
  std::vector<instance_name> seeds;
  // Rate of the network link; unlimited if empty.
  std::optional<bytes_per_s> link_capacity = {};
  // Time between two reports of a target.
  milliseconds report_interval{1200};
  // Seed of the random numbers for routing.
  std::uint64_t seed = 0;
  // Time from the stop request until the platform kills the process.
  milliseconds stop_within{0};
  // Observe the outcomes of requests and report them to control instances.
  bool observe_targets = false;
  // Placement and load shedding for comparisons of strategies; the defaults are
  // used if these are empty.
  target_selector choose = {};
  refusal_policy refuse = {};
};

class entry_instance {
 public:
  explicit entry_instance(entry_settings settings);

  // Decides where a caller's packet goes. Until the instance knows the
  // published state and the targets, the decision may be to hold the packet.
  forward_decision Route(instant now, const flow_packet& packet);
  // Packets with a decision to hold them. Decide again on all of them when an
  // update was received.
  held_packets& held() { return held_; }
  // Applies an update of a control instance and ignores other messages. Returns
  // events for the log.
  std::vector<follower_event> Receive(instant now,
                                      const wire::fleet_message& message);
  // Handles the announcement of a control instance that has started; returns
  // whether a request to it is due.
  bool ReceiveAnnouncement(instant now, const wire::fleet_message& message) {
    return follower_.HandleAnnouncement(now, {message.from()});
  }
  // The recent flows whose target was found to be lost, replaced or unreachable
  // since the last call.
  std::vector<lost_flow> TakeLostFlows() {
    return std::exchange(lost_flows_, {});
  }
  // Data centres that have become unreachable since the last call, for the log.
  std::vector<unreachable_data_centre> TakeUnreachableDataCentres() {
    return std::exchange(unreachable_, {});
  }
  // Changes of the withdrawal since the last call, for the log.
  std::vector<withdrawal_change> TakeWithdrawalChanges() {
    return std::exchange(withdrawal_changes_, {});
  }
  // Requests to control instances that are due at `now`.
  std::vector<follow_request> Requests(instant now);
  // Call it when a request couldn't be sent.
  void RequestNotSent(const instance_name& to) { follower_.RequestNotSent(to); }
  // Runs periodic work; returns events for the log.
  std::vector<follower_event> Tick(instant now);

  // Sets the wall clock, as the time since an epoch that all instances share.
  // See flow_router.
  void SetWallClock(instant now, milliseconds since_epoch) {
    router_.set_wall_clock_offset(since_epoch - now.time_since_epoch());
  }
  // Replaces the seeds by those of the changed settings.
  void SetSeeds(instant now, const std::vector<instance_name>& seeds) {
    follower_.SetSeeds(now, seeds);
  }
  // Starts draining: the instance is no longer ready, but packets that still
  // arrive are forwarded.
  void Stop(instant now);
  // Whether the platform should route callers to this instance.
  bool IsReady(instant now) const;
  // Whether the process may exit. After Stop(), this holds once callers have
  // had time to go elsewhere and no packet has arrived recently, or once
  // `stop_within` is nearly over.
  bool CanExit(instant now) const;

  const entry_settings& settings() const { return settings_; }
  const control_follower& follower() const { return follower_; }
  const flow_router& router() const { return router_; }
  const withdrawal& readiness() const { return withdrawal_; }
  // Callers' shares; reports on the refused ones take their counts.
  std::map<refusal_class, caller_shares>& callers() {
    return router_.callers();
  }

 private:
  // Adds the flows of the target to `lost_flows_` if it is lost or replaced.
  void CollectLostFlows(instant now, const target_id& id);
  // The same for the targets in the events.
  void CollectLostFlows(instant now, const std::vector<follower_event>& events);
  // Passes what the update tells about data centres to the router.
  void RecordActivity(instant now, const wire::update& update);
  // Applies the followed state to the withdrawal.
  void ReviewWithdrawal(instant now);
  // Notes a suspension of the process until `now`, if there was one.
  void DetectSuspension(instant now);
  // Whether the process was suspended and no control instance has confirmed the
  // state since.
  bool IsUnconfirmed(instant now) const;
  // Why the packet can't be decided on before more of the state is known;
  // nullopt if it can.
  std::optional<forward_reason> ReasonToHold(instant now,
                                             const flow_packet& packet) const;

  entry_settings settings_;
  control_follower follower_;
  flow_router router_;
  held_packets held_;
  std::vector<lost_flow> lost_flows_;
  std::vector<unreachable_data_centre> unreachable_;
  withdrawal withdrawal_;
  std::vector<withdrawal_change> withdrawal_changes_;
  // When unanswered packets were last reported to the control instances.
  instant last_unanswered_report_;
  // When outcomes of requests were last reported to the control instances.
  instant last_outcome_report_;
  std::optional<instant> stop_requested_at_;
  instant last_packet_at_;
  std::optional<instant> last_tick_at_;
  // End of the last suspension; empty once the state is confirmed.
  std::optional<instant> resumed_at_;
  // Control instances were asked for updates since `resumed_at_`.
  bool asked_since_resumed_ = false;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_ENTRY_ENTRY_INSTANCE_H_
