#include "Agreement/agreement.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
namespace {

// A round that hears no quorum for so long starts anew.
constexpr milliseconds kRoundTimeout{150};
// Longest random wait of a proposer that was outbid.
constexpr milliseconds kMaxBackoff{60};
// A proposal without outcome for so long is answered as timed out.
constexpr seconds kProposalTimeout{5};
// An entry that was accepted here and not heard to be chosen for so long is
// proposed anew: its proposer may be gone.
constexpr milliseconds kFinishAfter{400};
// Time between two rounds, and between two founders' first rounds.
constexpr milliseconds kFoundingInterval{500};
// Time between two messages that tell the voters how far this replica is.
constexpr milliseconds kHelloInterval{1000};

bool Below(const wire::ballot& a, const wire::ballot& b) {
  if (a.round() != b.round()) return a.round() < b.round();
  return a.proposer() < b.proposer();
}

bool Equal(const wire::ballot& a, const wire::ballot& b) {
  return a.round() == b.round() && a.proposer() == b.proposer();
}

}  // namespace

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
    CHECK_EQ(chosen.first(), log_.next().value) << "stored entries have a gap";
    for (const std::string& value : chosen.values()) {
      log_.Append(value);
      hooks_.apply(log_.last(), value);
    }
    acceptor_ = {};
  } else if (record.has_snapshot()) {
    log_.RestartAfter({record.snapshot().index()});
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
    CHECK_NE(settings_.new_storage_id.value, 0U) << "0 means no disk";
    storage_ = settings_.new_storage_id;
    wire::stored_record record;
    record.set_storage_id(storage_.value);
    Persist(std::move(record));
  }
  if (const auto* propose = std::get_if<propose_entry>(&event)) {
    Propose(*propose);
  } else if (const auto* received =
                 std::get_if<agreement_message_received>(&event)) {
    Receive(received->from, received->message);
  } else if (std::holds_alternative<storage_failed>(event)) {
    FailStorage();
  } else if (std::holds_alternative<storage_restored>(event)) {
    RestoreStorage();
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
  return settings_.replica && !failed_ && IsVotingOn(settings_.self, storage_);
}

bool agreement::IsVotingOn(const instance_name& name,
                           storage_id storage) const {
  if (IsFounded()) return IsVoter(hooks_.voters(), name, storage);
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
  return IsFounded() && IsQuorum(holders);
}

std::optional<peer_progress> agreement::ProgressOf(
    const instance_name& name) const {
  if (name == settings_.self) {
    if (failed_) return std::nullopt;
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
  pending_.push_back({event.id, event.value, now_ + kProposalTimeout});
  if (round_.step == phase::kIdle && IsFounded()) StartRound();
}

void agreement::Receive(const instance_name& from,
                        const wire::agreement_message& message) {
  const storage_id storage{message.storage_id()};
  if (from != settings_.self) Note(from, message);
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
    case wire::agreement_message::kFetch:
      HandleFetch(from, message.fetch().first());
      break;
    case wire::agreement_message::kSnapshot:
      HandleSnapshot(message.snapshot());
      break;
    case wire::agreement_message::BODY_NOT_SET:
      break;
  }
  const bool learns = !message.has_prepare() && !message.has_accept();
  if (learns && message.chosen_index() > log_.last().value) Fetch(from);
}

void agreement::Note(const instance_name& from,
                     const wire::agreement_message& message) {
  peer_progress& progress = peers_[from];
  const storage_id storage{message.storage_id()};
  const log_index chosen{message.chosen_index()};
  // A message of the same life that comes late tells less, and changes nothing.
  if (progress.storage != storage) progress = {storage, chosen};
  progress.chosen = std::max(progress.chosen, chosen);
}

void agreement::Tick() {
  if (!first_tick_) first_tick_ = now_;
  GiveUpLateProposals();
  if (settings_.replica &&
      (!last_hello_ || now_ - *last_hello_ >= kHelloInterval)) {
    last_hello_ = now_;
    SendHello();
  }
  if (round_.step != phase::kIdle && round_.until > now_) return;
  round_ = {};
  if (HasWork()) StartRound();
}

void agreement::GiveUpLateProposals() {
  const bool voting = IsVoting();
  while (!pending_.empty() && (!voting || pending_.front().give_up <= now_)) {
    effects_.emplace_back(proposal_timed_out{pending_.front().id});
    pending_.pop_front();
  }
}

bool agreement::HasWork() const {
  if (!IsVoting()) return false;
  if (!IsFounded()) {
    // One after the other, so that the founders seldom outbid each other.
    const auto rank =
        std::find(settings_.bootstrap_voters.begin(),
                  settings_.bootstrap_voters.end(), settings_.self) -
        settings_.bootstrap_voters.begin();
    return now_ - *first_tick_ >= rank * kFoundingInterval;
  }
  if (!pending_.empty()) return true;
  if (!acceptor_.has_accepted()) return false;
  const instant since = acceptor_.accepted_at.value_or(*first_tick_);
  return now_ - since >= kFinishAfter;
}

