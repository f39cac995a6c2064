#include "Agreement/agreement.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lavendertack {
namespace {

// Timeout of each phase of a round, in addition to the time for sending the
// entry. A round in which no quorum answers by then is abandoned.
constexpr milliseconds kRoundTimeout{150};
// Rate at which the voters are assumed to receive an entry, all of them
// together. If it is lower, the timeout is doubled until it suffices.
constexpr std::uint64_t kEntryBytesPerMs = 4000;
// Upper bound of the time that a single entry is assumed to need, and of the
// time for which the next entry is left to another proposer.
constexpr milliseconds kMaxTransferTime{3000};
// The timeout is doubled at most this many times.
constexpr int kMaxTimeoutDoublings = 5;
// A larger entry is sent only to voters that have promised the round, and only
// once to each of them.
constexpr std::size_t kLargeEntryBytes{16 << 10};
// Upper bound of a proposer's random backoff after a higher ballot won.
constexpr milliseconds kMaxBackoff{60};
// A proposal without an outcome after this time is reported as timed out.
constexpr seconds kProposalTimeout{5};
// An accepted value that isn't known to be chosen after this time is proposed
// by this instance, because its original proposer may be down.
constexpr milliseconds kRecoverAcceptedAfter{400};
// Replaces kRoundTimeout until the first entry is chosen. Also the delay
// between the first rounds of two successive bootstrap voters.
constexpr milliseconds kBootstrapInterval{500};
// Interval between messages that report this replica's progress to the voters.
constexpr milliseconds kProgressInterval{1000};

bool IsLowerBallot(const wire::ballot& a, const wire::ballot& b) {
  if (a.round() != b.round()) return a.round() < b.round();
  return a.proposer() < b.proposer();
}

bool IsSameBallot(const wire::ballot& a, const wire::ballot& b) {
  return a.round() == b.round() && a.proposer() == b.proposer();
}

}  // namespace

std::string ToString(round_phase phase) {
  switch (phase) {
    case round_phase::kIdle:
      return "idle";
    case round_phase::kPreparing:
      return "preparing";
    case round_phase::kAccepting:
      return "accepting";
    case round_phase::kBackingOff:
      return "backing_off";
  }
  return "unknown";
}

agreement::agreement(agreement_settings settings, agreement_hooks hooks)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      random_(settings_.seed),
      log_(settings_.limits.kept_entries) {}

void agreement::Restore(const wire::stored_record& record) {
  if (record.has_promised()) {
    const auto& promised = record.promised();
    if (promised.index() != log_.next().value) return;
    acceptor_.promised = promised.number();
  } else if (record.has_accepted()) {
    const auto& accepted = record.accepted();
    if (accepted.index() != log_.next().value) return;
    acceptor_.promised = accepted.number();
    acceptor_.accepted_number = accepted.number();
    acceptor_.accepted_value = accepted.value();
  } else if (record.has_chosen()) {
    const auto& chosen = record.chosen();
    CHECK_EQ(chosen.first(), log_.next().value)
        << "the stored entries aren't consecutive";
    for (const std::string& value : chosen.values()) {
      log_.Append(value);
      hooks_.apply(log_.last(), value);
    }
    acceptor_ = {};
  } else if (record.has_snapshot()) {
    log_.ResetTo({record.snapshot().index()});
    hooks_.load(record.snapshot().state());
    acceptor_ = {};
  } else if (record.body_case() == wire::stored_record::kStorageId) {
    storage_ = {record.storage_id()};
  }
  highest_round_ = std::max(highest_round_, acceptor_.promised.round());
  bytes_since_rewrite_ += record.ByteSizeLong();
}

std::vector<agreement_effect> agreement::Reduce(instant now,
                                                const agreement_event& event) {
  now_ = now;
  effects_.clear();
  if (storage_.value == 0) {
    CHECK_NE(settings_.new_storage_id.value, 0U)
        << "storage id 0 means that there is no storage";
    storage_ = settings_.new_storage_id;
    wire::stored_record record;
    record.set_storage_id(storage_.value);
    PersistRecord(std::move(record));
  }
  if (const auto* propose = std::get_if<propose_entry>(&event)) {
    Propose(*propose);
  } else if (const auto* withdraw = std::get_if<withdraw_proposal>(&event)) {
    Withdraw(*withdraw);
  } else if (const auto* received =
                 std::get_if<agreement_message_received>(&event)) {
    Receive(received->from, received->message);
  } else if (std::holds_alternative<storage_failed>(event)) {
    HandleStorageFailure();
  } else if (std::holds_alternative<storage_restored>(event)) {
    HandleStorageRestored();
  } else {
    Tick();
  }
  if (bytes_since_rewrite_ >
      std::max(settings_.limits.rewrite_bytes, rewrite_bytes_)) {
    RewriteRecords();
  }
  return std::move(effects_);
}

