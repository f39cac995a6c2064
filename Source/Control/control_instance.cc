#include "Control/control_instance.h"

#include <algorithm>
#include <utility>

#include "Following/target_codec.h"

namespace lavendertack {
namespace {

// Time between two requests to another control instance, and between two
// messages that tell it how far this one is.
constexpr milliseconds kFollowInterval{300};
// Silent targets: two reports and part of a third were missed.
constexpr double kSilentAfterHeartbeats = 2.75;
// Longer than a report can be on its way: a late one of a target that ended
// must still be known as outdated.
constexpr milliseconds kForgetTargets{60'000};
// A voter that isn't heard for so long is replaced where another can take
// over. Below the time after which a loss may be followed by the next one.
constexpr milliseconds kReplaceVoterAfter{2000};
constexpr milliseconds kCandidateWithin{900};
constexpr milliseconds kPlanInterval{300};
// Each further voter waits so much longer before it plans a change itself.
constexpr milliseconds kPlanStagger{600};
// Without enough voters to survive the losses of the settings, orders wait for
// more of them so long after the start; a smaller deployment has no more.
constexpr milliseconds kWaitForVoters{20'000};
// After a data centre is taken back, targets may need so long, beyond their
// cold start and one report, to be told everywhere.
constexpr milliseconds kReopenMargin{500};
// After a restart, targets have so long to report again: their calls failed
// meanwhile, and they wait longer after each.
constexpr milliseconds kRestoredGrace{10'000};
// Least time between two savings of the targets heard.
constexpr milliseconds kSaveInterval{3000};

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
      book_({.silent_after = std::chrono::duration_cast<milliseconds>(
                 settings_.heartbeat_interval * kSilentAfterHeartbeats),
             .forget_after = kForgetTargets}),
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

void control_instance::Restore(instant now,
                               const wire::target_snapshot& saved) {
  for (const wire::target_record& record : saved.targets()) {
    if (auto report = DecodeTarget(record)) {
      book_.Restore(*report, now + kRestoredGrace);
    }
  }
  saved_revision_ = book_.revision();
}

std::vector<control_effect> control_instance::Reduce(
    instant now, const control_event& event) {
  now_ = now;
  effects_.clear();
  if (!started_) started_ = now;
  std::visit([this](const auto& e) { Handle(e); }, event);
  NotePublished();
  // What a follower was told too lately for more waits for the next tick.
  const bool has_news = book_.revision() != pushed_revision_ ||
                        published_.last_changed_index() != pushed_state_;
  if (has_news || std::holds_alternative<control_tick>(event)) PushNews(false);
  return std::move(effects_);
}

bool control_instance::IsCurrent(instant now) const {
  const replica_set& voters = published_.voters();
  std::size_t heard = 0;
  for (const auto& [name, storage] : voters) {
    if (name == settings_.self ? agreement_.IsVoting()
                               : follower_.IsReachable(now, name)) {
      ++heard;
    }
  }
  return !voters.empty() && heard > voters.size() / 2;
}

bool control_instance::CanConfirmReport(instant now, target_phase phase) const {
  return phase == target_phase::kReady || IsCurrent(now);
}

std::size_t control_instance::WantedVoters() const {
  return std::max<std::size_t>(VotersFor(settings_.tolerated_losses),
                               VotersFor(1));
}

void control_instance::Handle(const operator_order_received& event) {
  const auto answer = [&](order_outcome outcome) {
    effects_.emplace_back(answer_operator{event.call, std::move(outcome)});
  };
  if (!agreement_.IsVoting()) {
    if (auto voter = FindVoter()) return answer(order_redirected{*voter});
    return answer(order_outcome_unknown{"no voter is heard"});
  }
  if (!IsCurrent(now_)) {
    return answer(order_outcome_unknown{"no majority of the voters is heard"});
  }
  const bool is_read = std::holds_alternative<read_published>(event.order);
  if (!is_read &&
      published_.voters().size() < VotersFor(settings_.tolerated_losses) &&
      now_ - *started_ < kWaitForVoters) {
    return answer(order_outcome_unknown{"too few voters yet"});
  }
  const proposal_id id{++next_proposal_};
  calls_[id] = event.call;
  Agree(propose_entry{id, EncodeOrder(random_(), event.order)});
}

std::optional<instance_name> control_instance::FindVoter() const {
  for (const auto& [name, storage] : published_.voters()) {
    auto it = follower_.controls().find(name);
    if (it == follower_.controls().end() || !it->second.current) continue;
    if (follower_.IsReachable(now_, name)) return name;
  }
  // A new control instance doesn't know the voters yet.
  for (const auto& [name, control] : follower_.controls()) {
    if (control.current && follower_.IsReachable(now_, name)) return name;
  }
  return std::nullopt;
}

void control_instance::Handle(const target_report_received& event) {
  const report_result verdict = book_.Report(now_, event.report);
  if (verdict != report_result::kUnchanged) {
    effects_.emplace_back(target_report_evaluated{event.report, verdict});
  }
}

void control_instance::Handle(const target_ended& event) {
  std::optional<target_report> last;
  if (const auto* known = follower_.state().targets.Find(event.id)) {
    last = known->report;
  }
  book_.MarkGone(now_, event.id, last);
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
    Agree(agreement_message_received{from, message.agreement()});
  } else if (message.has_follow()) {
    if (message.follow().control()) follower_.AddControlName(now_, from);
    auto update =
        feed_.HandleFollow(now_, event.link, message.follow(), Content());
    effects_.emplace_back(
        send_to_follower{update.to, std::move(update.message)});
  } else if (message.has_update()) {
    for (follower_event& note : follower_.Apply(now_, from, message.update())) {
      effects_.emplace_back(std::move(note));
    }
  }
}

void control_instance::Handle(const control_tick&) {
  Agree(agreement_tick{});
  for (const target_id& id : book_.Tick(now_)) {
    effects_.emplace_back(target_report_evaluated{book_.targets().at(id).report,
                                                  report_result::kChanged});
  }
  for (follower_event& note : follower_.Tick(now_)) {
    effects_.emplace_back(std::move(note));
  }
  for (follow_request& request : follower_.Requests(now_, {})) {
    effects_.emplace_back(
        send_to_control{request.to, std::move(request.message)});
    // Tells one that doesn't vote how far the log is.
    wire::agreement_message hello;
    hello.set_chosen_index(agreement_.chosen_index().value);
    hello.set_storage_id(
        agreement_.has_failed_storage() ? 0 : agreement_.storage().value);
    SendAgreement(request.to, std::move(hello));
  }
  if (held_.Tick(now_)) PushNews(true);
  const bool current = IsCurrent(now_);
  if (current != std::exchange(was_current_, current)) {
    effects_.emplace_back(majority_changed{current});
    PushNews(true);
  }
  PlanVoterChange();
  SaveTargets();
}

void control_instance::SaveTargets() {
  if (book_.revision() == saved_revision_) return;
  if (last_save_ && now_ - *last_save_ < kSaveInterval) return;
  last_save_ = now_;
  saved_revision_ = book_.revision();
  save_targets save;
  for (const auto& [id, target] : book_.targets()) {
    if (target.report.phase == target_phase::kSilent) continue;
    *save.targets.add_targets() = EncodeTarget(now_, target);
  }
  effects_.emplace_back(std::move(save));
}

void control_instance::Handle(const seeds_changed& event) {
  follower_.SetSeeds(now_, event.seeds);
}

void control_instance::Handle(const storage_failed& event) { Agree(event); }

void control_instance::Handle(const storage_restored& event) { Agree(event); }

void control_instance::Agree(const agreement_event& event) {
  for (agreement_effect& effect : agreement_.Reduce(now_, event)) {
    Carry(std::move(effect));
  }
}

void control_instance::Carry(agreement_effect effect) {
  if (auto* record = std::get_if<persist_record>(&effect)) {
    effects_.emplace_back(std::move(*record));
  } else if (auto* rewrite = std::get_if<rewrite_records>(&effect)) {
    effects_.emplace_back(std::move(*rewrite));
  } else if (auto* send = std::get_if<send_agreement>(&effect)) {
    SendAgreement(send->to, std::move(send->message));
  } else if (auto* chosen = std::get_if<proposal_chosen>(&effect)) {
    Answer(chosen->id, order_done{.applied = chosen->index,
                                  .version = published_.published().version});
  } else if (auto* refused = std::get_if<proposal_refused>(&effect)) {
    // It changes nothing in the newest state, which a majority confirmed.
    Answer(refused->id, order_done{.applied = agreement_.chosen_index(),
                                   .version = published_.published().version});
  } else if (auto* late = std::get_if<proposal_timed_out>(&effect)) {
    Answer(late->id, order_outcome_unknown{"no majority answered in time"});
  } else if (auto* stuck = std::get_if<bootstrap_blocked>(&effect)) {
    effects_.emplace_back(std::move(*stuck));
  }
}

void control_instance::SendAgreement(const instance_name& to,
                                     wire::agreement_message body) {
  send_to_control effect{to, {}};
  effect.message.set_from(settings_.self.value);
  *effect.message.mutable_agreement() = std::move(body);
  effects_.emplace_back(std::move(effect));
}

void control_instance::Answer(proposal_id id, const order_outcome& outcome) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;  // A change of the voters.
  effects_.emplace_back(answer_operator{it->second, outcome});
  calls_.erase(it);
}

void control_instance::NotePublished() {
  if (published_.last_changed_index() <= noted_) return;
  noted_ = published_.last_changed_index();
  const milliseconds hold = LongestColdStart(published_.published()) +
                            settings_.heartbeat_interval + kReopenMargin;
  for (const data_centre_name& back :
       held_.Update(now_, published_.closed(), hold)) {
    book_.RepublishNextReports(back);
  }
  effects_.emplace_back(state_published{noted_, published_.published().version,
                                        published_.closed()});
}

std::vector<control_peer> control_instance::Peers() const {
  std::vector<control_peer> peers{{.name = settings_.self,
                                   .data_centre = settings_.data_centre,
                                   .storage = agreement_.has_failed_storage()
                                                  ? storage_id{}
                                                  : agreement_.storage(),
                                   .caught_up = true,
                                   .silent = milliseconds(0)}};
  for (const auto& [name, control] : follower_.controls()) {
    const auto progress = agreement_.ProgressOf(name);
    if (!control.heard || !progress) continue;
    peers.push_back({.name = name,
                     .data_centre = control.data_centre,
                     .storage = progress->storage,
                     .caught_up = progress->chosen >= agreement_.chosen_index(),
                     .silent = std::chrono::duration_cast<milliseconds>(
                         now_ - *control.heard)});
  }
  return peers;
}

void control_instance::PlanVoterChange() {
  if (last_plan_ && now_ - *last_plan_ < kPlanInterval) return;
  if (!agreement_.IsVoting() || !IsCurrent(now_)) return;
  const auto& voters = published_.voters();
  const auto rank = std::distance(voters.begin(), voters.find(settings_.self));
  const milliseconds stagger = rank * kPlanStagger;
  if (now_ - *started_ < stagger) return;
  last_plan_ = now_;
  // Right after the start, the others may just not have been heard yet.
  const bool may_replace = now_ - *started_ >= kReplaceVoterAfter + stagger;
  auto change =
      PlanVoters({.wanted = WantedVoters(),
                  .replace_after = may_replace ? kReplaceVoterAfter + stagger
                                               : milliseconds::max(),
                  .candidate_within = kCandidateWithin},
                 voters, Peers());
  if (!change) return;
  effects_.emplace_back(voters_planned{*change});
  Agree(propose_entry{{++next_proposal_}, EncodeOrder(random_(), *change)});
}

feed_content control_instance::Content() const {
  feed_content content{.self = settings_.self,
                       .published = published_,
                       .targets = book_,
                       .target_epoch = target_epoch_,
                       .data_centre = settings_.data_centre,
                       .current = IsCurrent(now_),
                       .controls = {},
                       .closed = held_.Closed()};
  for (const auto& [name, control] : follower_.controls()) {
    if (follower_.IsReachable(now_, name)) content.controls.push_back(name);
  }
  return content;
}

void control_instance::PushNews(bool to_all) {
  pushed_revision_ = book_.revision();
  pushed_state_ = published_.last_changed_index();
  for (feed_update& update : feed_.Push(now_, Content(), to_all)) {
    effects_.emplace_back(
        send_to_follower{update.to, std::move(update.message)});
  }
}

}  // namespace lavendertack