void agreement::FailStorage() {
  failed_ = true;
  round_ = {};
  GiveUpLateProposals();
}

// What the acceptor promised or accepted without a record was told to nobody,
// so keeping to it is safe.
void agreement::RestoreStorage() {
  failed_ = false;
  RewriteRecords();
}

void agreement::SendHello() {
  for (const instance_name& name : Voters()) {
    if (name != settings_.self) Send(name, {});
  }
}

void agreement::StartRound() {
  round_ = {};
  round_.step = phase::kPreparing;
  round_.number.set_round(++highest_round_);
  round_.number.set_proposer(settings_.self.value);
  round_.until = now_ + (IsFounded() ? kRoundTimeout : kFoundingInterval);
  wire::agreement_message message;
  auto* prepare = message.mutable_prepare();
  prepare->set_index(log_.next().value);
  *prepare->mutable_number() = round_.number;
  SendToVoters(message);
}

void agreement::BackOff() {
  std::uniform_int_distribution<std::int64_t> wait(
      1, std::chrono::duration_cast<microseconds>(kMaxBackoff).count());
  round_.step = phase::kBackingOff;
  round_.until = now_ + microseconds(wait(random_));
}

bool agreement::AtNextIndex(const instance_name& from, std::uint64_t index) {
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
  Send(from, std::move(message));
}

void agreement::HandlePrepare(const instance_name& from,
                              const wire::prepare& prepare) {
  if (!AtNextIndex(from, prepare.index()) || !IsVoting()) return;
  highest_round_ = std::max(highest_round_, prepare.number().round());
  if (!Below(acceptor_.promised, prepare.number())) {
    Reject(from);
    return;
  }
  acceptor_.promised = prepare.number();
  wire::stored_record record;
  record.mutable_promised()->set_index(prepare.index());
  *record.mutable_promised()->mutable_number() = prepare.number();
  Persist(std::move(record));
  wire::agreement_message message;
  auto* promise = message.mutable_promise();
  promise->set_index(prepare.index());
  *promise->mutable_number() = prepare.number();
  *promise->mutable_accepted_number() = acceptor_.accepted_number;
  promise->set_accepted_value(acceptor_.accepted_value);
  Send(from, std::move(message));
}

void agreement::HandlePromise(const instance_name& from, storage_id storage,
                              const wire::promise& promise) {
  if (round_.step != phase::kPreparing) return;
  if (promise.index() != log_.next().value) return;
  if (!Equal(promise.number(), round_.number)) return;
  if (!IsVotingOn(from, storage)) return;
  round_.answers[from] = storage;
  if (Below(round_.best_accepted, promise.accepted_number())) {
    round_.best_accepted = promise.accepted_number();
    round_.value = promise.accepted_value();
  }
  if (IsQuorum(round_.answers.size())) StartAccepting();
}

void agreement::StartAccepting() {
  if (!PickValue()) {
    round_ = {};
    return;
  }
  round_.step = phase::kAccepting;
  round_.answers.clear();
  round_.until = now_ + (IsFounded() ? kRoundTimeout : kFoundingInterval);
  wire::agreement_message message;
  auto* accept = message.mutable_accept();
  accept->set_index(log_.next().value);
  *accept->mutable_number() = round_.number;
  accept->set_value(round_.value);
  SendToVoters(message);
}

bool agreement::PickValue() {
  if (!IsFounded()) {
    PickFoundingValue();
    return true;
  }
  if (round_.best_accepted.round() != 0) return true;
  // Nothing accepted anywhere in the quorum: every entry that could have been
  // chosen is in the log, so the hook decides on the newest state.
  while (!pending_.empty() && !hooks_.admit(pending_.front().value)) {
    effects_.emplace_back(proposal_refused{pending_.front().id});
    pending_.pop_front();
  }
  if (pending_.empty()) return false;
  round_.value = pending_.front().value;
  return true;
}

void agreement::PickFoundingValue() {
  if (round_.best_accepted.round() == 0) {
    round_.value = hooks_.encode_bootstrap_entry(round_.answers);
    return;
  }
  const replica_set decode_bootstrap_voters =
      hooks_.decode_bootstrap_voters(round_.value);
  for (const auto& [name, storage] : round_.answers) {
    if (IsVoter(decode_bootstrap_voters, name, storage)) continue;
    effects_.emplace_back(bootstrap_blocked{name});
  }
}

void agreement::HandleAccept(const instance_name& from,
                             const wire::accept& accept) {
  if (!AtNextIndex(from, accept.index()) || !IsVoting()) return;
  highest_round_ = std::max(highest_round_, accept.number().round());
  if (Below(accept.number(), acceptor_.promised)) {
    Reject(from);
    return;
  }
  // The first entry must name this disk, or this replica never votes with it.
  if (!IsFounded() && !IsVoter(hooks_.decode_bootstrap_voters(accept.value()),
                               settings_.self, storage_)) {
    return;
  }
  acceptor_.promised = accept.number();
  acceptor_.accepted_number = accept.number();
  acceptor_.accepted_value = accept.value();
  acceptor_.accepted_at = now_;
  wire::stored_record record;
  *record.mutable_accepted() = accept;
  Persist(std::move(record));
  wire::agreement_message message;
  message.mutable_accepted()->set_index(accept.index());
  *message.mutable_accepted()->mutable_number() = accept.number();
  Send(from, std::move(message));
}