bool agreement::IsVoting() const {
  return settings_.replica && !storage_failed_ &&
         IsNextVoter(settings_.self, storage_);
}

bool agreement::IsNextVoter(const instance_name& name,
                            storage_id storage) const {
  if (IsBootstrapped()) return IsVoter(hooks_.voters(), name, storage);
  const auto& bootstrap_voters = settings_.bootstrap_voters;
  return storage.value != 0 &&
         std::find(bootstrap_voters.begin(), bootstrap_voters.end(), name) !=
             bootstrap_voters.end();
}

bool agreement::IsHeldByMajority(log_index index) const {
  std::size_t holders = 0;
  for (const auto& [name, storage] : hooks_.voters()) {
    const auto progress = ProgressOf(name);
    if (!progress || progress->storage != storage) continue;
    if (progress->chosen >= index) ++holders;
  }
  return IsBootstrapped() && IsQuorum(holders);
}

std::optional<peer_progress> agreement::ProgressOf(
    const instance_name& name) const {
  if (name == settings_.self) {
    if (storage_failed_) return std::nullopt;
    return peer_progress{storage_, log_.last()};
  }
  auto it = peers_.find(name);
  if (it == peers_.end()) return std::nullopt;
  return it->second;
}

void agreement::Propose(const propose_entry& event) {
  if (!IsVoting()) {
    effects_.emplace_back(proposal_timed_out{event.id});
    return;
  }
  pending_proposals_.push_back(
      {event.id, event.value,
       event.expires_at.value_or(now_ + kProposalTimeout)});
  if (round_.step == round_phase::kIdle && IsBootstrapped() && !IsDeferring()) {
    StartRound();
  }
}

void agreement::Withdraw(const withdraw_proposal& event) {
  DropProposals([&](const auto& proposal) { return proposal.id == event.id; });
}

void agreement::Receive(const instance_name& from,
                        const wire::agreement_message& message) {
  const storage_id storage{message.storage_id()};
  if (from != settings_.self) UpdatePeerProgress(from, message);
  switch (message.body_case()) {
    case wire::agreement_message::kPrepare:
      HandlePrepare(from, message.prepare());
      break;
    case wire::agreement_message::kPromise:
      HandlePromise(from, storage, message.promise());
      break;
    case wire::agreement_message::kAccept:
      HandleAccept(from, message.accept());
      break;
    case wire::agreement_message::kAccepted:
      HandleAccepted(from, storage, message.accepted());
      break;
    case wire::agreement_message::kReject:
      HandleReject(message.reject());
      break;
    case wire::agreement_message::kChosen:
      HandleChosen(message.chosen());
      break;
    case wire::agreement_message::kAcceptAgain:
      HandleAcceptAgain(from, message.accept_again());
      break;
    case wire::agreement_message::kChosenAgain:
      HandleChosenAgain(message.chosen_again());
      break;
    case wire::agreement_message::kFetch:
      HandleFetch(from, message.fetch().first());
      break;
    case wire::agreement_message::kSnapshot:
      HandleSnapshot(message.snapshot());
      break;
    case wire::agreement_message::BODY_NOT_SET:
      break;
  }
  // HandlePrepare, HandleAccept and HandleAcceptAgain fetch missing entries
  // themselves.
  const bool may_need_fetch = !message.has_prepare() && !message.has_accept() &&
                              !message.has_accept_again();
  if (may_need_fetch && message.chosen_index() > log_.last().value) Fetch(from);
}

