#include "UnitTests/Agreement/replica_simulation.h"

#include <algorithm>

namespace lavendertack::testing {
namespace {

constexpr char kLogPath[] = "data/agreement.log";
constexpr milliseconds kTickInterval{20};

void Require(bool holds, const std::string& what) {
  if (!holds) throw invariant_violation(what);
}

}  // namespace

replica_simulation::replica_simulation(replica_simulation_settings settings)
    : settings_(settings), random_(settings.seed) {
  const std::size_t count =
      settings.initial_voters + settings.spares + settings.learners;
  for (std::size_t i = 0; i < count; ++i) {
    auto added = std::make_unique<simulated_instance>();
    added->name = {"n" + std::to_string(i)};
    added->replica = i < settings.initial_voters + settings.spares;
    instances_.push_back(std::move(added));
  }
  for (std::size_t i = 0; i < count; ++i) Start(i);
}

bool replica_simulation::RandomChance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::size_t replica_simulation::RandomIndex(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

std::size_t replica_simulation::IndexOf(const instance_name& name) const {
  return std::stoul(name.value.substr(1));
}

node_settings replica_simulation::NodeSettings(std::size_t i) const {
  node_settings result{
      .self = instances_[i]->name,
      .data_centre = {"dc" + std::to_string(i % 3)},
      .deployment = "test",
      .replica = instances_[i]->replica,
      .members = {},
      .incarnation = instances_[i]->generation,
      .seed = StableHash(instances_[i]->name.value,
                         settings_.seed * 1000 + instances_[i]->generation),
      .limits = settings_.limits};
  for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
    result.members.push_back({.name = instances_[peer]->name,
                              .data_centre = {"dc" + std::to_string(peer % 3)},
                              .replica = peer < settings_.initial_voters,
                              .last_heartbeat_at = std::nullopt,
                              .last_heartbeat = {}});
  }
  return result;
}

file_system replica_simulation::FilesOf(std::size_t i) {
  file_system files = instances_[i]->disk.FileSystem();
  if (settings_.defects.acknowledges_before_sync) {
    files.sync = [](const std::string&) { return std::monostate{}; };
  }
  return files;
}

void replica_simulation::Start(std::size_t i) {
  simulated_instance& instance = *instances_[i];
  if (instance.running_node != nullptr) return;
  ++instance.generation;
  instance.running_node = std::make_unique<node>(NodeSettings(i));
  try {
    if (instance.replica) Open(i);
  } catch (const power_failure&) {
    PowerFailure(i);
    return;
  }
  Require(instance.running_node->agreed_directory().applied() >=
              instance.synced_index,
          instance.name.value + " restarted in an older state");
  ScheduleTick(i);
}

void replica_simulation::Open(std::size_t i) {
  simulated_instance& instance = *instances_[i];
  instance.log = std::make_unique<record_log>(FilesOf(i));
  const auto opened = instance.log->Open(kLogPath);
  Require(std::holds_alternative<opened_log>(opened),
          instance.name.value + " found its log file corrupt");
  const auto& contents = std::get<opened_log>(opened);
  if (contents.torn_bytes > 0) ++counts_["torn write truncated"];
  std::vector<std::string> records = contents.records;
  if (settings_.defects.starts_in_older_state && records.size() > 3) {
    records.resize(records.size() - 3);
  }
  for (const std::string& bytes : records) {
    wire::stored_record record;
    Require(record.ParseFromString(bytes), "a stored record is unreadable");
    const bool vote = record.has_promised() || record.has_accepted();
    if (vote && settings_.defects.forgets_promises) continue;
    instance.running_node->Restore(record);
  }
  if (contents.rewrite_error) Dispatch(i, storage_failed{});
}

void replica_simulation::ScheduleTick(std::size_t i) {
  const std::uint64_t generation = instances_[i]->generation;
  queue_.ScheduleAfter(kTickInterval, [this, i, generation] {
    simulated_instance& instance = *instances_[i];
    if (instance.generation != generation) return;
    ScheduleTick(i);
    if (!instance.frozen) Dispatch(i, node_tick{});
  });
}

void replica_simulation::Dispatch(std::size_t i, const node_event& event) {
  simulated_instance& instance = *instances_[i];
  const log_index before = instance.running_node->agreed_directory().applied();
  ++events_;
  try {
    const bool synced =
        ApplyEffects(i, instance.running_node->Reduce(queue_.Now(), event));
    if (!synced) {
      ++counts_["storage failed"];
      ApplyEffects(
          i, instance.running_node->Reduce(queue_.Now(), storage_failed{}));
    }
  } catch (const power_failure&) {
    // The failed instance loses state that wasn't synced, so it isn't checked.
    PowerFailure(i);
    return;
  }
  CheckState(i, before);
}

bool replica_simulation::ApplyEffects(std::size_t i,
                                      std::vector<node_effect> effects) {
  simulated_instance& instance = *instances_[i];
  for (node_effect& effect : effects) {
    storage_result result;
    if (const auto* persist = std::get_if<persist_record>(&effect)) {
      if (!instance.replica) continue;
      result = instance.log->Append(persist->record.SerializeAsString());
    } else if (const auto* rewrite = std::get_if<rewrite_records>(&effect)) {
      if (!instance.replica) continue;
      std::vector<std::string> records;
      for (const auto& record : rewrite->records) {
        records.push_back(record.SerializeAsString());
      }
      result = instance.log->Rewrite(records);
      ++counts_["log rewritten"];
    } else {
      ApplyEffect(i, effect);
    }
    if (std::holds_alternative<storage_error>(result)) return false;
  }
  return true;
}

void replica_simulation::ApplyEffect(std::size_t i, node_effect& effect) {
  simulated_instance& instance = *instances_[i];
  if (const auto* send = std::get_if<send_peer_message>(&effect)) {
    if (send->message.agreement().has_snapshot()) ++counts_["snapshot sent"];
    Send(i, send->to, send->message);
  } else if (const auto* answer = std::get_if<answer_ticket>(&effect)) {
    auto pending = instance.tickets.extract(answer->request);
    Require(!pending.empty(), "a ticket was answered more than once");
    CheckOutcome(pending.mapped().first, answer->outcome);
    pending.mapped().second(answer->outcome);
  } else if (const auto* change = std::get_if<answer_replica_change>(&effect)) {
    auto pending = instance.changes.extract(change->request);
    Require(!pending.empty(), "a replica change was answered more than once");
    pending.mapped()(change->outcome);
  }
}

void replica_simulation::Send(std::size_t from, const instance_name& to,
                              const wire::peer_message& message) {
  const std::size_t target = IndexOf(to);
  const bool progress_only =
      message.agreement().body_case() == wire::agreement_message::BODY_NOT_SET;
  if (message.has_agreement() && !progress_only) ++messages_;
  if (cut_links_.contains({from, target})) {
    ++counts_["message dropped on cut link"];
    return;
  }
  if (RandomChance(loss_rate_)) {
    ++counts_["message lost"];
    return;
  }
  const int copies = RandomChance(duplicate_rate_) ? 2 : 1;
  if (copies == 2) ++counts_["message duplicated"];
  std::uniform_int_distribution<std::int64_t> delay(
      settings_.min_delay.count(), settings_.max_delay.count());
  for (int copy = 0; copy < copies; ++copy) {
    queue_.ScheduleAfter(microseconds(delay(random_)),
                         [this, target, message] { Deliver(target, message); });
  }
}

void replica_simulation::Deliver(std::size_t to,
                                 const wire::peer_message& message) {
  simulated_instance& instance = *instances_[to];
  if (instance.running_node == nullptr) return;
  if (instance.frozen) {
    instance.inbox.push_back(message);
  } else {
    Dispatch(to, peer_message_received{message});
  }
}

void replica_simulation::PowerFailure(std::size_t i) {
  simulated_instance& instance = *instances_[i];
  if (instance.running_node == nullptr) return;
  ++instance.generation;
  ++counts_["power failure"];
  instance.running_node.reset();
  instance.log.reset();
  instance.frozen = false;
  instance.inbox.clear();
  instance.tickets.clear();
  instance.changes.clear();
  const auto bytes = static_cast<unsynced_bytes>(RandomIndex(4));
  instance.disk.PowerFailure({bytes, RandomChance(0.5)});
  if (!instance.replica) instance.synced_index = {};
}

void replica_simulation::LoseDisk(std::size_t i) {
  simulated_instance& instance = *instances_[i];
  const storage_id old = instance.running_node != nullptr
                             ? instance.running_node->agreed_log().storage()
                             : storage_id{};
  PowerFailure(i);
  ++counts_["disk lost"];
  instance.disk.Clear();
  instance.synced_index = {};
  instance.lost_storage = old;
  if (!settings_.defects.votes_after_lost_disk) return;
  record_log log(instance.disk.FileSystem());
  log.Open(kLogPath);
  wire::stored_record record;
  record.set_storage_id(old.value);
  log.Append(record.SerializeAsString());
}

void replica_simulation::Freeze(std::size_t i) {
  if (instances_[i]->frozen || !IsUp(i)) return;
  ++counts_["freeze"];
  instances_[i]->frozen = true;
}

void replica_simulation::Unfreeze(std::size_t i) {
  simulated_instance& instance = *instances_[i];
  if (!instance.frozen) return;
  instance.frozen = false;
  // Messages that arrived while frozen are delivered at once, in random order.
  std::vector<wire::peer_message> inbox = std::exchange(instance.inbox, {});
  std::shuffle(inbox.begin(), inbox.end(), random_);
  for (const wire::peer_message& message : inbox) Deliver(i, message);
}

void replica_simulation::Isolate(std::size_t i) {
  for (std::size_t other = 0; other < instances_.size(); ++other) {
    if (other == i) continue;
    CutLink(i, other);
    CutLink(other, i);
  }
}

void replica_simulation::Submit(std::size_t i, const change_ticket& ticket,
                                ticket_callback done) {
  if (!IsUp(i) || instances_[i]->frozen) return;
  submitted_.try_emplace(
      EncodeTicket(ticket),
      submission{newest_accepted_number_, newest_accepted_index_});
  const admin_request_id request{++requests_};
  instances_[i]->tickets[request] = {ticket, std::move(done)};
  Dispatch(i, ticket_submitted{request, ticket});
}

void replica_simulation::Replace(std::size_t i, std::size_t removed,
                                 std::size_t added, change_callback done) {
  if (!IsUp(i) || instances_[i]->frozen) return;
  const admin_request_id request{++requests_};
  instances_[i]->changes[request] = std::move(done);
  Dispatch(i, replica_change_submitted{request, instances_[removed]->name,
                                       instances_[added]->name});
}

void replica_simulation::CheckState(std::size_t i, log_index before) {
  simulated_instance& instance = *instances_[i];
  if (instance.running_node == nullptr) return;
  const directory& agreed_directory = instance.running_node->agreed_directory();
  Require(agreed_directory.applied() >= before,
          instance.name.value + " went back to an older state");
  if (!instance.running_node->agreed_log().has_failed_storage()) {
    instance.synced_index = agreed_directory.applied();
  }
  if (agreed_directory.applied() == before) return;
  const digest state =
      StableDigest(agreed_directory.Save().SerializeAsString());
  const auto [it, inserted] =
      history_.emplace(agreed_directory.applied(), state);
  Require(inserted || it->second == state,
          "instances differ in the state after entry " +
              std::to_string(agreed_directory.applied().value));
  if (agreed_directory.applied() > newest_applied_) {
    newest_applied_ = agreed_directory.applied();
    voters_ = agreed_directory.replicas();
  }
}

void replica_simulation::CheckOutcome(const change_ticket& ticket,
                                      const ticket_outcome& outcome) {
  const auto* result = std::get_if<ticket_result>(&outcome);
  if (result == nullptr) {
    ++counts_["answer undecided"];
    return;
  }
  const std::string content = EncodeTicket(ticket);
  const submission& at_submission = submitted_.at(content);
  if (const auto* accepted = std::get_if<ticket_accepted>(result)) {
    ++counts_["answer accepted"];
    const auto [it, first] = accepted_.emplace(
        ticket.number, first_acceptance{content, accepted->index});
    Require(it->second.content == content,
            "two tickets were accepted with one number");
    Require(it->second.index == accepted->index,
            "a resend was answered with another entry");
    if (!first) return;
    Require(!refused_.contains(content), "a refused ticket was accepted");
    Require(ticket.number > at_submission.newest_number,
            "a ticket number that is not new was accepted");
    Require(accepted->index > at_submission.newest_index,
            "a ticket was accepted at an old entry");
    newest_accepted_number_ = std::max(newest_accepted_number_, ticket.number);
    newest_accepted_index_ = std::max(newest_accepted_index_, accepted->index);
  } else if (const auto* conflict = std::get_if<ticket_conflict>(result)) {
    ++counts_["answer conflict"];
    Require(conflict->number == ticket.number,
            "a conflict names another number");
    const auto [refusal, first] = refused_.emplace(content, conflict->index);
    Require(refusal->second == conflict->index,
            "two conflicts name different entries");
    auto it = accepted_.find(ticket.number);
    if (it == accepted_.end()) return;
    Require(it->second.content != content,
            "the accepted ticket got a conflict");
    Require(it->second.index == conflict->index,
            "a conflict names another entry");
  } else if (const auto* outdated = std::get_if<ticket_outdated>(result)) {
    ++counts_["answer outdated"];
    Require(!accepted_.contains(ticket.number) ||
                accepted_.at(ticket.number).content != content,
            "an accepted ticket became outdated");
    refused_.emplace(content, log_index{});
    Require(outdated->newest > ticket.number,
            "a ticket is outdated, but the newest number isn't higher");
    Require(outdated->newest >= at_submission.newest_number,
            "a ticket was refused as outdated by an older state");
  } else {
    ++counts_["answer invalid"];
    Require(!accepted_.contains(ticket.number) ||
                accepted_.at(ticket.number).content != content,
            "an accepted ticket became invalid");
  }
}

void replica_simulation::CheckRefusals() const {
  const auto& tickets =
      instances_[0]->running_node->agreed_directory().accepted();
  for (const auto& [content, accepted_index] : refused_) {
    const auto ticket = std::get<change_ticket>(DecodeTicket(content));
    auto it = tickets.find(ticket.number);
    const bool accepted = it != tickets.end();
    Require(!accepted || it->second.content != StableDigest(content),
            "a refused ticket was applied");
    if (accepted_index.value == 0) continue;
    Require(accepted && it->second.index == accepted_index,
            "a conflict names an entry without the accepted ticket");
  }
}

std::size_t replica_simulation::IntactVoters() const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (IsVoterIntact(i)) ++count;
  }
  return count;
}

bool replica_simulation::IsVoterIntact(std::size_t i) const {
  const simulated_instance& instance = *instances_[i];
  auto it = voters_.find(instance.name);
  return it != voters_.end() && it->second != instance.lost_storage;
}

void replica_simulation::CheckConverged() {
  log_index last_index;
  for (const auto& instance : instances_) {
    Require(instance->running_node != nullptr, "an instance is down");
    Require(
        instance->running_node->agreed_directory().applied() == newest_applied_,
        instance->name.value + " lacks the newest state");
  }
  const auto& final_tickets =
      instances_[0]->running_node->agreed_directory().accepted();
  for (const auto& [number, answer] : accepted_) {
    auto it = final_tickets.find(number);
    Require(it != final_tickets.end(), "an accepted ticket is lost");
    Require(it->second.content == StableDigest(answer.content),
            "an accepted ticket was changed");
    Require(it->second.index == answer.index,
            "an accepted ticket moved to another entry");
  }
  CheckRefusals();
  for (const auto& [number, ticket] : final_tickets) {
    Require(ticket.index > last_index,
            "ticket numbers don't increase with the entries");
    last_index = ticket.index;
  }
}

}  // namespace lavendertack::testing