void agreement::HandleAccepted(const instance_name& from, storage_id storage,
                               const wire::accepted& accepted) {
  if (round_.step != phase::kAccepting) return;
  if (accepted.index() != log_.next().value) return;
  if (!Equal(accepted.number(), round_.number)) return;
  if (!IsVotingOn(from, storage)) return;
  round_.answers[from] = storage;
  if (IsQuorum(round_.answers.size())) Choose();
}

void agreement::HandleReject(const wire::reject& reject) {
  if (reject.index() != log_.next().value) return;
  highest_round_ = std::max(highest_round_, reject.promised().round());
  if (round_.step != phase::kPreparing && round_.step != phase::kAccepting) {
    return;
  }
  if (Below(round_.number, reject.promised())) BackOff();
}

void agreement::HandleChosen(const wire::chosen& chosen) {
  log_index index{chosen.first()};
  std::vector<std::string> added;
  for (const std::string& value : chosen.values()) {
    if (log_.Holds(index)) {
      CHECK(log_.At(index) == value) << "two values chosen for entry " << index;
    }
    if (index.value == log_.next().value + added.size()) added.push_back(value);
    ++index.value;
  }
  if (!added.empty()) AppendChosen(added);
}

void agreement::HandleSnapshot(const wire::state_snapshot& snapshot) {
  if (snapshot.index() <= log_.last().value) return;
  log_.RestartAfter({snapshot.index()});
  hooks_.load(snapshot.state());
  acceptor_ = {};
  round_ = {};
  RewriteRecords();
}

void agreement::HandleFetch(const instance_name& from, std::uint64_t first) {
  if (first == 0 || first > log_.last().value) return;
  wire::agreement_message message;
  if (log_.Holds({first})) {
    message.mutable_chosen()->set_first(first);
    for (std::string& value : log_.From({first})) {
      message.mutable_chosen()->add_values(std::move(value));
    }
  } else {
    // A snapshot is large, and the asker may ask again before it arrives.
    auto& sent = snapshot_sent_[from];
    if (sent && now_ - *sent < settings_.limits.snapshot_interval) return;
    sent = now_;
    message.mutable_snapshot()->set_index(log_.last().value);
    message.mutable_snapshot()->set_state(hooks_.save());
  }
  Send(from, std::move(message));
}

void agreement::Choose() {
  const log_index index = log_.next();
  std::string value = round_.value;
  AppendChosen({value});
  wire::agreement_message message;
  message.mutable_chosen()->set_first(index.value);
  message.mutable_chosen()->add_values(std::move(value));
  SendToVoters(message);
}

void agreement::AppendChosen(const std::vector<std::string>& values) {
  wire::stored_record record;
  record.mutable_chosen()->set_first(log_.next().value);
  acceptor_ = {};
  round_ = {};
  for (const std::string& value : values) {
    record.mutable_chosen()->add_values(value);
    log_.Append(value);
    hooks_.apply(log_.last(), value);
    ResolveProposals(value);
  }
  Persist(std::move(record));
}

void agreement::ResolveProposals(const std::string& value) {
  std::deque<pending_proposal> left;
  for (pending_proposal& proposal : pending_) {
    if (proposal.value == value) {
      effects_.emplace_back(proposal_chosen{proposal.id, log_.last()});
    } else {
      left.push_back(std::move(proposal));
    }
  }
  pending_ = std::move(left);
}

bool agreement::IsQuorum(std::size_t count) const {
  // The first entry takes all founders: only then is each one's disk agreed on.
  if (!IsFounded()) return count == settings_.bootstrap_voters.size();
  return count > hooks_.voters().size() / 2;
}

std::vector<instance_name> agreement::Voters() const {
  if (!IsFounded()) return settings_.bootstrap_voters;
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
  // What is held only in memory counts for nobody.
  message.set_storage_id(failed_ ? 0 : storage_.value);
  if (to == settings_.self) {
    Receive(to, message);
  } else {
    effects_.emplace_back(send_agreement{to, std::move(message)});
  }
}

void agreement::SendToVoters(const wire::agreement_message& message) {
  for (const instance_name& name : Voters()) {
    if (name != settings_.self) Send(name, message);
  }
  Send(settings_.self, message);
}

void agreement::Persist(wire::stored_record record) {
  if (failed_) return;
  bytes_since_rewrite_ += record.ByteSizeLong();
  effects_.emplace_back(persist_record{std::move(record)});
}

void agreement::RewriteRecords() {
  if (failed_) return;
  rewrite_records rewrite;
  rewrite.records.emplace_back().set_storage_id(storage_.value);
  if (IsFounded()) {
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