void agreement::UpdatePeerProgress(const instance_name& from,
                                   const wire::agreement_message& message) {
  peer_progress& progress = peers_[from];
  const storage_id storage{message.storage_id()};
  const log_index chosen{message.chosen_index()};
  // Messages may arrive out of order: for the same storage id the index never
  // decreases.
  if (progress.storage != storage) progress = {storage, chosen};
  progress.chosen = std::max(progress.chosen, chosen);
}

void agreement::Tick() {
  if (!first_tick_at_) first_tick_at_ = now_;
  ExpireProposals();
  if (settings_.replica &&
      (!last_progress_sent_at_ ||
       now_ - *last_progress_sent_at_ >= kProgressInterval)) {
    last_progress_sent_at_ = now_;
    SendProgress();
  }
  if (round_.step != round_phase::kIdle && round_.deadline > now_) return;
  AbandonRound(false);
  round_ = {};
  if (ShouldStartRound()) StartRound();
}

void agreement::ExpireProposals() {
  DropProposals([this, is_voting = IsVoting()](const auto& proposal) {
    return !is_voting || proposal.expires_at <= now_;
  });
}

void agreement::DropProposals(
    const std::function<bool(const pending_proposal&)>& is_dropped) {
  std::erase_if(pending_proposals_, [&](const pending_proposal& proposal) {
    if (!is_dropped(proposal)) return false;
    effects_.emplace_back(proposal_timed_out{proposal.id});
    return true;
  });
}

bool agreement::ShouldStartRound() const {
  if (!IsVoting()) return false;
  if (!IsBootstrapped()) {
    // Bootstrap voters start one after the other, so that their rounds seldom
    // collide.
    const auto rank =
        std::find(settings_.bootstrap_voters.begin(),
                  settings_.bootstrap_voters.end(), settings_.self) -
        settings_.bootstrap_voters.begin();
    return now_ - *first_tick_at_ >= rank * kBootstrapInterval;
  }
  if (IsDeferring()) return false;
  if (!pending_proposals_.empty()) return true;
  if (!acceptor_.has_accepted()) return false;
  const instant since = acceptor_.accepted_at.value_or(*first_tick_at_);
  return now_ - since >= kRecoverAcceptedAfter;
}

void agreement::HandleStorageFailure() {
  storage_failed_ = true;
  round_ = {};
  ExpireProposals();
}

// The acceptor may contain a promise or acceptance from the event whose write
// failed. It was never sent, because the effects after a failed write are
// dropped, so it is safe to write it now.
void agreement::HandleStorageRestored() {
  storage_failed_ = false;
  RewriteRecords();
}

void agreement::SendProgress() {
  for (const instance_name& name : VoterNames()) {
    if (name != settings_.self) Send(name, {});
  }
}

milliseconds agreement::TransferTime(std::size_t bytes) const {
  if (!IsBootstrapped()) return milliseconds(0);
  const std::uint64_t receivers = hooks_.voters().size() - 1;
  return std::min(kMaxTransferTime, milliseconds(static_cast<std::int64_t>(
                                        bytes * receivers / kEntryBytesPerMs)));
}

milliseconds agreement::PhaseTimeout(std::size_t bytes) const {
  const milliseconds round_trip =
      IsBootstrapped() ? kRoundTimeout : kBootstrapInterval;
  return round_trip * (1 << timeout_doublings_) + TransferTime(bytes);
}

void agreement::StartRound() {
  round_ = {};
  ++round_counts_.started;
  round_.step = round_phase::kPreparing;
  round_.began_at = now_;
  round_.number.set_round(++highest_round_);
  round_.number.set_proposer(settings_.self.value);
  round_.deadline = now_ + PhaseTimeout(0);
  round_.highest_accepted = acceptor_.accepted_number;
  round_.value = acceptor_.accepted_value;
  std::size_t entry_bytes = round_.value.size();
  if (entry_bytes == 0 && !pending_proposals_.empty()) {
    entry_bytes = pending_proposals_.front().value.size();
  }
  wire::agreement_message message;
  auto* prepare = message.mutable_prepare();
  prepare->set_index(log_.next().value);
  *prepare->mutable_number() = round_.number;
  *prepare->mutable_held() = acceptor_.accepted_number;
  prepare->set_transfer_ms(
      static_cast<std::uint32_t>(TransferTime(entry_bytes).count()));
  SendToVoters(message);
}

