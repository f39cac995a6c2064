// Follows the control instances: requests updates from each of them and keeps a
// copy of the published routes, the targets and the demand.
//
// Each control instance sends the targets that report to it. The newest report
// of a target wins, whichever control instance received it. Published state is
// ordered by its index in the agreed log, so an update from a control instance
// that lags behind never replaces newer state. It is requested from one control
// instance only; the others announce its index, and one of them is asked once
// the follower stays behind.
#ifndef LAVENDERTACK_FOLLOWING_CONTROL_FOLLOWER_H_
#define LAVENDERTACK_FOLLOWING_CONTROL_FOLLOWER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Forwarding/flow_router.h"
#include "Forwarding/unanswered_packets.h"
#include "Targets/outcome_report.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// Settings of a follower.
struct follower_settings {
  instance_name self;
  data_centre_name data_centre;
  bool is_control = false;  // The follower is a control instance itself.
  // Control instances to contact first; their updates list the others.
  std::vector<instance_name> seeds;
  // Time between two requests to a reachable control instance.
  milliseconds follow_interval{0};
};

// State of one control instance as the follower sees it.
struct followed_control {
  // Empty until the first update.
  data_centre_name data_centre;
  // When the last request was sent to it.
  std::optional<instant> last_request;
  // Number of requests sent to it since its last update.
  int unanswered_requests = 0;
  // When its last update was received.
  std::optional<instant> last_update;
  // When it was last listed: in the settings, in an update of a control
  // instance, or by a message of its own.
  instant last_listed;
  // It is in contact with a majority of the voters.
  bool current = false;
  // All its targets were received; reset when it is lost.
  bool has_sent_all_targets = false;
  // Changes whenever the control instance restarts; 0 before the first update.
  std::uint64_t target_epoch = 0;
  // Newest received revision of its targets, within the epoch.
  std::uint64_t target_revision = 0;
  // Data centres that it reports as closed.
  std::set<data_centre_name> closed;
  // Index in the agreed log of the state that `closed` belongs to.
  log_index closed_index;
  // It was lost, and the reports that it relayed are expiring.
  bool reports_expiring = false;
};

// Events for the log.

// A control instance became reachable.
struct control_found {
  instance_name name;
};
// A control instance counts as lost: it sent no update for `silent`.
struct control_lost {
  instance_name name;
  milliseconds silent;
};
// Published state up to log index `index` was applied.
struct state_followed {
  instance_name from;
  manifest_version version;
  log_index index;
  std::size_t route_changes;
  bool whole;  // The complete state, not only the changes.
};
// A target record was ignored because one of its fields isn't valid.
struct target_record_refused {
  instance_name from;
  target_id target;
};
using follower_event = std::variant<control_found, control_lost, state_followed,
                                    target_change, target_record_refused>;

// A request to be sent to a control instance.
struct follow_request {
  instance_name to;
  wire::fleet_message message;
};

class control_follower {
 public:
  explicit control_follower(follower_settings settings);

  // Replaces the seeds after a change of the settings.
  void SetSeeds(instant now, const std::vector<instance_name>& seeds);
  // Adds a control instance that was listed or that sent a request to this one.
  // A new one is ignored at the maximum number of followed control instances.
  void AddControlName(instant now, const instance_name& control);
  // Handles the announcement of a control instance that has started: unless it
  // is reachable already, a request to it becomes due. Returns whether it does.
  bool HandleAnnouncement(instant now, const instance_name& control);
  // Applies the update of a control instance and returns events for the log.
  std::vector<follower_event> Apply(instant now, const instance_name& from,
                                    const wire::update& update);
  // Returns the requests that are due at `now`. `demand` is the rate of
  // callers' requests at this instance; rates below `kMinDemand` aren't sent.
  // If `unanswered` or `outcomes` isn't empty, all requests are due. With
  // `asks_often` they are due more often than usual, as what the control
  // instances know about silent data centres is needed.
  std::vector<follow_request> Requests(
      instant now, const std::map<service_name, requests_per_s>& demand,
      const unanswered_report& unanswered = {},
      const outcome_report& outcomes = {}, bool asks_often = false);
  // Call it when a request couldn't be sent, as there is no connection to the
  // control instance: it's due again with the next call of `Requests`.
  void RequestNotSent(const instance_name& to);
  // Expires the reports of lost control instances and removes control instances
  // and targets after their retention time; returns events for the log.
  std::vector<follower_event> Tick(instant now);

  const routing_state& state() const { return state_; }
  // Index of the agreed log up to which the published state is applied.
  log_index applied() const { return applied_; }
  // Version of the applied manifest; 0 before the first one.
  manifest_version version() const { return version_; }
  // The longest cold start of all services.
  milliseconds cold_start() const { return cold_start_; }
  const std::map<instance_name, followed_control>& controls() const {
    return controls_;
  }
  std::set<instance_name> ControlNames() const;
  // The control instance that sends the published state; empty before the first
  // request.
  const std::optional<instance_name>& state_source() const {
    return state_source_;
  }
  // Whether the control instance has sent an update within the last three
  // request intervals.
  bool IsReachable(instant now, const instance_name& name) const;
  // Whether a manifest was received and all followed control instances have
  // sent their targets. Once the first one has sent them, the others are waited
  // for at most `max_wait`.
  bool IsSynced(instant now, milliseconds max_wait) const;
  // The same with a wait of at most 1 s.
  bool IsSynced(instant now) const;

 private:
  void ApplyState(instant now, const instance_name& from,
                  const wire::update& update,
                  std::vector<follower_event>* events);
  void ApplyTargets(instant now, const instance_name& from,
                    const wire::update& update,
                    std::vector<follower_event>* events);
  void ApplyTarget(instant now, const instance_name& from,
                   const wire::target_record& record,
                   std::vector<follower_event>* events);
  // A control instance that was down for long has saved reports of targets that
  // may have left since. A target that is unknown here, although this instance
  // has followed the others for kReportRetention, gets no new flows until it
  // reports; packets of its open flows are forwarded.
  void LimitRestoredReport(instant now, target_report* report) const;
  void UpdateClosed(instant now);
  // Call it at each event, to notice a suspension of the process until `now`.
  void DetectSuspension(instant now);
  // Other data centres of which no control instance sends updates any more.
  std::set<data_centre_name> SilentDataCentres(instant now) const;
  // Chooses the first control instance to request the published state from.
  void InitializeStateSource();
  // Requests the published state from `from`, which has announced a newer one,
  // if the current source doesn't deliver it.
  void ReviewStateSource(instant now, const instance_name& from);

  follower_settings settings_;
  routing_state state_;
  std::map<instance_name, followed_control> controls_;
  std::optional<instant> last_event_at_;
  log_index applied_;
  manifest_version version_;
  milliseconds cold_start_{0};
  // When the first control instance had sent all its targets.
  std::optional<instant> first_sync_at_;
  std::optional<instance_name> state_source_;
  // Since when a newer published state than the applied one is known.
  std::optional<instant> behind_since_;
  // Number of changes of the source since the last applied state.
  int source_changes_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FOLLOWING_CONTROL_FOLLOWER_H_
