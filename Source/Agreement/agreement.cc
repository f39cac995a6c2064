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
// Entries in one message to a replica or learner that is behind.
constexpr std::uint64_t kMaxEntriesPerMessage = 64;

bool Below(const wire::ballot& a, const wire::ballot& b) {
  if (a.round() != b.round()) return a.round() < b.round();
  return a.proposer() < b.proposer();
}

bool Equal(const wire::ballot& a, const wire::ballot& b) {
  return a.round() == b.round() && a.proposer() == b.proposer();
}

}  // namespace

agreement::agreement(agreement_settings settings, admit_hook admit)
    : settings_(std::move(settings)),
      admit_(std::move(admit)),
      random_(settings_.seed) {}

void agreement::Restore(const wire::stored_record& record) {
  if (record.has_promised()) {
    const auto& promised = record.promised();
    if (promised.index() != log_.size() + 1) return;
    acceptor_.promised = promised.number();
  } else if (record.has_accepted()) {
    const auto& accepted = record.accepted();
    if (accepted.index() != log_.size() + 1) return;
    acceptor_.promised = accepted.number();
    acceptor_.accepted_number = accepted.number();
    acceptor_.accepted_value = accepted.value();
  } else if (record.has_chosen()) {
    const auto& chosen = record.chosen();
    CHECK_EQ(chosen.first(), log_.size() + 1) << "stored entries have a gap";
    for (const std::string& value : chosen.values()) log_.push_back(value);
    acceptor_ = {};
  }
  highest_round_ = std::max(highest_round_, acceptor_.promised.round());
}

std::vector<agreement_effect> agreement::Reduce(instant now,
                                                const agreement_event& event) {
  now_ = now;
  effects_.clear();
  if (const auto* propose = std::get_if<propose_entry>(&event)) {
    Propose(*propose);
  } else if (const auto* received = std::get_if<agreement_received>(&event)) {
    Receive(*received);
  } else {
    Tick();
  }
  return std::move(effects_);
}

const std::string& agreement::ChosenValue(log_index index) const {
  CHECK(index.value >= 1 && index.value <= log_.size()) << "no such entry";
  return log_[index.value - 1];
}

void agreement::Propose(const propose_entry& event) {
  CHECK(settings_.replica) << "only a replica proposes";
  pending_.push_back({event.id, event.value, now_ + kProposalTimeout});
  if (round_.step == phase::kIdle) StartRound();
}

void agreement::Receive(const agreement_received& event) {
  const wire::agreement_message& message = event.message;
  switch (message.body_case()) {
    case wire::agreement_message::kPrepare:
      HandlePrepare(event.from, message.prepare());
      break;
    case wire::agreement_message::kPromise:
      HandlePromise(event.from, message.promise());
      break;
    case wire::agreement_message::kAccept:
      HandleAccept(event.from, message.accept());
      break;
    case wire::agreement_message::kAccepted:
      HandleAccepted(event.from, message.accepted());
      break;
    case wire::agreement_message::kReject:
      HandleReject(message.reject());
      break;
    case wire::agreement_message::kChosen:
      HandleChosen(message.chosen());
      break;
    case wire::agreement_message::kFetch:
      HandleFetch(event.from, message.fetch().first());
      break;
    case wire::agreement_message::BODY_NOT_SET:
      break;
  }
}

void agreement::Tick() {
  while (!pending_.empty() && pending_.front().give_up <= now_) {
    effects_.emplace_back(proposal_timed_out{pending_.front().id});
    pending_.pop_front();
    round_ = {};
  }
  if (pending_.empty()) return;
  if (round_.step == phase::kIdle || round_.until <= now_) StartRound();
}

void agreement::StartRound() {
  if (pending_.empty()) {
    round_ = {};
    return;
  }
  round_ = {};
  round_.step = phase::kPreparing;
  round_.number.set_round(++highest_round_);
  round_.number.set_proposer(settings_.self.value);
  round_.until = now_ + kRoundTimeout;
  wire::agreement_message message;
  auto* prepare = message.mutable_prepare();
  prepare->set_index(log_.size() + 1);
  *prepare->mutable_number() = round_.number;
  SendToReplicas(message);
}

void agreement::BackOff() {
  std::uniform_int_distribution<std::int64_t> wait(
      1, std::chrono::duration_cast<microseconds>(kMaxBackoff).count());
  round_.step = phase::kBackingOff;
  round_.until = now_ + microseconds(wait(random_));
}

bool agreement::AtNextIndex(const instance_name& from, std::uint64_t index) {
  if (index <= log_.size()) {
    HandleFetch(from, index);
    return false;
  }
  if (index > log_.size() + 1) {
    wire::agreement_message message;
    message.mutable_fetch()->set_first(log_.size() + 1);
    Send(from, std::move(message));
    return false;
  }
  return true;
}

void agreement::HandlePrepare(const instance_name& from,
                              const wire::prepare& prepare) {
  if (!settings_.replica || !AtNextIndex(from, prepare.index())) return;
  highest_round_ = std::max(highest_round_, prepare.number().round());
  wire::agreement_message message;
  if (!Below(acceptor_.promised, prepare.number())) {
    message.mutable_reject()->set_index(prepare.index());
    *message.mutable_reject()->mutable_promised() = acceptor_.promised;
    Send(from, std::move(message));
    return;
  }
  acceptor_.promised = prepare.number();
  wire::stored_record record;
  record.mutable_promised()->set_index(prepare.index());
  *record.mutable_promised()->mutable_number() = prepare.number();
  Persist(std::move(record));
  auto* promise = message.mutable_promise();
  promise->set_index(prepare.index());
  *promise->mutable_number() = prepare.number();
  *promise->mutable_accepted_number() = acceptor_.accepted_number;
  promise->set_accepted_value(acceptor_.accepted_value);
  Send(from, std::move(message));
}