void agreement::AbandonRound(bool preempted) {
  if (round_.step != round_phase::kPreparing &&
      round_.step != round_phase::kAccepting) {
    return;
  }
  if (preempted) {
    ++round_counts_.preempted;
    last_concluded_round_ = round_.number.round();
  } else {
    ++round_counts_.timed_out;
    if (std::exchange(late_answer_seen_, false)) {
      timeout_doublings_ =
          std::min(timeout_doublings_ + 1, kMaxTimeoutDoublings);
    }
  }
  effects_.emplace_back(round_abandoned{
      .index = log_.next(),
      .step = round_.step,
      .preempted = preempted,
      .answers = round_.responders.size(),
      .value_bytes = round_.value.size(),
      .phase_length =
          std::chrono::duration_cast<milliseconds>(now_ - round_.began_at)});
}

void agreement::HandleLateAnswer(const wire::ballot& number) {
  if (number.round() <= last_concluded_round_) return;
  ++round_counts_.late_answers;
  late_answer_seen_ = true;
}

void agreement::Defer(const instance_name& proposer, milliseconds transfer) {
  if (transfer.count() == 0 || !deferred_to_.insert(proposer).second) return;
  deferred_for_ = proposer;
  deferred_until_ = now_ + std::min(transfer, kMaxTransferTime) + kRoundTimeout;
}

void agreement::ResetRounds() {
  round_ = {};
  last_concluded_round_ = highest_round_;
  late_answer_seen_ = false;
  timeout_doublings_ = 0;
  deferred_to_.clear();
  deferred_until_.reset();
}

void agreement::BackOff(milliseconds wait) {
  AbandonRound(true);
  std::uniform_int_distribution<std::int64_t> random_wait(
      1, std::chrono::duration_cast<microseconds>(kMaxBackoff).count());
  round_.step = round_phase::kBackingOff;
  round_.deadline =
      now_ + std::max<microseconds>(microseconds(random_wait(random_)), wait);
}

bool agreement::CheckNextIndex(const instance_name& from, std::uint64_t index) {
  if (index <= log_.last().value) {
    HandleFetch(from, index);
    return false;
  }
  if (index > log_.next().value) {
    Fetch(from);
    return false;
  }
  return true;
}

void agreement::Reject(const instance_name& from) {
  wire::agreement_message message;
  message.mutable_reject()->set_index(log_.next().value);
  *message.mutable_reject()->mutable_promised() = acceptor_.promised;
  if (IsDeferring() && from != deferred_for_) {
    message.mutable_reject()->set_wait_ms(static_cast<std::uint32_t>(
        std::chrono::ceil<milliseconds>(*deferred_until_ - now_).count()));
  }
  Send(from, std::move(message));
}

void agreement::HandlePrepare(const instance_name& from,
                              const wire::prepare& prepare) {
  if (!CheckNextIndex(from, prepare.index()) || !IsVoting()) return;
  highest_round_ = std::max(highest_round_, prepare.number().round());
  if (!IsLowerBallot(acceptor_.promised, prepare.number())) {
    Reject(from);
    return;
  }
  acceptor_.promised = prepare.number();
  if (from != settings_.self) {
    Defer(from, milliseconds(prepare.transfer_ms()));
  }
  wire::stored_record record;
  record.mutable_promised()->set_index(prepare.index());
  *record.mutable_promised()->mutable_number() = prepare.number();
  PersistRecord(std::move(record));
  wire::agreement_message message;
  auto* promise = message.mutable_promise();
  promise->set_index(prepare.index());
  *promise->mutable_number() = prepare.number();
  *promise->mutable_accepted_number() = acceptor_.accepted_number;
  if (IsLowerBallot(prepare.held(), acceptor_.accepted_number)) {
    promise->set_accepted_value(acceptor_.accepted_value);
  }
  promise->set_knows_references(true);
  Send(from, std::move(message));
}

