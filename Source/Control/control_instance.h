// One control instance: takes operators' orders and targets' reports, agrees on
// the orders with the other control instances, and tells followers of both.
//
// A reducer. Orders are answered as done only once a majority of the voters has
// synced them, and the published state is read back only after a majority has
// confirmed that it's the newest; what can't be certain is answered as such at
// once. Targets' reports aren't agreed on: each control instance tells of those
// that it hears itself.
#ifndef LAVENDERTACK_CONTROL_CONTROL_INSTANCE_H_
#define LAVENDERTACK_CONTROL_CONTROL_INSTANCE_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Agreement/agreement.h"
#include "Control/follower_feed.h"
#include "Control/held_data_centres.h"
#include "Control/voter_plan.h"
#include "Following/control_follower.h"
#include "Manifest/published_state.h"
#include "Targets/target_registry.h"

namespace lavendertack {

struct control_settings {
  instance_name self;
  data_centre_name data_centre;
  std::vector<instance_name> seeds;
  // Who agrees on the first entry; empty unless the whole system starts for
  // the first time.
  std::vector<instance_name> bootstrap_voters;
  storage_id new_storage_id;
  std::uint64_t seed = 0;
  std::size_t tolerated_losses = 1;    // Disks lost at the same time.
  milliseconds heartbeat_interval{0};  // Between two reports of a target.
  log_limits limits;
};

// An operator's call, until it's answered.
using operator_call = strong_type<struct operator_call_tag, std::uint64_t>;

// Events.
struct operator_order_received {
  operator_call call;
  published_order order;
};
struct target_report_received {
  target_report report;
};
struct target_ended {
  target_id id;
};
struct control_message_received {
  link_id link;  // Where an answer goes.
  wire::fleet_message message;
};
struct control_tick {};
// The settings name other control instances.
struct seeds_changed {
  std::vector<instance_name> seeds;
};
using control_event =
    std::variant<operator_order_received, target_report_received, target_ended,
                 control_message_received, control_tick, seeds_changed,
                 storage_failed, storage_restored>;

// Outcomes of an operator's call.
struct order_done {
  log_index applied;
  manifest_version version;  // The newest one.
};
// Another control instance can take it.
struct order_redirected {
  instance_name to;
};
// Nothing is promised; a resend is safe.
struct order_outcome_unknown {
  std::string reason;
};
using order_outcome =
    std::variant<order_done, order_redirected, order_outcome_unknown>;

// Effects, besides those of the agreement.
struct answer_operator {
  operator_call call;
  order_outcome outcome;
};
struct send_to_control {
  instance_name to;
  wire::fleet_message message;
};
struct send_to_follower {
  link_id to;
  wire::fleet_message message;
};
struct target_report_evaluated {
  target_report report;
  report_result verdict;
};
struct voters_planned {
  replica_change change;
};
struct state_published {
  log_index index;
  manifest_version version;
  std::set<data_centre_name> closed;
};
// The targets that this instance hears, for its next start. Losing it costs
// only time, so it needn't be synced before anything else.
struct save_targets {
  wire::target_snapshot targets;
};
// Whether this instance hears a majority of the voters.
struct majority_changed {
  bool heard;
};
using control_effect =
    std::variant<persist_record, rewrite_records, bootstrap_blocked,
                 answer_operator, send_to_control, send_to_follower,
                 target_report_evaluated, voters_planned, state_published,
                 majority_changed, save_targets, follower_event>;

class control_instance {
 public:
  control_instance(control_settings settings, manifest_decoder decode);

  // Takes back the records of the log file, in the order of writing.
  void Restore(const std::vector<wire::stored_record>& records);
  // Takes back the targets that an earlier process has saved.
  void Restore(instant now, const wire::target_snapshot& saved);
  std::vector<control_effect> Reduce(instant now, const control_event& event);

  const published_state& published() const { return published_; }
  const agreement& agreed() const { return agreement_; }
  const target_registry& targets() const { return book_; }
  const control_follower& peers() const { return follower_; }
  std::size_t follower_count() const { return feed_.size(); }
  // A majority of the voters was heard lately.
  bool IsCurrent(instant now) const;
  // A target may take its report as known everywhere. One that leaves should
  // tell another control instance while this one is cut off.
  bool CanConfirmReport(instant now, target_phase phase) const;

 private:
  agreement_hooks Hooks();
  void Handle(const operator_order_received& event);
  void Handle(const target_report_received& event);
  void Handle(const target_ended& event);
  void Handle(const control_message_received& event);
  void Handle(const control_tick& event);
  void Handle(const seeds_changed& event);
  void Handle(const storage_failed& event);
  void Handle(const storage_restored& event);
  void Agree(const agreement_event& event);
  void Carry(agreement_effect effect);
  void SendAgreement(const instance_name& to, wire::agreement_message body);
  void Answer(proposal_id id, const order_outcome& outcome);
  std::optional<instance_name> FindVoter() const;
  void NotePublished();
  void PlanVoterChange();
  void PushNews(bool to_all);
  void SaveTargets();
  feed_content Content() const;
  std::vector<control_peer> Peers() const;
  std::size_t WantedVoters() const;

  control_settings settings_;
  published_state published_;
  agreement agreement_;
  target_registry book_;
  control_follower follower_;
  follower_feed feed_;
  held_data_centres held_;
  std::map<proposal_id, operator_call> calls_;
  std::uint64_t next_proposal_ = 0;
  std::mt19937_64 random_;
  std::uint64_t target_epoch_;
  std::optional<instant> started_;
  std::optional<instant> last_plan_;
  std::optional<instant> last_save_;
  std::uint64_t saved_revision_ = 0;
  std::uint64_t pushed_revision_ = 0;
  log_index pushed_state_;
  log_index noted_;
  bool was_current_ = false;
  // For the event that is being reduced.
  instant now_;
  std::vector<control_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_CONTROL_INSTANCE_H_
