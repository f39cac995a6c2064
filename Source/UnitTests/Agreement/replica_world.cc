#include "UnitTests/Agreement/replica_world.h"

#include <algorithm>

namespace lavendertack::testing {
namespace {

constexpr char kLogPath[] = "data/agreement.log";
constexpr milliseconds kTickInterval{20};

void Require(bool holds, const std::string& what) {
  if (!holds) throw violation(what);
}

}  // namespace

replica_world::replica_world(world_settings settings)
    : settings_(settings), random_(settings.seed) {
  const std::size_t count =
      settings.founders + settings.spares + settings.learners;
  for (std::size_t i = 0; i < count; ++i) {
    auto added = std::make_unique<machine>();
    added->name = {"n" + std::to_string(i)};
    added->replica = i < settings.founders + settings.spares;
    machines_.push_back(std::move(added));
  }
  for (std::size_t i = 0; i < count; ++i) Start(i);
}

bool replica_world::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::size_t replica_world::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

std::size_t replica_world::IndexOf(const instance_name& name) const {
  return std::stoul(name.value.substr(1));
}

node_settings replica_world::NodeSettings(std::size_t i) const {
  node_settings result{
      .self = machines_[i]->name,
      .data_centre = {"dc" + std::to_string(i % 3)},
      .deployment = "test",
      .replica = machines_[i]->replica,
      .members = {},
      .incarnation = machines_[i]->life,
      .seed = StableHash(machines_[i]->name.value,
                         settings_.seed * 1000 + machines_[i]->life),
      .limits = settings_.limits};
  for (std::size_t m = 0; m < machines_.size(); ++m) {
    result.members.push_back({.name = machines_[m]->name,
                              .data_centre = {"dc" + std::to_string(m % 3)},
                              .replica = m < settings_.founders,
                              .last_heartbeat_at = std::nullopt,
                              .last_heartbeat = {}});
  }
  return result;
}

file_system replica_world::FilesOf(std::size_t i) {
  file_system files = machines_[i]->disk.Hooks();
  if (settings_.broken.acknowledges_before_sync) {
    files.sync = [](const std::string&) { return std::monostate{}; };
  }
  return files;
}

void replica_world::Start(std::size_t i) {
  machine& m = *machines_[i];
  if (m.state != nullptr) return;
  ++m.life;
  m.state = std::make_unique<node>(NodeSettings(i));
  try {
    if (m.replica) Open(i);
  } catch (const power_failure&) {
    PowerFailure(i);
    return;
  }
  Require(m.state->agreed().applied() >= m.synced,
          m.name.value + " came back in an older state");
  ScheduleTick(i);
}

void replica_world::Open(std::size_t i) {
  machine& m = *machines_[i];
  m.log = std::make_unique<record_log>(FilesOf(i));
  const auto opened = m.log->Open(kLogPath);
  Require(std::holds_alternative<opened_log>(opened),
          m.name.value + " finds its log corrupt");
  const auto& found = std::get<opened_log>(opened);
  if (found.torn_bytes > 0) ++counts_["torn write cut"];
  std::vector<std::string> records = found.records;
  if (settings_.broken.starts_in_older_state && records.size() > 3) {
    records.resize(records.size() - 3);
  }
  for (const std::string& bytes : records) {
    wire::stored_record record;
    Require(record.ParseFromString(bytes), "a stored record is unreadable");
    const bool vote = record.has_promised() || record.has_accepted();
    if (vote && settings_.broken.forgets_promises) continue;
    m.state->Restore(record);
  }
  if (found.rewrite_error) Dispatch(i, storage_failed{});
}

void replica_world::ScheduleTick(std::size_t i) {
  const std::uint64_t life = machines_[i]->life;
  queue_.After(kTickInterval, [this, i, life] {
    machine& m = *machines_[i];
    if (m.life != life) return;
    ScheduleTick(i);
    if (!m.frozen) Dispatch(i, node_tick{});
  });
}

void replica_world::Dispatch(std::size_t i, const node_event& event) {
  machine& m = *machines_[i];
  const log_index before = m.state->agreed().applied();
  ++events_;
  try {
    const bool synced = Carry(i, m.state->Reduce(queue_.Now(), event));
    if (!synced) {
      ++counts_["storage failed"];
      Carry(i, m.state->Reduce(queue_.Now(), storage_failed{}));
    }
  } catch (const power_failure&) {
    // The state that was reached but not synced is gone with the process.
    PowerFailure(i);
    return;
  }
  CheckState(i, before);
}

bool replica_world::Carry(std::size_t i, std::vector<node_effect> effects) {
  machine& m = *machines_[i];
  for (node_effect& effect : effects) {
    storage_result result;
    if (const auto* persist = std::get_if<persist_record>(&effect)) {
      if (!m.replica) continue;
      result = m.log->Append(persist->record.SerializeAsString());
    } else if (const auto* rewrite = std::get_if<rewrite_records>(&effect)) {
      if (!m.replica) continue;
      std::vector<std::string> records;
      for (const auto& record : rewrite->records) {
        records.push_back(record.SerializeAsString());
      }
      result = m.log->Rewrite(records);
      ++counts_["log rewritten"];
    } else {
      CarryOne(i, effect);
    }
    if (std::holds_alternative<storage_error>(result)) return false;
  }
  return true;
}

void replica_world::CarryOne(std::size_t i, node_effect& effect) {
  machine& m = *machines_[i];
  if (const auto* send = std::get_if<send_peer>(&effect)) {
    if (send->message.agreement().has_snapshot()) ++counts_["snapshot sent"];
    Send(i, send->to, send->message);
  } else if (const auto* answer = std::get_if<answer_ticket>(&effect)) {
    auto taken = m.tickets.extract(answer->request);
    Require(!taken.empty(), "a ticket was answered twice");
    CheckOutcome(taken.mapped().first, answer->outcome);
    taken.mapped().second(answer->outcome);
  } else if (const auto* change = std::get_if<answer_replica_change>(&effect)) {
    auto taken = m.changes.extract(change->request);
    Require(!taken.empty(), "a replica change was answered twice");
    taken.mapped()(change->outcome);
  }
}

void replica_world::Send(std::size_t from, const instance_name& to,
                         const wire::peer_message& message) {
  const std::size_t target = IndexOf(to);
  const bool hello =
      message.agreement().body_case() == wire::agreement_message::BODY_NOT_SET;
  if (message.has_agreement() && !hello) ++messages_;
  if (cuts_.contains({from, target})) {
    ++counts_["message cut off"];
    return;
  }
  if (Chance(loss_rate_)) {
    ++counts_["message lost"];
    return;
  }
  const int copies = Chance(duplicate_rate_) ? 2 : 1;
  if (copies == 2) ++counts_["message duplicated"];
  std::uniform_int_distribution<std::int64_t> delay(
      settings_.min_delay.count(), settings_.max_delay.count());
  for (int copy = 0; copy < copies; ++copy) {
    queue_.After(microseconds(delay(random_)),
                 [this, target, message] { Deliver(target, message); });
  }
}

void replica_world::Deliver(std::size_t to, const wire::peer_message& message) {
  machine& m = *machines_[to];
  if (m.state == nullptr) return;
  if (m.frozen) {
    m.inbox.push_back(message);
  } else {
    Dispatch(to, peer_message_received{message});
  }
}

void replica_world::PowerFailure(std::size_t i) {
  machine& m = *machines_[i];
  if (m.state == nullptr) return;
  ++m.life;
  ++counts_["power failure"];
  m.state.reset();
  m.log.reset();
  m.frozen = false;
  m.inbox.clear();
  m.tickets.clear();
  m.changes.clear();
  const auto bytes = static_cast<unsynced_bytes>(Pick(4));
  m.disk.PowerFailure({bytes, Chance(0.5)});
  if (!m.replica) m.synced = {};
}

void replica_world::LoseDisk(std::size_t i) {
  machine& m = *machines_[i];
  const storage_id old =
      m.state != nullptr ? m.state->agreed_log().storage() : storage_id{};
  PowerFailure(i);
  ++counts_["disk lost"];
  m.disk.Clear();
  m.synced = {};
  m.lost_storage = old;
  if (!settings_.broken.votes_after_lost_disk) return;
  record_log log(m.disk.Hooks());
  log.Open(kLogPath);
  wire::stored_record record;
  record.set_storage_id(old.value);
  log.Append(record.SerializeAsString());
}

void replica_world::Freeze(std::size_t i) {
  if (machines_[i]->frozen || !IsUp(i)) return;
  ++counts_["freeze"];
  machines_[i]->frozen = true;
}

void replica_world::Wake(std::size_t i) {
  machine& m = *machines_[i];
  if (!m.frozen) return;
  m.frozen = false;
  // What it was sent meanwhile comes at once, in any order.
  std::vector<wire::peer_message> inbox = std::exchange(m.inbox, {});
  std::shuffle(inbox.begin(), inbox.end(), random_);
  for (const wire::peer_message& message : inbox) Deliver(i, message);
}

void replica_world::Isolate(std::size_t i) {
  for (std::size_t other = 0; other < machines_.size(); ++other) {
    if (other == i) continue;
    Cut(i, other);
    Cut(other, i);
  }
}

void replica_world::Submit(std::size_t i, const change_ticket& ticket,
                           ticket_done done) {
  if (!IsUp(i) || machines_[i]->frozen) return;
  submitted_.try_emplace(EncodeTicket(ticket),
                         submission{newest_answered_, index_answered_});
  const admin_request request{++requests_};
  machines_[i]->tickets[request] = {ticket, std::move(done)};
  Dispatch(i, ticket_submitted{request, ticket});
}

void replica_world::Replace(std::size_t i, std::size_t removed,
                            std::size_t added, change_done done) {
  if (!IsUp(i) || machines_[i]->frozen) return;
  const admin_request request{++requests_};
  machines_[i]->changes[request] = std::move(done);
  Dispatch(i, replica_change_submitted{request, machines_[removed]->name,
                                       machines_[added]->name});
}

void replica_world::CheckState(std::size_t i, log_index before) {
  machine& m = *machines_[i];
  if (m.state == nullptr) return;
  const directory& agreed = m.state->agreed();
  Require(agreed.applied() >= before, m.name.value + " went back");
  if (!m.state->agreed_log().has_failed_storage()) m.synced = agreed.applied();
  if (agreed.applied() == before) return;
  const digest state = StableDigest(agreed.Save().SerializeAsString());
  const auto [it, fresh] = history_.emplace(agreed.applied(), state);
  Require(fresh || it->second == state,
          "two states for entry " + std::to_string(agreed.applied().value));
  if (agreed.applied() > newest_) {
    newest_ = agreed.applied();
    voters_ = agreed.replicas();
  }
}

void replica_world::CheckOutcome(const change_ticket& ticket,
                                 const ticket_outcome& outcome) {
  const auto* verdict = std::get_if<ticket_result>(&outcome);
  if (verdict == nullptr) {
    ++counts_["answer undecided"];
    return;
  }
  const std::string content = EncodeTicket(ticket);
  const submission& known = submitted_.at(content);
  if (const auto* accepted = std::get_if<ticket_accepted>(verdict)) {
    ++counts_["answer accepted"];
    const auto [it, first] = accepted_.emplace(
        ticket.number, first_answer{content, accepted->index});
    Require(it->second.content == content, "one number accepted twice");
    Require(it->second.index == accepted->index, "a resend was answered anew");
    if (!first) return;
    Require(!refused_.contains(content), "a refused ticket was accepted");
    Require(ticket.number > known.newest_known, "an old number was accepted");
    Require(accepted->index > known.index_known, "accepted in the past");
    newest_answered_ = std::max(newest_answered_, ticket.number);
    index_answered_ = std::max(index_answered_, accepted->index);
  } else if (const auto* conflict = std::get_if<ticket_conflict>(verdict)) {
    ++counts_["answer conflict"];
    Require(conflict->number == ticket.number, "conflict names another number");
    const auto [refusal, first] = refused_.emplace(content, conflict->index);
    Require(refusal->second == conflict->index, "a conflict has two winners");
    auto it = accepted_.find(ticket.number);
    if (it == accepted_.end()) return;
    Require(it->second.content != content, "the winner was told of a conflict");
    Require(it->second.index == conflict->index, "conflict names another one");
  } else if (const auto* outdated = std::get_if<ticket_outdated>(verdict)) {
    ++counts_["answer outdated"];
    Require(!accepted_.contains(ticket.number) ||
                accepted_.at(ticket.number).content != content,
            "an accepted ticket became outdated");
    refused_.emplace(content, log_index{});
    Require(outdated->newest > ticket.number, "outdated by a lower number");
    Require(outdated->newest >= known.newest_known, "outdated by an old state");
  } else {
    ++counts_["answer invalid"];
    Require(!accepted_.contains(ticket.number) ||
                accepted_.at(ticket.number).content != content,
            "an accepted ticket became invalid");
  }
}

void replica_world::CheckRefusals() const {
  const auto& tickets = machines_[0]->state->agreed().accepted();
  for (const auto& [content, winner] : refused_) {
    const auto ticket = std::get<change_ticket>(DecodeTicket(content));
    auto it = tickets.find(ticket.number);
    const bool accepted = it != tickets.end();
    Require(!accepted || it->second.content != StableDigest(content),
            "a refused ticket is in force");
    if (winner.value == 0) continue;
    Require(accepted && it->second.index == winner,
            "a conflict names an entry that isn't the winner's");
  }
}

std::size_t replica_world::IntactVoters() const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (IsVoterIntact(i)) ++count;
  }
  return count;
}

bool replica_world::IsVoterIntact(std::size_t i) const {
  const machine& m = *machines_[i];
  auto it = voters_.find(m.name);
  return it != voters_.end() && it->second != m.lost_storage;
}

void replica_world::CheckConverged() {
  log_index last_index;
  for (const auto& m : machines_) {
    Require(m->state != nullptr, "an instance is down");
    Require(m->state->agreed().applied() == newest_,
            m->name.value + " isn't in the newest state");
  }
  const auto& final_tickets = machines_[0]->state->agreed().accepted();
  for (const auto& [number, answer] : accepted_) {
    auto it = final_tickets.find(number);
    Require(it != final_tickets.end(), "an accepted ticket is lost");
    Require(it->second.content == StableDigest(answer.content),
            "an accepted ticket was changed");
    Require(it->second.index == answer.index, "an accepted ticket has moved");
  }
  CheckRefusals();
  for (const auto& [number, ticket] : final_tickets) {
    Require(ticket.index > last_index, "numbers don't rise with the entries");
    last_index = ticket.index;
  }
}

}  // namespace lavendertack::testing