void agreement::HandlePromise(const instance_name& from, storage_id storage,
                              const wire::promise& promise) {
  if (promise.index() != log_.next().value) return;
  if (!IsSameBallot(promise.number(), round_.number)) {
    HandleLateAnswer(promise.number());
    return;
  }
  if (!IsNextVoter(from, storage)) return;
  const bool is_higher =
      IsLowerBallot(round_.highest_accepted, promise.accepted_number());
  if (is_higher && promise.accepted_value().empty()) return;
  const bool is_repeated =
      !round_.promises
           .insert(
               {from, {promise.accepted_number(), promise.knows_references()}})
           .second;
  if (round_.step == round_phase::kAccepting &&
      round_.value.size() > kLargeEntryBytes && !is_repeated) {
    SendAccept(from);
  }
  if (round_.step != round_phase::kPreparing) return;
  round_.responders[from] = storage;
  if (is_higher) {
    round_.highest_accepted = promise.accepted_number();
    round_.value = promise.accepted_value();
  }
  if (IsQuorum(round_.responders.size())) StartAccepting();
}

void agreement::StartAccepting() {
  if (!SelectValue()) {
    last_concluded_round_ = round_.number.round();
    round_ = {};
    return;
  }
  round_.step = round_phase::kAccepting;
  round_.began_at = now_;
  round_.responders.clear();
  round_.deadline = now_ + PhaseTimeout(round_.value.size());
  if (round_.value.size() > kLargeEntryBytes) {
    for (const auto& [name, promise] : round_.promises) {
      if (name != settings_.self) SendAccept(name);
    }
    SendAccept(settings_.self);
    return;
  }
  wire::agreement_message message;
  auto* accept = message.mutable_accept();
  accept->set_index(log_.next().value);
  *accept->mutable_number() = round_.number;
  accept->set_value(round_.value);
  SendToVoters(message);
}

void agreement::SendAccept(const instance_name& to) {
  const received_promise& promise = round_.promises[to];
  const bool has_value =
      promise.knows_references && promise.accepted_number.round() != 0 &&
      IsSameBallot(promise.accepted_number, round_.highest_accepted);
  wire::agreement_message message;
  if (has_value) {
    auto* again = message.mutable_accept_again();
    again->set_index(log_.next().value);
    *again->mutable_number() = round_.number;
    *again->mutable_held() = round_.highest_accepted;
  } else {
    auto* accept = message.mutable_accept();
    accept->set_index(log_.next().value);
    *accept->mutable_number() = round_.number;
    accept->set_value(round_.value);
  }
  Send(to, std::move(message));
}

bool agreement::SelectValue() {
  if (!IsBootstrapped()) {
    SelectBootstrapValue();
    return true;
  }
  if (round_.highest_accepted.round() != 0) return true;
  // No acceptor of the quorum has accepted a value for this index, so every
  // entry that could have been chosen is in the log and the hook decides on the
  // newest state.
  ExpireProposals();
  while (!pending_proposals_.empty() &&
         !hooks_.admit(pending_proposals_.front().value)) {
    effects_.emplace_back(proposal_refused{pending_proposals_.front().id});
    pending_proposals_.pop_front();
  }
  if (pending_proposals_.empty()) return false;
  round_.value = pending_proposals_.front().value;
  return true;
}

void agreement::SelectBootstrapValue() {
  if (round_.highest_accepted.round() == 0) {
    round_.value = hooks_.encode_bootstrap_entry(round_.responders);
    return;
  }
  // A bootstrap voter whose storage id differs from the one in an accepted
  // first entry has lost its disk and can't accept that entry.
  const replica_set listed_voters =
      hooks_.decode_bootstrap_voters(round_.value);
  for (const auto& [name, storage] : round_.responders) {
    if (IsVoter(listed_voters, name, storage)) continue;
    effects_.emplace_back(bootstrap_blocked{name});
  }
}

void agreement::HandleAccept(const instance_name& from,
                             const wire::accept& accept) {
  if (!CheckNextIndex(from, accept.index()) || !IsVoting()) return;
  AcceptValue(from, accept.index(), accept.number(), accept.value());
}

void agreement::HandleAcceptAgain(const instance_name& from,
                                  const wire::accept_again& accept) {
  if (!CheckNextIndex(from, accept.index()) || !IsVoting()) return;
  // Ballots identify entries: the proposer means the entry accepted here.
  if (!acceptor_.has_accepted() ||
      !IsSameBallot(acceptor_.accepted_number, accept.held())) {
    return;
  }
  const std::string value = acceptor_.accepted_value;
  AcceptValue(from, accept.index(), accept.number(), value);
}

