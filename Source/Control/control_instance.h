// One control instance: receives operators' orders and targets' reports, agrees
// on the orders with the other control instances, and sends both to followers.
//
// The class is a reducer: it takes events and returns effects, and does no I/O.
// An order is answered as done only once a majority of the voters has synced it
// to disk. The published state is returned to an operator only after a majority
// has confirmed that it's the newest. An order that no majority confirms in
// time is answered with an unknown outcome, and at once if no majority is
// reachable. Targets' reports aren't agreed on: each control instance forwards
// the ones that it receives itself.
#ifndef LAVENDERTACK_CONTROL_CONTROL_INSTANCE_H_
#define LAVENDERTACK_CONTROL_CONTROL_INSTANCE_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Agreement/agreement.h"
#include "Control/activity_registry.h"
#include "Control/data_centre_closures.h"
#include "Control/follower_feed.h"
#include "Control/restart_announcements.h"
#include "Control/saved_targets.h"
#include "Control/voter_plan.h"
#include "Following/control_follower.h"
#include "Manifest/published_state.h"
#include "Targets/target_performance.h"
#include "Targets/target_registry.h"

namespace lavendertack {

// Settings of one control instance.
struct control_settings {
  instance_name self;
  data_centre_name data_centre;
  // Control instances to contact first; they name the others.
  std::vector<instance_name> seeds;
  // Voters in the first log entry, for the bootstrap. Empty unless the whole
  // system starts for the first time.
  std::vector<instance_name> bootstrap_voters;
  storage_id new_storage_id;  // Identity of the disk if it holds no records.
  std::uint64_t seed = 0;     // Of the random number generator.
  // Number of disks that may be lost at the same time without losing orders.
  std::size_t tolerated_losses = 1;
  milliseconds heartbeat_interval{0};  // Time between two reports of a target.
  log_limits limits;                   // Size limits of the agreed log.
  // Reduce the weight of targets that are slow or fail.
  bool observe_targets = false;
};

// Identifies an operator's call until it is answered.
using operator_call = strong_type<struct operator_call_tag, std::uint64_t>;

// Events.

// An operator sent an order. It is answered by an `answer_operator` effect with
// the same call.
struct operator_order_received {
  operator_call call;
  published_order order;
  // When the call was read from its connection; empty for right now.
  std::optional<instant> received_at = std::nullopt;
};
// The operator no longer waits for the answer to the call.
struct operator_call_abandoned {
  operator_call call;
};
// A target sent a report of its state.
struct target_report_received {
  target_report report;
};
// A target announced that it has ended.
struct target_ended {
  target_id id;
};
// A message from another control instance or from a follower.
struct control_message_received {
  link_id link;  // Connection for the answer.
  wire::fleet_message message;
};
// Occurs at regular intervals, to drive timeouts and periodic messages.
struct control_tick {};
// The list of seeds in the settings changed.
struct seeds_changed {
  std::vector<instance_name> seeds;
};
using control_event =
    std::variant<operator_order_received, operator_call_abandoned,
                 target_report_received, target_ended, control_message_received,
                 control_tick, seeds_changed, storage_failed, storage_restored>;

// How a target's report, or the notice of its end, is answered. Unless it is
// confirmed, the target should call another control instance.
enum class report_answer {
  kConfirmed,
  kNoMajority,      // The report may not reach all followers.
  kUnknownService,  // The newest manifest here doesn't name its service.
  kOutdated,        // The caller may have called another instance since.
};

// Outcomes of an operator's call.

// The order took effect, or it changes nothing in the newest state, which a
// majority has confirmed.
struct order_done {
  log_index applied;         // Log entry at which the order took effect.
  manifest_version version;  // Newest published version.
};
// The operator should send the order to another control instance.
struct order_redirected {
  instance_name to;
};
// The order may or may not take effect. Sending it again is safe.
struct order_outcome_unknown {
  std::string reason;  // For the operator.
};
using order_outcome =
    std::variant<order_done, order_redirected, order_outcome_unknown>;

// Effects, in addition to those of the agreement.

// Sends the outcome of a call to its operator.
struct answer_operator {
  operator_call call;
  order_outcome outcome;
};
// Sends a message to another control instance.
struct send_to_control {
  instance_name to;
  wire::fleet_message message;
};
// Sends an update to a follower.
struct send_to_follower {
  link_id to;
  wire::fleet_message message;
};
// A report changed the registry or was outdated, or a target ended or became
// silent. For the log.
struct target_report_evaluated {
  target_report report;
  report_result result;
};
// A change of the voters was proposed. For the log.
struct voters_planned {
  replica_change change;
};
// The published state changed. For the log.
struct state_published {
  log_index index;
  manifest_version version;
  std::set<data_centre_name> closed;  // Data centres that get no new flows.
};
// Sends a message to an entry instance that may not follow this instance yet.
struct send_to_entry {
  instance_name to;
  wire::fleet_message message;
};
// Saves the known targets and followers for the next start of this instance.
// Without them the next start only takes longer, so they needn't be synced
// before other effects are applied.
struct save_targets {
  wire::target_snapshot targets;
};
// The weight of a target that reports to this instance changed. For the log.
struct target_weight_changed {
  weight_change change;
};
// This instance gained or lost contact with a majority of the voters.
struct majority_changed {
  bool majority_reachable;
};
using control_effect =
    std::variant<persist_record, rewrite_records, bootstrap_blocked,
                 round_abandoned, answer_operator, send_to_control,
                 send_to_follower, send_to_entry, target_report_evaluated,
                 voters_planned, state_published, majority_changed,
                 save_targets, target_weight_changed, follower_event>;

// The reducer. Not thread-safe.
class control_instance {
 public:
  // `decode` reads the text of a published manifest.
  control_instance(control_settings settings, manifest_decoder decode);