void agreement::HandlePromise(const instance_name& from,
                              const wire::promise& promise) {
  if (round_.step != phase::kPreparing) return;
  if (promise.index() != log_.size() + 1) return;
  if (!Equal(promise.number(), round_.number)) return;
  round_.answers.insert(from);
  if (Below(round_.best_accepted, promise.accepted_number())) {
    round_.best_accepted = promise.accepted_number();
    round_.value = promise.accepted_value();
  }
  if (IsQuorum(round_.answers.size())) StartAccepting();
}

void agreement::StartAccepting() {
  // Nothing accepted anywhere in the quorum: every entry that could have been
  // chosen is in the log, so the hook decides on the newest state.
  while (round_.best_accepted.round() == 0 && !pending_.empty() &&
         !admit_(pending_.front().value)) {
    effects_.emplace_back(proposal_refused{pending_.front().id});
    pending_.pop_front();
  }
  if (round_.best_accepted.round() == 0) {
    if (pending_.empty()) {
      round_ = {};
      return;
    }
    round_.value = pending_.front().value;
  }
  round_.step = phase::kAccepting;
  round_.answers.clear();
  round_.until = now_ + kRoundTimeout;
  wire::agreement_message message;
  auto* accept = message.mutable_accept();
  accept->set_index(log_.size() + 1);
  *accept->mutable_number() = round_.number;
  accept->set_value(round_.value);
  SendToReplicas(message);
}

void agreement::HandleAccept(const instance_name& from,
                             const wire::accept& accept) {
  if (!settings_.replica || !AtNextIndex(from, accept.index())) return;
  highest_round_ = std::max(highest_round_, accept.number().round());
  wire::agreement_message message;
  if (Below(accept.number(), acceptor_.promised)) {
    message.mutable_reject()->set_index(accept.index());
    *message.mutable_reject()->mutable_promised() = acceptor_.promised;
    Send(from, std::move(message));
    return;
  }
  acceptor_.promised = accept.number();
  acceptor_.accepted_number = accept.number();
  acceptor_.accepted_value = accept.value();
  wire::stored_record record;
  *record.mutable_accepted() = accept;
  Persist(std::move(record));
  message.mutable_accepted()->set_index(accept.index());
  *message.mutable_accepted()->mutable_number() = accept.number();
  Send(from, std::move(message));
}

void agreement::HandleAccepted(const instance_name& from,
                               const wire::accepted& accepted) {
  if (round_.step != phase::kAccepting) return;
  if (accepted.index() != log_.size() + 1) return;
  if (!Equal(accepted.number(), round_.number)) return;
  round_.answers.insert(from);
  if (IsQuorum(round_.answers.size())) Choose(round_.value);
}

void agreement::HandleReject(const wire::reject& reject) {
  if (reject.index() != log_.size() + 1) return;
  highest_round_ = std::max(highest_round_, reject.promised().round());
  if (round_.step != phase::kPreparing && round_.step != phase::kAccepting) {
    return;
  }
  if (Below(round_.number, reject.promised())) BackOff();
}

void agreement::HandleChosen(const wire::chosen& chosen) {
  std::uint64_t index = chosen.first();
  for (const std::string& value : chosen.values()) {
    if (index == log_.size() + 1) AppendChosen(value);
    ++index;
  }
}

void agreement::HandleFetch(const instance_name& from, std::uint64_t first) {
  if (first == 0 || first > log_.size()) return;
  wire::agreement_message message;
  auto* chosen = message.mutable_chosen();
  chosen->set_first(first);
  const std::uint64_t last =
      std::min<std::uint64_t>(log_.size(), first + kMaxEntriesPerMessage - 1);
  for (std::uint64_t i = first; i <= last; ++i) {
    chosen->add_values(log_[i - 1]);
  }
  Send(from, std::move(message));
}

void agreement::Choose(std::string value) {
  const std::uint64_t index = log_.size() + 1;
  AppendChosen(value);
  wire::agreement_message message;
  message.mutable_chosen()->set_first(index);
  message.mutable_chosen()->add_values(std::move(value));
  for (const instance_name& replica : settings_.replicas) {
    if (replica != settings_.self) Send(replica, message);
  }
}

void agreement::AppendChosen(const std::string& value) {
  log_.push_back(value);
  acceptor_ = {};
  round_ = {};
  wire::stored_record record;
  record.mutable_chosen()->set_first(log_.size());
  record.mutable_chosen()->add_values(value);
  Persist(std::move(record));
  effects_.emplace_back(entry_chosen{log_index{log_.size()}, value});
  while (!pending_.empty() && pending_.front().value == value) {
    effects_.emplace_back(
        proposal_chosen{pending_.front().id, log_index{log_.size()}});
    pending_.pop_front();
  }
  // The next round starts at the next tick, after the entry is applied.
}

bool agreement::IsQuorum(std::size_t count) const {
  return count > settings_.replicas.size() / 2;
}

void agreement::Send(const instance_name& to, wire::agreement_message message) {
  message.set_chosen_index(log_.size());
  if (to != settings_.self) {
    effects_.emplace_back(send_agreement{to, std::move(message)});
    return;
  }
  Receive({settings_.self, message});
}

void agreement::SendToReplicas(const wire::agreement_message& message) {
  for (const instance_name& replica : settings_.replicas) {
    if (replica != settings_.self) Send(replica, message);
  }
  Send(settings_.self, message);
}

void agreement::Persist(wire::stored_record record) {
  effects_.emplace_back(persist_record{std::move(record)});
}

}  // namespace lavendertack