void agreement::AcceptValue(const instance_name& from, std::uint64_t index,
                            const wire::ballot& number,
                            const std::string& value) {
  highest_round_ = std::max(highest_round_, number.round());
  if (IsLowerBallot(number, acceptor_.promised)) {
    Reject(from);
    return;
  }
  // A first entry that omits this replica's storage id would bar it from
  // voting, so it isn't accepted.
  if (!IsBootstrapped() && !IsVoter(hooks_.decode_bootstrap_voters(value),
                                    settings_.self, storage_)) {
    return;
  }
  acceptor_.promised = number;
  acceptor_.accepted_number = number;
  acceptor_.accepted_value = value;
  acceptor_.accepted_at = now_;
  wire::stored_record record;
  record.mutable_accepted()->set_index(index);
  *record.mutable_accepted()->mutable_number() = number;
  record.mutable_accepted()->set_value(value);
  PersistRecord(std::move(record));
  wire::agreement_message message;
  message.mutable_accepted()->set_index(index);
  *message.mutable_accepted()->mutable_number() = number;
  Send(from, std::move(message));
}

void agreement::HandleAccepted(const instance_name& from, storage_id storage,
                               const wire::accepted& accepted) {
  if (accepted.index() != log_.next().value) return;
  if (!IsSameBallot(accepted.number(), round_.number)) {
    HandleLateAnswer(accepted.number());
    return;
  }
  if (round_.step != round_phase::kAccepting) return;
  if (!IsNextVoter(from, storage)) return;
  round_.responders[from] = storage;
  if (IsQuorum(round_.responders.size())) CommitRoundValue();
}

void agreement::HandleReject(const wire::reject& reject) {
  if (reject.index() != log_.next().value) return;
  highest_round_ = std::max(highest_round_, reject.promised().round());
  if (round_.step != round_phase::kPreparing &&
      round_.step != round_phase::kAccepting) {
    return;
  }
  if (IsLowerBallot(round_.number, reject.promised())) {
    BackOff(std::min(milliseconds(reject.wait_ms()),
                     kMaxTransferTime + kRoundTimeout));
  }
}

void agreement::HandleChosen(const wire::chosen& chosen) {
  log_index index{chosen.first()};
  std::vector<std::string> added;
  for (const std::string& value : chosen.values()) {
    if (log_.Contains(index)) {
      CHECK(log_.At(index) == value)
          << "conflicting values were chosen for entry " << index;
    }
    if (index.value == log_.next().value + added.size()) added.push_back(value);
    ++index.value;
  }
  if (!added.empty()) AppendChosen(added);
}

void agreement::HandleChosenAgain(const wire::chosen_again& chosen) {
  if (chosen.index() != log_.next().value || !acceptor_.has_accepted()) return;
  if (!IsSameBallot(acceptor_.accepted_number, chosen.number())) return;
  AppendChosen({acceptor_.accepted_value});
}

void agreement::HandleSnapshot(const wire::state_snapshot& snapshot) {
  if (snapshot.index() <= log_.last().value) return;
  log_.ResetTo({snapshot.index()});
  hooks_.load(snapshot.state());
  acceptor_ = {};
  ResetRounds();
  RewriteRecords();
}

void agreement::HandleFetch(const instance_name& from, std::uint64_t first) {
  if (first == 0 || first > log_.last().value) return;
  wire::agreement_message message;
  if (log_.Contains({first})) {
    message.mutable_chosen()->set_first(first);
    for (std::string& value : log_.EntriesFrom({first})) {
      message.mutable_chosen()->add_values(std::move(value));
    }
  } else {
    // A snapshot is large, and the requester may ask again before it arrives.
    auto& sent_at = snapshot_sent_at_[from];
    if (sent_at && now_ - *sent_at < settings_.limits.snapshot_interval) return;
    sent_at = now_;
    message.mutable_snapshot()->set_index(log_.last().value);
    message.mutable_snapshot()->set_state(hooks_.save());
  }
  Send(from, std::move(message));
}