  // Restores the agreed log and the published state from the records of the log
  // file, in the order of writing. Call it before the first `Reduce`.
  void Restore(const std::vector<wire::stored_record>& records);
  // Restores the targets and followers that an earlier process saved. Records
  // that can't be decoded are skipped; returns their number.
  std::size_t Restore(instant now, const wire::target_snapshot& saved);
  // Handles one event and returns the effects, to be applied in order.
  std::vector<control_effect> Reduce(instant now, const control_event& event);

  const published_state& published() const { return published_; }
  const agreement& agreed() const { return agreement_; }
  const target_registry& targets() const { return targets_; }
  const target_performance& performance() const { return performance_; }
  const control_follower& peers() const { return follower_; }
  std::size_t follower_count() const { return feed_.size(); }
  // Whether this instance is in contact with a majority of the voters, itself
  // included if it votes.
  bool ReachesMajority(instant now) const;
  // How a report that was handled is answered. A target assumes that a
  // confirmed report reaches all followers. So that of a target which isn't
  // ready any more is confirmed only in contact with a majority.
  report_answer AnswerTo(instant now, const target_report& report) const;
  // The same for the notice that a target has ended.
  report_answer AnswerToEnd(instant now) const;
  // Whether the caller may still wait for the answer to a call that was read at
  // `received_at`. Otherwise it has sent the call to another control instance,
  // and later calls may contradict it. False also right after a suspension of
  // this process, since the call may have waited in the socket.
  bool IsTimely(instant now, instant received_at) const;

 private:
  agreement_hooks Hooks();
  // Notes a suspension of the process until now, if there was one.
  void DetectSuspension();
  void Handle(const operator_order_received& event);
  void Handle(const operator_call_abandoned& event);
  void Handle(const target_report_received& event);
  void Handle(const target_ended& event);
  void Handle(const control_message_received& event);
  void Handle(const control_tick& event);
  void Handle(const seeds_changed& event);
  void Handle(const storage_failed& event);
  void Handle(const storage_restored& event);
  // Whether the report may be registered: the manifest names its service, or
  // the target was registered before its service was removed. Anything else may
  // come from a writer that isn't a target, so it isn't taken as information on
  // the target or its address.
  bool IsOfKnownService(const target_report& report) const;
  // Passes the event to the agreement and applies the resulting effects.
  void ReduceAgreement(const agreement_event& event);
  void Apply(agreement_effect effect);
  void SendAgreement(const instance_name& to, wire::agreement_message body);
  void AnswerCall(proposal_id id, const order_outcome& outcome);
  // A reachable voter that is in contact with a majority of the voters; if
  // there is none, any such control instance.
  std::optional<instance_name> ReachableVoter() const;
  // Handles a change of the published state since the last call, if any.
  void HandlePublishedChange();
  // Proposes a change of the voters if one is due.
  void PlanVoterChange();
  // Sends updates to the followers with unsent changes, or with `to_all` to
  // every follower.
  void PushUpdates(bool to_all);
  // Announces this instance to the entry instances that followed it before.
  void SendAnnouncements();
  // Saves the targets if they have changed and the last write isn't too recent.
  void SaveTargets();
  // Compares the outcomes of the targets' requests if that is due, and applies
  // the weights of the targets that report to this instance.
  void EvaluateTargets();
  // All targets that haven't ended, those of the other control instances
  // included.
  std::vector<evaluated_target> CollectTargets() const;
  feed_content MakeFeedContent();
  // This control instance and all others that have sent an update and their log
  // position.
  std::vector<control_peer> CollectPeers() const;
  std::size_t DesiredVoterCount() const;

  control_settings settings_;
  published_state published_;
  agreement agreement_;
  target_registry targets_;
  activity_registry activities_;
  saved_targets saved_targets_;
  restart_announcements announcements_;
  target_performance performance_;
  control_follower follower_;
  follower_feed feed_;
  data_centre_closures closures_;
  std::map<proposal_id, operator_call> pending_calls_;
  std::uint64_t next_proposal_ = 0;
  std::mt19937_64 random_;
  // Identifies this run of the process: target revisions of another run aren't
  // comparable to those of this one.
  std::uint64_t target_epoch_;
  std::optional<instant> started_at_;
  std::optional<instant> last_plan_at_;
  std::optional<instant> last_tick_at_;
  std::optional<instant> resumed_at_;  // End of the last suspension.
  // Revision of the entry instances in `feed_` that was last saved.
  std::uint64_t saved_entry_revision_ = 0;
  // Revision of `targets_` that was last pushed.
  std::uint64_t pushed_revision_ = 0;
  // Log entries of the published state that was last pushed and last handled by
  // `HandlePublishedChange`.
  log_index pushed_index_;
  log_index published_index_;
  bool reached_majority_ = false;  // ReachesMajority at the last tick.
  // Valid during `Reduce` only.
  instant now_;
  std::vector<control_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_CONTROL_INSTANCE_H_
