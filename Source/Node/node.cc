#include "Node/node.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>

#include "Common/hash.h"
#include "Directory/log_entry.h"
#include "Node/peer_check.h"
#include "Wire/codec.h"

namespace lavendertack {
namespace {

// Relayed tickets are dropped while this many tickets await their outcome.
constexpr std::size_t kMaxPendingTickets = 256;

// Storage id to write if the disk is empty. Each start gets a different one.
storage_id NewStorageId(const node_settings& settings) {
  const std::uint64_t hash =
      StableHash(settings.self.value, settings.seed + settings.incarnation);
  return {std::max<std::uint64_t>(hash, 1)};
}

agreement_settings AgreementSettings(const node_settings& settings) {
  agreement_settings result{.self = settings.self,
                            .replica = settings.replica,
                            .bootstrap_voters = {},
                            .new_storage_id = NewStorageId(settings),
                            .seed = settings.seed,
                            .limits = settings.limits};
  for (const member& m : settings.members) {
    if (m.replica) result.bootstrap_voters.push_back(m.name);
  }
  return result;
}

std::set<instance_name> Replicas(const node_settings& settings) {
  std::set<instance_name> names;
  for (const member& m : settings.members) {
    if (m.replica) names.insert(m.name);
  }
  return names;
}

ownership_settings OwnershipSettings(const node_settings& settings) {
  return {.self = settings.self,
          .data_centre = settings.data_centre,
          .incarnation = settings.incarnation,
          .replicas = Replicas(settings)};
}

roster_proposer_settings RosterProposerSettings(const node_settings& settings) {
  roster_proposer_settings result{.self = settings.self,
                                  .incarnation = settings.incarnation,
                                  .replicas = Replicas(settings),
                                  .instances = {},
                                  .seed = settings.seed};
  for (const member& m : settings.members) {
    result.instances[m.data_centre].insert(m.name);
  }
  return result;
}

// True when the result depends only on chosen entries, which never change: the
// ticket is a resend of an accepted one, or its number is already in use.
// "Outdated" isn't final: it names the newest number, which an instance that
// lags behind doesn't have.
bool IsFinal(const ticket_result& result, log_index applied) {
  if (const auto* accepted = std::get_if<ticket_accepted>(&result)) {
    return accepted->index <= applied;
  }
  return std::holds_alternative<ticket_conflict>(result);
}

}  // namespace

node::node(node_settings settings)
    : settings_(std::move(settings)),
      membership_(settings_.self, settings_.members),
      ownership_(OwnershipSettings(settings_)),
      roster_proposer_(RosterProposerSettings(settings_)),
      catch_up_({.self = settings_.self,
                 .replicas = Replicas(settings_),
                 .nonce = settings_.incarnation}),
      agreement_(AgreementSettings(settings_), AgreementHooks()),
      ticket_relay_(settings_.seed) {}

agreement_hooks node::AgreementHooks() {
  return {
      .admit = [this](const std::string& value) { return CanApply(value); },
      .apply = [this](log_index index,
                      const std::string& value) { ApplyChosen(index, value); },
      .voters = [this]() -> const replica_set& {
        return directory_.replicas();
      },
      .encode_bootstrap_entry =
          [this](const replica_set& voters) {
            std::set<data_centre_name> names;
            for (const member& m : settings_.members) {
              names.insert(m.data_centre);
            }
            return EncodeEntry(
                bootstrap_entry{voters, {names.begin(), names.end()}});
          },
      .decode_bootstrap_voters = [](const std::string& value) -> replica_set {
        const auto entry = DecodeEntry(value);
        if (!entry) return {};
        const auto* bootstrap = std::get_if<bootstrap_entry>(&*entry);
        return bootstrap == nullptr ? replica_set{} : bootstrap->replicas;
      },
      .save = [this] { return SaveState(); },
      .load = [this](const std::string& state) { LoadState(state); },
  };
}

void node::Restore(const wire::stored_record& record) {
  agreement_.Restore(record);
  catch_up_.CountOwnState();
  effects_.clear();
  ticket_results_.clear();
}

std::vector<node_effect> node::Reduce(instant now, const node_event& event) {
  now_ = now;
  effects_.clear();
  roster_applied_ = false;
  std::visit([this](const auto& e) { Handle(e); }, event);
  if (roster_applied_) RunOwnership(ownership_tick{});
  return std::move(effects_);
}

void node::Handle(const caller_packet_received& event) {
  Route(event.packet, event.from, packet_origin{});
}

void node::Route(const caller_packet& packet, const caller_address& caller,
                 const packet_origin& origin) {
  const route decision =
      RoutePacket(RoutingViewFor(packet.service), packet, origin);
  if (const auto* refusal = std::get_if<placement_refusal>(&decision)) {
    caller_answer answer = MakeRefusalAnswer(packet, *refusal);
    Log("entry",
        "flow " + std::to_string(packet.flow.value) + " refused, " +
            std::string(ToString(refusal->reason)),
        packet.flow, answer.request);
    effects_.emplace_back(send_answer{caller, std::move(answer)});
  } else if (const auto* forward = std::get_if<forward_to_owner>(&decision)) {
    ForwardToOwner(*forward, packet, caller);
  } else {
    RunShard(packet.service,
             shard_packet_received{packet, caller, origin.waited});
  }
}

void node::ForwardToOwner(const forward_to_owner& decision,
                          const caller_packet& packet,
                          const caller_address& caller) {
  wire::peer_message message = NewPeerMessage();
  auto* forwarded = message.mutable_packet();
  *forwarded->mutable_packet() = ToWire(packet);
  forwarded->set_caller_address(caller.value);
  forwarded->set_hops(decision.hops);
  forwarded->set_data_centre(decision.location.data_centre.value);
  forwarded->set_waited_ms(static_cast<std::uint32_t>(decision.waited.count()));
  if (decision.hops == 1 && std::holds_alternative<open_flow>(packet.body)) {
    Log("entry",
        "flow " + std::to_string(packet.flow.value) + " of " +
            packet.service.value + " sent to " + decision.location.owner.value +
            " in " + decision.location.data_centre.value,
        packet.flow);
  }
  effects_.emplace_back(
      send_peer_message{decision.location.owner, std::move(message)});
}

void node::Handle(const target_announcement_received& event) {
  const service_name& service = event.message.service;
  if (directory_.FindService(service) == nullptr) return;
  if (!shards_.contains(service)) return;
  RunShard(service,
           shard_announcement_received{event.connection, event.message});
}

void node::Handle(const target_answer_received& event) {
  // Every shard gets the answer; all but the one that sent the attempt drop it.
  for (const service_name& name : ShardNames()) {
    RunShard(name, shard_answer_received{event.connection, event.answer});
  }
}

void node::Handle(const target_disconnected& event) {
  for (const service_name& name : ShardNames()) {
    RunShard(name, shard_target_disconnected{event.connection});
  }
}

void node::Handle(const peer_message_received& event) {
  const wire::peer_message& message = event.message;
  if (message.deployment() != settings_.deployment) return;
  const instance_name from{message.from()};
  if (!membership_.members().contains(from)) return;
  if (message.has_packet()) {
    HandleForwarded(message.packet());
  } else if (message.has_agreement()) {
    if (!HasReadableEntries(message.agreement())) {
      ++unreadable_messages_;
      return;
    }
    RunAgreement(agreement_message_received{from, message.agreement()});
  } else if (message.has_ownership()) {
    HandleOwnership(from, message.ownership());
  } else if (message.has_index_query()) {
    HandleIndexQuery(from, message.index_query());
  } else if (message.has_index_report()) {
    catch_up_.HandleIndexReport(
        from, message.index_report().nonce(),
        log_index{message.index_report().applied_index()});
  } else if (message.has_ticket_ask()) {
    HandleTicketAsk(from, message.ticket_ask());
  } else if (message.has_ticket_reply()) {
    ApplyRelayEffects(ticket_relay_.Receive(now_, message.ticket_reply(),
                                            ReplicasInRelayOrder()));
  } else if (message.has_heartbeat()) {
    membership_.RecordHeartbeat(now_, from, message.heartbeat());
    newest_reported_index_ =
        std::max(newest_reported_index_.value_or(log_index{}),
                 log_index{message.heartbeat().applied_index()});
    if (message.heartbeat().applied_index() > directory_.applied().value) {
      wire::peer_message ask = NewPeerMessage();
      ask.mutable_agreement()->mutable_fetch()->set_first(
          directory_.applied().value + 1);
      effects_.emplace_back(send_peer_message{from, std::move(ask)});
    }
  }
}

void node::HandleForwarded(const wire::forwarded_packet& message) {
  auto parsed = FromWire(message.packet());
  if (std::holds_alternative<wire_error>(parsed)) return;
  const auto& packet = std::get<caller_packet>(parsed);
  Route(packet, caller_address{message.caller_address()},
        packet_origin{
            .chosen_data_centre = data_centre_name{message.data_centre()},
            .hops = message.hops(),
            .waited = milliseconds(message.waited_ms())});
}

void node::Handle(const ticket_submitted& event) {
  if (agreement_.IsVoting()) {
    ProposeTicket(event.request, event.ticket);
  } else {
    ApplyRelayEffects(ticket_relay_.Submit(now_, event.request, event.ticket,
                                           ReplicasInRelayOrder()));
  }
}

void node::HandleTicketAsk(const instance_name& from,
                           const wire::ticket_ask& message) {
  auto ticket = DecodeTicket(message.entry());
  if (!agreement_.IsVoting() ||
      !std::holds_alternative<change_ticket>(ticket)) {
    return;
  }
  // Dropped without a reply; the sender tries another replica after a timeout.
  if (ticket_origins_.size() >= kMaxPendingTickets) return;
  ProposeTicket(relayed_ticket{from, message.id()},
                std::get<change_ticket>(ticket));
}

void node::ProposeTicket(const ticket_origin& origin,
                         const change_ticket& ticket) {
  const proposal_id id{++last_proposal_id_};
  ticket_origins_[id] = origin;
  proposed_tickets_[id] = ticket;
  if (const auto result = directory_.Check(ticket);
      IsFinal(result, directory_.applied())) {
    AnswerTicketProposal(id, result);
    return;
  }
  RunAgreement(propose_entry{id, EncodeTicket(ticket)});
}

void node::AnswerTicketProposal(proposal_id id, const ticket_outcome& outcome) {
  const auto it = ticket_origins_.find(id);
  CHECK(it != ticket_origins_.end()) << "a proposal was answered twice";
  if (const auto* request = std::get_if<admin_request_id>(&it->second)) {
    effects_.emplace_back(answer_ticket{*request, outcome});
  } else {
    const auto& relayed = std::get<relayed_ticket>(it->second);
    wire::peer_message message = NewPeerMessage();
    *message.mutable_ticket_reply() = EncodeOutcome(relayed.id, outcome);
    effects_.emplace_back(send_peer_message{relayed.from, std::move(message)});
  }
  ticket_origins_.erase(it);
  proposed_tickets_.erase(id);
}

void node::ApplyRelayEffects(std::vector<relay_effect> effects) {
  for (relay_effect& effect : effects) {
    if (auto* answer = std::get_if<answer_ticket>(&effect)) {
      effects_.emplace_back(std::move(*answer));
      continue;
    }
    auto& relayed = std::get<relay_ticket>(effect);
    wire::peer_message message = NewPeerMessage();
    *message.mutable_ticket_ask() = std::move(relayed.message);
    effects_.emplace_back(send_peer_message{relayed.to, std::move(message)});
  }
}

std::vector<instance_name> node::ReplicasInRelayOrder() const {
  std::vector<instance_name> order;
  for (const auto& [name, m] : membership_.members()) {
    if (m.replica && name != settings_.self) order.push_back(name);
  }
  std::stable_partition(order.begin(), order.end(),
                        [this](const instance_name& name) {
                          return membership_.IsAlive(now_, name);
                        });
  return order;
}

void node::Handle(const node_tick&) {
  RunAgreement(agreement_tick{});
  ConfirmReplicaChanges();
  ApplyRelayEffects(ticket_relay_.Tick(now_, ReplicasInRelayOrder()));
  if (!last_heartbeat_ || now_ - *last_heartbeat_ >= kHeartbeatInterval) {
    last_heartbeat_ = now_;
    SendHeartbeats();
  }
  QueryNewestIndex();
  RunOwnership(ownership_tick{});
  ProposeRosterChanges();
  for (const service_name& name : ShardNames()) RunShard(name, shard_tick{});
}

void node::Handle(const leave_requested&) {
  if (leaving_) return;
  leaving_ = true;
  Log("placement", "leaving");
  SendHeartbeats();
  // The only instance of a roster has no successor. It stops admitting, so that
  // it can exit once its running requests have ended.
  const roster& own = rosters_.Find(settings_.data_centre);
  if (own.instances != std::set<instance_name>{settings_.self}) return;
  for (const service_name& name : ShardNames()) {
    RunShard(name, shard_stop_admitting{});
  }
}

void node::Handle(const exit_imminent&) {
  for (const service_name& name : ShardNames()) {
    RunShard(name, shard_end_requests{refusal_reason::kDraining});
  }
}

bool node::CanExit() const {
  if (!leaving_) return false;
  const roster& own = rosters_.Find(settings_.data_centre);
  if (!own.Contains(settings_.self)) return !ownership_.owns_any_service();
  if (own.instances.size() > 1) return false;
  return std::all_of(shards_.begin(), shards_.end(), [](const auto& entry) {
    return entry.second.running_requests() == 0;
  });
}

std::vector<service_name> node::ShardNames() const {
  std::vector<service_name> names;
  for (const auto& [name, shard] : shards_) names.push_back(name);
  return names;
}

void node::HandleOwnership(const instance_name& from,
                           const wire::ownership_message& message) {
  if (message.has_answer()) roster_proposer_.Receive(from, message);
  RunOwnership(ownership_received{from, message});
}

void node::HandleIndexQuery(const instance_name& from,
                            const wire::index_query& query) {
  wire::peer_message message = NewPeerMessage();
  auto* report = message.mutable_index_report();
  report->set_nonce(query.nonce());
  report->set_applied_index(directory_.applied().value);
  effects_.emplace_back(send_peer_message{from, std::move(message)});
}

void node::QueryNewestIndex() {
  for (const instance_name& replica : catch_up_.ReplicasToQuery(now_)) {
    wire::peer_message message = NewPeerMessage();
    message.mutable_index_query()->set_nonce(catch_up_.nonce());
    effects_.emplace_back(send_peer_message{replica, std::move(message)});
  }
}

void node::RunOwnership(const ownership_event& event) {
  ownership_view view{
      .rosters = rosters_,
      .services = {},
      .current = IsCurrent(),
      .drained = [this](const service_name& name) { return IsDrained(name); }};
  for (const auto& [name, spec] : directory_.services()) {
    view.services.insert(name);
  }
  for (ownership_effect& effect : ownership_.Reduce(now_, view, event)) {
    if (auto* send = std::get_if<send_ownership_message>(&effect)) {
      SendOwnership(std::move(*send));
    } else if (const auto* acquired =
                   std::get_if<ownership_acquired>(&effect)) {
      StartShard(acquired->service, acquired->epoch);
    } else if (const auto* draining =
                   std::get_if<ownership_draining>(&effect)) {
      Log("placement", "handing over service " + draining->service.value);
      RunShard(draining->service, shard_stop_admitting{});
    } else if (const auto* released =
                   std::get_if<ownership_released>(&effect)) {
      Log("placement", "service " + released->service.value + " handed over");
      // Requests may still run if kMaxDrainTime has passed.
      RunShard(released->service,
               shard_end_requests{refusal_reason::kOwnerChanged});
      shards_.erase(released->service);
    }
  }
}

void node::ProposeRosterChanges() {
  if (!settings_.replica || !IsCurrent()) return;
  const roster_proposer_view view{
      .rosters = rosters_, .status_of = [this](const instance_name& name) {
        return StatusOf(name);
      }};
  for (roster_proposer_effect& effect : roster_proposer_.Tick(now_, view)) {
    if (auto* send = std::get_if<send_ownership_message>(&effect)) {
      SendOwnership(std::move(*send));
    } else if (const auto* propose = std::get_if<propose_roster>(&effect)) {
      RunAgreement(propose_entry{proposal_id{++last_proposal_id_},
                                 EncodeEntry(propose->change)});
    }
  }
}

void node::SendOwnership(send_ownership_message send) {
  wire::peer_message message = NewPeerMessage();
  *message.mutable_ownership() = std::move(send.message);
  effects_.emplace_back(send_peer_message{send.to, std::move(message)});
}

bool node::IsDrained(const service_name& service) const {
  auto it = shards_.find(service);
  return it == shards_.end() || it->second.running_requests() == 0;
}

instance_status node::StatusOf(const instance_name& name) const {
  const member& m = membership_.members().at(name);
  if (m.last_heartbeat.leaving()) return instance_status::kLeaving;
  if (membership_.IsAlive(now_, name)) {
    return m.last_heartbeat.current() ? instance_status::kReady
                                      : instance_status::kUndetermined;
  }
  return membership_.IsSilent(now_, name) ? instance_status::kSilent
                                          : instance_status::kUndetermined;
}

void node::RunAgreement(const agreement_event& event) {
  for (agreement_effect& effect : agreement_.Reduce(now_, event)) {
    if (auto* persist = std::get_if<persist_record>(&effect)) {
      effects_.emplace_back(std::move(*persist));
    } else if (auto* send = std::get_if<send_agreement>(&effect)) {
      wire::peer_message message = NewPeerMessage();
      *message.mutable_agreement() = std::move(send->message);
      effects_.emplace_back(send_peer_message{send->to, std::move(message)});
    } else if (auto* rewrite = std::get_if<rewrite_records>(&effect)) {
      effects_.emplace_back(std::move(*rewrite));
    } else if (auto* blocked = std::get_if<bootstrap_blocked>(&effect)) {
      Log("agreement",
          "the first entry can't be agreed on, " + blocked->replica.value +
              " lost its disk; stop all replicas, empty their data folders");
    } else if (auto* done = std::get_if<proposal_chosen>(&effect)) {
      HandleProposalResult(done->id, done->index);
    } else if (auto* refused = std::get_if<proposal_refused>(&effect)) {
      HandleProposalResult(refused->id, std::nullopt);
    } else if (auto* timed_out = std::get_if<proposal_timed_out>(&effect)) {
      HandleProposalTimeout(timed_out->id);
    }
  }
  ticket_results_.clear();
}

void node::HandleProposalResult(proposal_id id,
                                std::optional<log_index> chosen) {
  if (replica_changes_.Contains(id)) {
    HandleReplicaChangeResult(id);
  } else if (auto it = proposed_tickets_.find(id);
             it != proposed_tickets_.end()) {
    AnswerTicketProposal(id, chosen ? ticket_results_.at(*chosen)
                                    : directory_.Check(it->second));
  }
}

void node::HandleProposalTimeout(proposal_id id) {
  if (replica_changes_.Contains(id)) {
    effects_.emplace_back(answer_replica_change{
        replica_changes_.RemoveProposal(id), replica_change_undecided{}});
  } else if (proposed_tickets_.contains(id)) {
    AnswerTicketProposal(id, ticket_undecided{});
  }
}

void node::Handle(const storage_failed&) {
  Log("storage", "a record could not be synced; this replica stops voting");
  RunAgreement(storage_failed{});
}

void node::Handle(const replica_change_submitted& event) {
  const auto answer = [&](replica_change_outcome outcome) {
    effects_.emplace_back(
        answer_replica_change{event.request, std::move(outcome)});
  };
  if (!agreement_.IsVoting() || directory_.replicas().empty()) {
    answer(replica_change_refused{"this instance isn't a voting replica"});
    return;
  }
  const replica_change change = AddStorageIds(event);
  const replica_change_result result = directory_.Check(change);
  if (const auto* refused = std::get_if<replicas_refused>(&result)) {
    answer(replica_change_refused{refused->reason});
  } else if (std::holds_alternative<replicas_unchanged>(result)) {
    replica_changes_.AwaitConfirmation(now_, event.request,
                                       directory_.applied());
  } else if (!IsCaughtUp(change)) {
    answer(replica_change_refused{change.added.value +
                                  " hasn't got every entry yet"});
  } else {
    const proposal_id id{++last_proposal_id_};
    replica_changes_.AddProposal(event.request, id, change);
    RunAgreement(propose_entry{id, EncodeEntry(change)});
  }
}

replica_change node::AddStorageIds(
    const replica_change_submitted& event) const {
  replica_change change{.removed = event.removed,
                        .removed_storage = {},
                        .added = event.added,
                        .added_storage = {}};
  const replica_set& voters = directory_.replicas();
  if (auto it = voters.find(event.removed); it != voters.end()) {
    change.removed_storage = it->second;
  }
  if (const auto progress = agreement_.ProgressOf(event.added)) {
    change.added_storage = progress->storage;
  }
  return change;
}

bool node::IsCaughtUp(const replica_change& change) const {
  if (change.added.value.empty()) return true;
  const auto progress = agreement_.ProgressOf(change.added);
  return progress && progress->chosen >= agreement_.chosen_index();
}

void node::HandleReplicaChangeResult(proposal_id id) {
  const replica_change_result result =
      directory_.Check(replica_changes_.ChangeOf(id));
  const admin_request_id request = replica_changes_.RemoveProposal(id);
  if (std::holds_alternative<replicas_unchanged>(result)) {
    replica_changes_.AwaitConfirmation(now_, request, directory_.applied());
    return;
  }
  const auto* refused = std::get_if<replicas_refused>(&result);
  effects_.emplace_back(answer_replica_change{
      request,
      replica_change_refused{refused == nullptr
                                 ? "another replica change was chosen first"
                                 : refused->reason}});
}

void node::ConfirmReplicaChanges() {
  const auto is_held_by_majority = [this](log_index index) {
    return agreement_.IsHeldByMajority(index);
  };
  for (answer_replica_change& answer :
       replica_changes_.Tick(now_, is_held_by_majority)) {
    effects_.emplace_back(std::move(answer));
  }
}

bool node::CanApply(const std::string& value) const {
  const auto entry = DecodeEntry(value);
  if (!entry) return false;
  if (const auto* ticket = std::get_if<change_ticket>(&*entry)) {
    const auto result = directory_.Check(*ticket);
    const auto* accepted = std::get_if<ticket_accepted>(&result);
    // A resend of an accepted ticket doesn't get a second entry.
    return accepted != nullptr && accepted->index > directory_.applied();
  }
  if (const auto* change = std::get_if<replica_change>(&*entry)) {
    return std::holds_alternative<replicas_changed>(directory_.Check(*change));
  }
  if (const auto* roster = std::get_if<roster_change>(&*entry)) {
    return rosters_.CanApply(*roster);
  }
  return true;
}

void node::ApplyChosen(log_index index, const std::string& value) {
  const auto entry = DecodeEntry(value);
  CHECK(entry) << "entry " << index << " has an unknown kind";
  std::visit([&](const auto& e) { ApplyEntry(index, e); }, *entry);
}

void node::ApplyEntry(log_index index, const change_ticket& ticket) {
  const ticket_result result = directory_.Apply(index, ticket);
  ticket_results_.emplace(index, result);
  const auto* accepted = std::get_if<ticket_accepted>(&result);
  if (accepted == nullptr || accepted->index != index) return;
  Log("ticket", "ticket " + std::to_string(ticket.number.value) +
                    " applied as entry " + std::to_string(index.value));
}

void node::ApplyEntry(log_index index, const roster_change& change) {
  directory_.AdvanceApplied(index);
  if (!rosters_.Apply(index, change)) return;
  directory_.AddDataCentre(change.data_centre);
  roster_applied_ = true;
  std::string names;
  for (const instance_name& name : change.instances) names += " " + name.value;
  Log("placement", "roster of " + change.data_centre.value + " is now" + names +
                       ", entry " + std::to_string(index.value));
}

void node::ApplyEntry(log_index index, const replica_change& change) {
  directory_.Apply(index, change);
  Log("agreement", "replicas changed by entry " + std::to_string(index.value));
}

void node::ApplyEntry(log_index index, const bootstrap_entry& bootstrap) {
  directory_.Apply(index, bootstrap);
}

std::string node::SaveState() const {
  wire::node_state state;
  *state.mutable_directory() = directory_.Save();
  *state.mutable_rosters() = SaveRosters(rosters_);
  return state.SerializeAsString();
}

void node::LoadState(const std::string& bytes) {
  wire::node_state state;
  CHECK(state.ParseFromString(bytes)) << "the snapshot can't be parsed";
  directory_.Load(state.directory());
  rosters_ = LoadRosters(state.rosters());
  roster_applied_ = true;
}

void node::RunShard(const service_name& name, const shard_event& event) {
  const shard_view view = ShardViewFor(name);
  const bool is_active_owner = ownership_.IsActiveOwner(now_, name);
  for (shard_effect& effect : shards_.at(name).Reduce(now_, view, event)) {
    if (auto* decision = std::get_if<log_decision>(&effect)) {
      Log("shard " + name.value, std::move(decision->text), decision->flow,
          decision->request);
    } else if (auto* ended = std::get_if<request_ended>(&effect)) {
      effects_.emplace_back(std::move(*ended));
    } else if (auto* answer = std::get_if<send_answer>(&effect)) {
      SetFlowLost(&answer->answer);
      effects_.emplace_back(std::move(*answer));
    } else if (auto* run = std::get_if<send_run>(&effect)) {
      CHECK(run->order.service == name)
          << "a shard sent a request of another service";
      CHECK(is_active_owner) << "a request was sent without a valid lease";
      effects_.emplace_back(std::move(*run));
    } else if (auto* cancel = std::get_if<send_cancel>(&effect)) {
      effects_.emplace_back(std::move(*cancel));
    }
  }
}

void node::SetFlowLost(caller_answer* answer) const {
  // ShardViewFor also sets `out` while the owner has no valid lease. The data
  // centre is then in service and its flows stay open.
  if (answer->reason == refusal_reason::kDataCentreOut &&
      !directory_.IsOutOfService(settings_.data_centre)) {
    answer->reason = refusal_reason::kOwnerUnreachable;
  }
  answer->flow_lost = EndsFlow(answer->kind, answer->reason);
}

void node::SendHeartbeats() {
  slow_start_.SetOutOfService(now_,
                              directory_.IsOutOfService(settings_.data_centre));
  wire::peer_message message = NewPeerMessage();
  auto* heartbeat = message.mutable_heartbeat();
  heartbeat->set_incarnation(settings_.incarnation);
  heartbeat->set_applied_index(directory_.applied().value);
  heartbeat->set_current(IsCurrent());
  heartbeat->set_leaving(leaving_);
  heartbeat->set_data_centre(settings_.data_centre.value);
  for (const instance_name& name : membership_.SuspectedInstances(now_)) {
    heartbeat->add_unheard(name.value);
  }
  for (const auto& [name, shard] : shards_) {
    if (!ownership_.IsActiveOwner(now_, name)) continue;
    const shard_load load = shard.Load();
    auto* row = heartbeat->add_capacity();
    row->set_service(name.value);
    row->set_data_centre(settings_.data_centre.value);
    row->set_ready_slots(slow_start_.Share(now_, load.ready_slots));
    row->set_busy_slots(load.busy_slots);
    row->set_free_connections(load.free_connections);
  }
  membership_.RecordHeartbeat(now_, settings_.self, *heartbeat);
  for (const auto& [name, m] : membership_.members()) {
    if (name != settings_.self) {
      effects_.emplace_back(send_peer_message{name, message});
    }
  }
}

routing_view node::RoutingViewFor(const service_name& service) const {
  routing_view result{
      .self = settings_.self,
      .data_centre = settings_.data_centre,
      .is_active_owner = ownership_.IsActiveOwner(now_, service),
      .current = IsCurrent() && newest_reported_index_ &&
                 directory_.applied() >= *newest_reported_index_,
      .placement = {}};
  placement_view& view = result.placement;
  view.service_known = directory_.FindService(service) != nullptr;
  std::set<data_centre_name> names;
  for (const auto& [id, m] : membership_.members()) {
    names.insert(m.data_centre);
  }
  for (const data_centre_name& name : names) {
    data_centre_candidate candidate{.name = name,
                                    .out = directory_.IsOutOfService(name)};
    // A suspected owner gets no new flows, but remains the owner.
    if (auto owner = OwnerOf(service, name);
        owner && membership_.IsAlive(now_, *owner)) {
      const member& m = membership_.members().at(*owner);
      for (const auto& row : m.last_heartbeat.capacity()) {
        if (row.service() == service.value) {
          candidate.ready_slots = row.ready_slots();
        }
      }
    }
    view.data_centres.push_back(candidate);
  }
  // Packets for an unreachable owner would be lost, so they are refused
  // immediately.
  view.owner = [this, service](const data_centre_name& name) {
    auto owner = OwnerOf(service, name);
    if (owner && !membership_.IsReachable(now_, *owner)) owner.reset();
    return owner;
  };
  return result;
}

shard_view node::ShardViewFor(const service_name& service) const {
  // An owner whose lease has expired admits and sends nothing. A shard that is
  // being handed over has already stopped admitting permanently.
  const bool lease_expired = !ownership_.IsActiveOwner(now_, service) &&
                             shards_.at(service).admitting();
  shard_view view{.out = directory_.IsOutOfService(settings_.data_centre) ||
                         lease_expired};
  const service_spec* spec = directory_.FindService(service);
  if (spec == nullptr) return view;
  view.flow_idle = spec->flow_idle;
  for (const class_name& name : spec->classes) {
    if (const class_spec* c = directory_.FindClass(name)) {
      view.classes[name] = c->price;
    }
  }
  return view;
}

std::optional<instance_name> node::OwnerOf(const service_name& service,
                                           const data_centre_name& name) const {
  return rosters_.OwnerOf(service, name);
}

void node::StartShard(const service_name& service, owner_epoch epoch) {
  Log("placement", "taking charge of service " + service.value);
  // Depends on the service: shards with the same seed number their attempts
  // alike, and an answer over a connection that targets of two services share
  // would match an attempt of each.
  const std::uint64_t seed =
      StableHash(service.value, settings_.seed + epoch.value);
  const bool inserted =
      shards_
          .emplace(service, service_shard({.service = service,
                                           .data_centre = settings_.data_centre,
                                           .epoch = epoch,
                                           .seed = seed}))
          .second;
  CHECK(inserted) << "the service already has a shard";
}

wire::peer_message node::NewPeerMessage() const {
  wire::peer_message message;
  message.set_deployment(settings_.deployment);
  message.set_from(settings_.self.value);
  return message;
}

void node::Log(std::string part, std::string text, flow_id flow,
               request_number request) {
  effects_.emplace_back(
      log_line{std::move(part), std::move(text), flow, request});
}

}  // namespace lavendertack