void agreement::CommitRoundValue() {
  const log_index index = log_.next();
  const round_state round = std::move(round_);
  AppendChosen({round.value});
  wire::agreement_message whole;
  whole.mutable_chosen()->set_first(index.value);
  whole.mutable_chosen()->add_values(round.value);
  wire::agreement_message reference;
  reference.mutable_chosen_again()->set_index(index.value);
  *reference.mutable_chosen_again()->mutable_number() = round.number;
  const bool is_large = round.value.size() > kLargeEntryBytes;
  for (const instance_name& name : VoterNames()) {
    if (name == settings_.self) continue;
    const auto promise = round.promises.find(name);
    // A voter that hasn't accepted the entry fetches it: every message contains
    // the index of the newest chosen entry.
    const bool is_older_build =
        promise != round.promises.end() && !promise->second.knows_references;
    Send(name, is_large && !is_older_build ? reference : whole);
  }
}

void agreement::AppendChosen(const std::vector<std::string>& values) {
  wire::stored_record record;
  record.mutable_chosen()->set_first(log_.next().value);
  acceptor_ = {};
  ResetRounds();
  for (const std::string& value : values) {
    record.mutable_chosen()->add_values(value);
    log_.Append(value);
    hooks_.apply(log_.last(), value);
    ResolveProposals(value);
  }
  PersistRecord(std::move(record));
}

void agreement::ResolveProposals(const std::string& value) {
  std::deque<pending_proposal> remaining;
  for (pending_proposal& proposal : pending_proposals_) {
    if (proposal.value == value) {
      effects_.emplace_back(proposal_chosen{proposal.id, log_.last()});
    } else {
      remaining.push_back(std::move(proposal));
    }
  }
  pending_proposals_ = std::move(remaining);
}

bool agreement::IsQuorum(std::size_t count) const {
  // The first entry needs all bootstrap voters, because it records the storage
  // id of every voter.
  if (!IsBootstrapped()) return count == settings_.bootstrap_voters.size();
  return count > hooks_.voters().size() / 2;
}

std::vector<instance_name> agreement::VoterNames() const {
  if (!IsBootstrapped()) return settings_.bootstrap_voters;
  std::vector<instance_name> names;
  for (const auto& [name, storage] : hooks_.voters()) names.push_back(name);
  return names;
}

void agreement::Fetch(const instance_name& from) {
  wire::agreement_message message;
  message.mutable_fetch()->set_first(log_.next().value);
  Send(from, std::move(message));
}

void agreement::Send(const instance_name& to, wire::agreement_message message) {
  message.set_chosen_index(log_.last().value);
  // With storage id 0, receivers don't count entries that are only in memory
  // here.
  message.set_storage_id(storage_failed_ ? 0 : storage_.value);
  if (to == settings_.self) {
    Receive(to, message);
  } else {
    effects_.emplace_back(send_agreement{to, std::move(message)});
  }
}

void agreement::SendToVoters(const wire::agreement_message& message) {
  for (const instance_name& name : VoterNames()) {
    if (name != settings_.self) Send(name, message);
  }
  Send(settings_.self, message);
}

void agreement::PersistRecord(wire::stored_record record) {
  if (storage_failed_) return;
  bytes_since_rewrite_ += record.ByteSizeLong();
  effects_.emplace_back(persist_record{std::move(record)});
}

void agreement::RewriteRecords() {
  if (storage_failed_) return;
  rewrite_records rewrite;
  rewrite.records.emplace_back().set_storage_id(storage_.value);
  if (IsBootstrapped()) {
    auto* snapshot = rewrite.records.emplace_back().mutable_snapshot();
    snapshot->set_index(log_.last().value);
    snapshot->set_state(hooks_.save());
  }
  if (acceptor_.has_accepted()) {
    auto* accepted = rewrite.records.emplace_back().mutable_accepted();
    accepted->set_index(log_.next().value);
    *accepted->mutable_number() = acceptor_.accepted_number;
    accepted->set_value(acceptor_.accepted_value);
  }
  if (acceptor_.promised.round() != 0) {
    auto* promised = rewrite.records.emplace_back().mutable_promised();
    promised->set_index(log_.next().value);
    *promised->mutable_number() = acceptor_.promised;
  }
  rewrite_bytes_ = 0;
  for (const auto& record : rewrite.records) {
    rewrite_bytes_ += record.ByteSizeLong();
  }
  bytes_since_rewrite_ = 0;
  effects_.emplace_back(std::move(rewrite));
}

}  // namespace lavendertack
