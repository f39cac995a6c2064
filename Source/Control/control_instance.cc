#include "Control/control_instance.h"

#include <algorithm>
#include <utility>

#include "Following/target_codec.h"

namespace lavendertack {
namespace {

// Time between two follow requests to another control instance. A message with
// the log position of this instance is sent at the same interval.
constexpr milliseconds kFollowInterval{300};
// A target counts as silent after this many report intervals without a report:
// two reports were missed and most of the third interval has passed.
constexpr double kSilentAfterHeartbeats = 2.75;
// The same for a target that doesn't answer callers' packets either: its next
// report is overdue.
constexpr double kUnansweredSilentAfterHeartbeats = 1.25;
// Time for which an ended or silent target stays registered. Longer than a
// report can be in transit, so that a delayed report of an ended target is
// still recognized as outdated.
constexpr milliseconds kTargetRetention{60'000};
// A voter that sent nothing for this long is replaced if there is a candidate.
// Must be shorter than the time between two losses that the system is expected
// to survive.
constexpr milliseconds kReplaceVoterAfter{2000};
// A control instance that sent nothing for longer can't become a voter.
constexpr milliseconds kCandidateMaxSilence{900};
// Minimum time between two checks whether the voters must change.
constexpr milliseconds kVoterPlanInterval{300};
// Additional delay per rank among the voters before a voter proposes a change,
// so that usually only one voter proposes it.
constexpr milliseconds kVoterPlanStagger{600};
// For this long after the start, orders are refused while there are fewer
// voters than needed to survive the tolerated losses. After that they are
// accepted: a smaller deployment never gets more voters.
constexpr milliseconds kMaxWaitForVoters{20'000};
// After a data centre is reopened, new reports of its targets may need this
// long to reach every follower, in addition to the cold start and one report
// interval.
constexpr milliseconds kReopenMargin{500};
// A longer gap between two ticks means that the process was suspended.
constexpr milliseconds kSuspensionThreshold{500};
// Callers wait this long for an answer before they send the call to another
// control instance.
constexpr milliseconds kCallLifetime{1000};

}  // namespace

control_instance::control_instance(control_settings settings,
                                   manifest_decoder decode)
    : settings_(std::move(settings)),
      published_(std::move(decode)),
      agreement_({.self = settings_.self,
                  .replica = true,
                  .bootstrap_voters = settings_.bootstrap_voters,
                  .new_storage_id = settings_.new_storage_id,
                  .seed = settings_.seed,
                  .limits = settings_.limits},
                 Hooks()),
      targets_(
          {.silent_after = std::chrono::duration_cast<milliseconds>(
               settings_.heartbeat_interval * kSilentAfterHeartbeats),
           .forget_after = kTargetRetention,
           .unanswered_silent_after = std::chrono::duration_cast<milliseconds>(
               settings_.heartbeat_interval *
               kUnansweredSilentAfterHeartbeats)}),
      follower_({.self = settings_.self,
                 .data_centre = settings_.data_centre,
                 .is_control = true,
                 .seeds = settings_.seeds,
                 .follow_interval = kFollowInterval}),
      random_(settings_.seed),
      target_epoch_(random_() | 1) {}

agreement_hooks control_instance::Hooks() {
  return {
      .admit = [this](const std::string& e) { return published_.CanApply(e); },
      .apply =
          [this](log_index index, const std::string& entry) {
            published_.Apply(index, entry);
          },
      .voters = [this]() -> const replica_set& { return published_.voters(); },
      .encode_bootstrap_entry = published_state::EncodeBootstrapEntry,
      .decode_bootstrap_voters = published_state::DecodeBootstrapVoters,
      .save = [this] { return published_.Save(); },
      .load =
          [this](const std::string& state) {
            published_.Load(agreement_.chosen_index(), state);
          }};
}

void control_instance::Restore(
    const std::vector<wire::stored_record>& records) {
  published_.BeginRestore();
  for (const wire::stored_record& record : records) agreement_.Restore(record);
  published_.EndRestore(agreement_.chosen_index());
}

std::size_t control_instance::Restore(instant now,
                                      const wire::target_snapshot& saved) {
  for (const std::string& name : saved.followers()) announcements_.Add({name});
  return saved_targets_.Restore(now, saved, &targets_);
}

void control_instance::SendAnnouncements() {
  for (const instance_name& name : announcements_.TakeDue(now_)) {
    send_to_entry effect{name, {}};
    effect.message.set_from(settings_.self.value);
    effect.message.mutable_announcement();
    effects_.emplace_back(std::move(effect));
  }
}

std::vector<control_effect> control_instance::Reduce(
    instant now, const control_event& event) {
  now_ = now;
  effects_.clear();
  if (!started_at_) started_at_ = now;
  DetectSuspension();
  std::visit([this](const auto& e) { Handle(e); }, event);
  HandlePublishedChange();
  // Followers that got an update within the minimum push interval get the
  // changes with a later tick.
  const bool has_unsent_changes =
      targets_.revision() != pushed_revision_ ||
      published_.last_changed_index() != pushed_index_;
  if (has_unsent_changes || std::holds_alternative<control_tick>(event)) {
    PushUpdates(false);
  }
  return std::move(effects_);
}

bool control_instance::ReachesMajority(instant now) const {
  const replica_set& voters = published_.voters();
  std::size_t reachable_voters = 0;
  for (const auto& [name, storage] : voters) {
    if (name == settings_.self ? agreement_.IsVoting()
                               : follower_.IsReachable(now, name)) {
      ++reachable_voters;
    }
  }
  return !voters.empty() && reachable_voters > voters.size() / 2;
}

report_answer control_instance::AnswerTo(instant now,
                                         const target_report& report) const {
  if (!IsOfKnownService(report)) return report_answer::kUnknownService;
  if (report.phase == target_phase::kReady) return report_answer::kConfirmed;
  return AnswerToEnd(now);
}

report_answer control_instance::AnswerToEnd(instant now) const {
  return ReachesMajority(now) ? report_answer::kConfirmed
                              : report_answer::kNoMajority;
}

bool control_instance::IsOfKnownService(const target_report& report) const {
  const manifest& newest = published_.published();
  if (newest.version.value == 0) return true;
  const bool is_named =
      std::any_of(newest.services.begin(), newest.services.end(),
                  [&](const manifest_service& service) {
                    return service.name == report.service;
                  });
  if (is_named) return true;
  const auto it = targets_.targets().find(report.id);
  return it != targets_.targets().end() &&
         it->second.report.service == report.service;
}

bool control_instance::IsTimely(instant now, instant received_at) const {
  const bool was_suspended =
      (last_tick_at_ && now - *last_tick_at_ > kSuspensionThreshold) ||
      (resumed_at_ && now - *resumed_at_ < kCallLifetime);
  return !was_suspended && now - received_at < kCallLifetime;
}

void control_instance::DetectSuspension() {
  if (last_tick_at_ && now_ - *last_tick_at_ > kSuspensionThreshold) {
    resumed_at_ = now_;
  }
}

std::size_t control_instance::DesiredVoterCount() const {
  return std::max<std::size_t>(VotersToSurvive(settings_.tolerated_losses),
                               VotersToSurvive(1));
}

void control_instance::Handle(const operator_order_received& event) {
  const auto answer = [&](order_outcome outcome) {
    effects_.emplace_back(answer_operator{event.call, std::move(outcome)});
  };
  if (!agreement_.IsVoting()) {
    if (auto voter = ReachableVoter()) return answer(order_redirected{*voter});
    return answer(order_outcome_unknown{"no voter is reachable"});
  }
  if (!ReachesMajority(now_)) {
    return answer(
        order_outcome_unknown{"no majority of the voters is reachable"});
  }
  const bool is_read = std::holds_alternative<read_published>(event.order);
  if (!is_read &&
      published_.voters().size() <
          VotersToSurvive(settings_.tolerated_losses) &&
      now_ - *started_at_ < kMaxWaitForVoters) {
    return answer(order_outcome_unknown{"waiting for enough voters"});
  }
  // A manifest has a version, so a late one changes nothing. An order to close
  // or open a data centre would undo a later one.
  std::optional<instant> expires_at;
  if (std::holds_alternative<set_evacuation>(event.order)) {
    const instant received_at = event.received_at.value_or(now_);
    if (!IsTimely(now_, received_at)) {
      return answer(order_outcome_unknown{"the order may be outdated"});
    }
    expires_at = received_at + kCallLifetime;
  }
  const proposal_id id{++next_proposal_};
  pending_calls_[id] = event.call;
  ReduceAgreement(
      propose_entry{id, EncodeOrder(random_(), event.order), expires_at});
}

void control_instance::Handle(const operator_call_abandoned& event) {
  const auto it = std::find_if(
      pending_calls_.begin(), pending_calls_.end(),
      [&](const auto& entry) { return entry.second == event.call; });
  if (it == pending_calls_.end()) return;
  ReduceAgreement(withdraw_proposal{it->first});
}

std::optional<instance_name> control_instance::ReachableVoter() const {
  for (const auto& [name, storage] : published_.voters()) {
    auto it = follower_.controls().find(name);
    if (it == follower_.controls().end() || !it->second.current) continue;
    if (follower_.IsReachable(now_, name)) return name;
  }
  // A new control instance has no list of voters yet, so it picks any control
  // instance that reaches a majority.
  for (const auto& [name, control] : follower_.controls()) {
    if (control.current && follower_.IsReachable(now_, name)) return name;
  }
  return std::nullopt;
}

void control_instance::Handle(const target_report_received& event) {
  if (!IsOfKnownService(event.report)) {
    effects_.emplace_back(
        target_report_evaluated{event.report, report_result::kUnknownService});
    return;
  }
  activities_.RecordReport(now_, event.report.data_centre);
  const report_result result = targets_.Report(now_, event.report);
  if (result == report_result::kChanged) {
    // A target that changes over from another control instance keeps its
    // weight.
    targets_.SetWeight(event.report.id,
                       performance_.WeightOf(event.report.id,
                                             event.report.version.started_ms));
  }
  if (result == report_result::kChanged &&
      event.report.phase != target_phase::kReady) {
    saved_targets_.RecordWithdrawal();
    SaveTargets();
  }
  if (result != report_result::kUnchanged) {
    effects_.emplace_back(target_report_evaluated{event.report, result});
  }
}

void control_instance::Handle(const target_ended& event) {
  std::optional<target_report> last;
  if (const auto* known = follower_.state().targets.Find(event.id)) {
    last = known->report;
  }
  targets_.MarkGone(now_, event.id, last);
  saved_targets_.RecordWithdrawal();
  SaveTargets();
  target_report ended = last.value_or(target_report{.id = event.id});
  ended.phase = target_phase::kGone;
  effects_.emplace_back(
      target_report_evaluated{std::move(ended), report_result::kChanged});
}

void control_instance::Handle(const control_message_received& event) {
  const wire::fleet_message& message = event.message;
  const instance_name from{message.from()};
  if (from == settings_.self) return;
  if (message.has_agreement()) {
    ReduceAgreement(agreement_message_received{from, message.agreement()});
  } else if (message.has_follow()) {
    const data_centre_name data_centre{message.follow().data_centre()};
    if (message.follow().control()) {
      follower_.AddControlName(now_, from);
      activities_.RecordControl(now_, data_centre);
    } else {
      activities_.RecordEntry(now_, data_centre);
    }
    announcements_.RecordRequest(from);
    for (const wire::unanswered_record& row : message.follow().unanswered()) {
      if (row.packets() > 0) {
        targets_.RecordUnanswered({row.tag()}, row.packets());
      } else {
        targets_.RecordAnswered({row.tag()});
      }
    }
    if (settings_.observe_targets) {
      performance_.AddReport(data_centre, DecodeOutcomes(message.follow()));
    }
    auto update = feed_.HandleFollow(now_, event.link, message.follow(),
                                     MakeFeedContent());
    effects_.emplace_back(
        send_to_follower{update.to, std::move(update.message)});
  } else if (message.has_update()) {
    activities_.RecordControl(now_, {message.update().data_centre()});
    for (follower_event& log_event :
         follower_.Apply(now_, from, message.update())) {
      if (const auto* change = std::get_if<target_change>(&log_event)) {
        saved_targets_.RecordPeerChange(change->phase);
      }
      effects_.emplace_back(std::move(log_event));
    }
  }
}

void control_instance::Handle(const control_tick&) {
  if (last_tick_at_ && now_ - *last_tick_at_ > kSuspensionThreshold) {
    targets_.IgnoreSilence(now_, now_ - *last_tick_at_);
  }
  last_tick_at_ = now_;
  ReduceAgreement(agreement_tick{});
  for (const target_id& id : targets_.Tick(now_)) {
    effects_.emplace_back(target_report_evaluated{
        targets_.targets().at(id).report, report_result::kChanged});
  }
  EvaluateTargets();
  for (follower_event& log_event : follower_.Tick(now_)) {
    effects_.emplace_back(std::move(log_event));
  }
  for (follow_request& request : follower_.Requests(now_, {})) {
    effects_.emplace_back(
        send_to_control{request.to, std::move(request.message)});
    // The agreement sends its log position to voters only, and instances that
    // don't vote need it to catch up.
    wire::agreement_message progress;
    progress.set_chosen_index(agreement_.chosen_index().value);
    progress.set_storage_id(
        agreement_.has_failed_storage() ? 0 : agreement_.storage().value);
    SendAgreement(request.to, std::move(progress));
  }
  if (closures_.Tick(now_)) PushUpdates(true);
  const bool current = ReachesMajority(now_);
  if (current != std::exchange(reached_majority_, current)) {
    effects_.emplace_back(majority_changed{current});
    PushUpdates(true);
  }
  PlanVoterChange();
  SendAnnouncements();
  SaveTargets();
}

std::vector<evaluated_target> control_instance::CollectTargets() const {
  std::vector<evaluated_target> collected;
  const auto collect = [&](const target_report& report, bool is_ready) {
    collected.push_back({.id = report.id,
                         .service = report.service,
                         .data_centre = report.data_centre,
                         .slots = report.slots,
                         .started_ms = report.version.started_ms,
                         .is_ready = is_ready,
                         .published = std::nullopt});
  };
  const target_view& others = follower_.state().targets;
  const auto reports_elsewhere = [&](const target_id& id) {
    const known_target* target = others.Find(id);
    return target != nullptr && !target->IsTerminated() &&
           target->IsReporting(now_);
  };
  const auto& own = targets_.targets();
  for (const auto& [id, target] : own) {
    const target_phase phase = target.report.phase;
    if (phase == target_phase::kGone) continue;
    if (phase == target_phase::kSilent && reports_elsewhere(id)) continue;
    collect(target.report, phase == target_phase::kReady);
  }
  for (const auto& [id, target] : others.targets()) {
    if (target->IsTerminated()) continue;
    if (auto it = own.find(id);
        it != own.end() && (it->second.report.phase != target_phase::kSilent ||
                            !reports_elsewhere(id))) {
      continue;
    }
    collect(target->report, target->report.phase == target_phase::kReady &&
                                target->IsReporting(now_));
    collected.back().published = target->report.weight;
  }
  return collected;
}

void control_instance::EvaluateTargets() {
  if (!settings_.observe_targets || !performance_.IsDue(now_)) return;
  for (weight_change& change : performance_.Evaluate(now_, CollectTargets())) {
    auto it = targets_.targets().find(change.id);
    const bool is_own = it != targets_.targets().end() &&
                        it->second.report.phase == target_phase::kReady;
    if (!is_own) continue;
    targets_.SetWeight(change.id, change.to);
    effects_.emplace_back(target_weight_changed{std::move(change)});
  }
}

void control_instance::SaveTargets() {
  if (feed_.entry_revision() != saved_entry_revision_) {
    saved_entry_revision_ = feed_.entry_revision();
    saved_targets_.RecordChange();
  }
  auto save = saved_targets_.TakeDue(now_, targets_, follower_.state().targets);
  if (!save) return;
  for (const instance_name& name : feed_.EntryInstances()) {
    if (save->followers_size() == restart_announcements::kMaxFollowers) break;
    save->add_followers(name.value);
  }
  effects_.emplace_back(save_targets{*std::move(save)});
}

void control_instance::Handle(const seeds_changed& event) {
  follower_.SetSeeds(now_, event.seeds);
}

void control_instance::Handle(const storage_failed& event) {
  ReduceAgreement(event);
}

void control_instance::Handle(const storage_restored& event) {
  ReduceAgreement(event);
}

void control_instance::ReduceAgreement(const agreement_event& event) {
  for (agreement_effect& effect : agreement_.Reduce(now_, event)) {
    Apply(std::move(effect));
  }
}

void control_instance::Apply(agreement_effect effect) {
  if (auto* record = std::get_if<persist_record>(&effect)) {
    effects_.emplace_back(std::move(*record));
  } else if (auto* rewrite = std::get_if<rewrite_records>(&effect)) {
    effects_.emplace_back(std::move(*rewrite));
  } else if (auto* send = std::get_if<send_agreement>(&effect)) {
    SendAgreement(send->to, std::move(send->message));
  } else if (auto* chosen = std::get_if<proposal_chosen>(&effect)) {
    AnswerCall(chosen->id,
               order_done{.applied = chosen->index,
                          .version = published_.published().version});
  } else if (auto* refused = std::get_if<proposal_refused>(&effect)) {
    // The order changes nothing in the newest state, which a majority
    // confirmed, so it counts as done.
    AnswerCall(refused->id,
               order_done{.applied = agreement_.chosen_index(),
                          .version = published_.published().version});
  } else if (auto* timed_out = std::get_if<proposal_timed_out>(&effect)) {
    AnswerCall(timed_out->id,
               order_outcome_unknown{
                   "timed out waiting for a majority of the voters"});
  } else if (auto* blocked = std::get_if<bootstrap_blocked>(&effect)) {
    effects_.emplace_back(std::move(*blocked));
  } else if (auto* abandoned = std::get_if<round_abandoned>(&effect)) {
    effects_.emplace_back(*abandoned);
  }
}

void control_instance::SendAgreement(const instance_name& to,
                                     wire::agreement_message body) {
  send_to_control effect{to, {}};
  effect.message.set_from(settings_.self.value);
  *effect.message.mutable_agreement() = std::move(body);
  effects_.emplace_back(std::move(effect));
}

void control_instance::AnswerCall(proposal_id id,
                                  const order_outcome& outcome) {
  auto it = pending_calls_.find(id);
  if (it == pending_calls_.end()) return;  // Not an order: a voter change.
  effects_.emplace_back(answer_operator{it->second, outcome});
  pending_calls_.erase(it);
}

void control_instance::HandlePublishedChange() {
  if (published_.last_changed_index() <= published_index_) return;
  published_index_ = published_.last_changed_index();
  const milliseconds reopen_delay = LongestColdStart(published_.published()) +
                                    settings_.heartbeat_interval +
                                    kReopenMargin;
  for (const data_centre_name& reopened :
       closures_.Update(now_, published_.closed(), reopen_delay)) {
    targets_.RepublishNextReports(reopened);
  }
  effects_.emplace_back(state_published{
      published_index_, published_.published().version, published_.closed()});
}

std::vector<control_peer> control_instance::CollectPeers() const {
  std::vector<control_peer> peers{{.name = settings_.self,
                                   .data_centre = settings_.data_centre,
                                   .storage = agreement_.has_failed_storage()
                                                  ? storage_id{}
                                                  : agreement_.storage(),
                                   .caught_up = true,
                                   .silent_for = milliseconds(0)}};
  for (const auto& [name, control] : follower_.controls()) {
    const auto progress = agreement_.ProgressOf(name);
    if (!control.last_update || !progress) continue;
    peers.push_back({.name = name,
                     .data_centre = control.data_centre,
                     .storage = progress->storage,
                     .caught_up = progress->chosen >= agreement_.chosen_index(),
                     .silent_for = std::chrono::duration_cast<milliseconds>(
                         now_ - *control.last_update)});
  }
  return peers;
}

void control_instance::PlanVoterChange() {
  if (last_plan_at_ && now_ - *last_plan_at_ < kVoterPlanInterval) return;
  if (!agreement_.IsVoting() || !ReachesMajority(now_)) return;
  const auto& voters = published_.voters();
  const auto rank = std::distance(voters.begin(), voters.find(settings_.self));
  const milliseconds stagger = rank * kVoterPlanStagger;
  if (now_ - *started_at_ < stagger) return;
  last_plan_at_ = now_;
  // Right after the start, other voters may seem lost only because they had no
  // time to send a message yet.
  const bool may_replace = now_ - *started_at_ >= kReplaceVoterAfter + stagger;
  auto change =
      PlanVoters({.desired_voters = DesiredVoterCount(),
                  .replace_after = may_replace ? kReplaceVoterAfter + stagger
                                               : milliseconds::max(),
                  .candidate_max_silence = kCandidateMaxSilence},
                 voters, CollectPeers());
  if (!change) return;
  effects_.emplace_back(voters_planned{*change});
  ReduceAgreement(
      propose_entry{{++next_proposal_}, EncodeOrder(random_(), *change)});
}

feed_content control_instance::MakeFeedContent() {
  feed_content content{.self = settings_.self,
                       .published = published_,
                       .targets = targets_,
                       .peer_targets = saved_targets_.PeerTargets(now_),
                       .target_epoch = target_epoch_,
                       .data_centre = settings_.data_centre,
                       .current = ReachesMajority(now_),
                       .controls = {},
                       .closed = closures_.Closed(),
                       .activities = activities_};
  for (const auto& [name, control] : follower_.controls()) {
    if (follower_.IsReachable(now_, name)) content.controls.push_back(name);
  }
  return content;
}

void control_instance::PushUpdates(bool to_all) {
  pushed_revision_ = targets_.revision();
  pushed_index_ = published_.last_changed_index();
  for (feed_update& update : feed_.Push(now_, MakeFeedContent(), to_all)) {
    effects_.emplace_back(
        send_to_follower{update.to, std::move(update.message)});
  }
}

}  // namespace lavendertack
