// One instance as a state machine: a single reducer turns each event into
// effects. It routes packets, runs the shards of the services that it owns,
// takes part in the agreement on tickets and sends heartbeats to the other
// instances.
#ifndef LAVENDERTACK_NODE_NODE_H_
#define LAVENDERTACK_NODE_NODE_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Agreement/agreement.h"
#include "Directory/directory.h"
#include "Distribution/catch_up.h"
#include "Membership/membership.h"
#include "Node/data_centre_slow_start.h"
#include "Node/packet_router.h"
#include "Node/replica_changes.h"
#include "Node/ticket_relay.h"
#include "Ownership/ownership.h"
#include "Ownership/roster_proposer.h"
#include "Ownership/roster_registry.h"
#include "Traffic/messages.h"
#include "Traffic/placement.h"
#include "Traffic/service_shard.h"

namespace lavendertack {

// `members` contains this instance. `seed` differs for each start: random
// choices and the ids of relayed tickets derive from it.
struct node_settings {
  instance_name self;
  data_centre_name data_centre;
  std::string deployment;  // Messages of other deployments are dropped.
  bool replica = false;    // Control replica, initially a voter.
  std::vector<member> members;
  // Increases with every start; below 2^38, because owner epochs contain it.
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 0;
  log_limits limits;
};

// Events.
struct caller_packet_received {
  caller_address from;
  caller_packet packet;
};
struct target_announcement_received {
  target_connection connection;
  announcement message;
};
struct target_answer_received {
  target_connection connection;
  run_answer answer;
};
// The connection to a target is lost.
struct target_disconnected {
  target_connection connection;
};
struct peer_message_received {
  wire::peer_message message;
};
struct ticket_submitted {
  admin_request_id request;
  change_ticket ticket;
};
// The instance is shutting down: hand its services over to other instances
// first.
struct leave_requested {};
// The process exits after this event. Requests that are still in progress, such
// as at the end of the time for a graceful stop, get their final answers now.
struct exit_imminent {};
// Occurs at a regular interval and drives all timeouts.
struct node_tick {};
using node_event =
    std::variant<caller_packet_received, target_announcement_received,
                 target_answer_received, target_disconnected,
                 peer_message_received, ticket_submitted,
                 replica_change_submitted, storage_failed, leave_requested,
                 exit_imminent, node_tick>;

// Effects, in addition to those of the components.
struct send_peer_message {
  instance_name to;
  wire::peer_message message;
};
// A line for the log; `part` is its prefix, the component's name.
struct log_line {
  std::string part;
  std::string text;
  flow_id flow;            // 0: not about one flow.
  request_number request;  // 0: not about one request.
};
using node_effect =
    std::variant<send_answer, send_run, send_cancel, send_peer_message,
                 persist_record, rewrite_records, answer_ticket,
                 answer_replica_change, log_line, request_ended>;

class node {
 public:
  explicit node(node_settings settings);

  // Restores one stored record. Call it for every record, in the order of
  // writing, before the first event.
  void Restore(const wire::stored_record& record);

  // Returns the effects in the order in which to apply them.
  std::vector<node_effect> Reduce(instant now, const node_event& event);

  // The directory after all applied entries of the agreed log.
  const directory& agreed_directory() const { return directory_; }
  // The instances of the deployment and their newest heartbeats.
  const membership& members() const { return membership_; }
  // The agreed rosters of all data centres.
  const roster_registry& rosters() const { return rosters_; }
  // True when the instance owns the service in its data centre and its lease is
  // valid.
  bool IsActiveOwner(instant now, const service_name& service) const {
    return ownership_.IsActiveOwner(now, service);
  }
  // The shards of the services that the instance has acquired and not released.
  const std::map<service_name, service_shard>& shards() const {
    return shards_;
  }
  // True after leave_requested once every service is handed over, or no request
  // is running if this is the only instance of its data centre's roster.
  bool CanExit() const;
  const node_settings& settings() const { return settings_; }
  // Number of messages dropped because they contain a log entry or a snapshot
  // that can't be decoded.
  std::uint64_t unreadable_messages() const { return unreadable_messages_; }
  // This instance's part in the agreement on the log.
  const agreement& agreed_log() const { return agreement_; }

 private:
  // Receiver of a ticket's outcome: an operator's request on this instance, or
  // another instance that relayed the ticket.
  struct relayed_ticket {
    instance_name from;
    std::uint64_t id = 0;
  };
  using ticket_origin = std::variant<admin_request_id, relayed_ticket>;

  void Handle(const caller_packet_received& event);
  void Handle(const target_announcement_received& event);
  void Handle(const target_answer_received& event);
  void Handle(const target_disconnected& event);
  void Handle(const peer_message_received& event);
  void Handle(const ticket_submitted& event);
  void Handle(const leave_requested& event);
  void Handle(const exit_imminent& event);
  void Handle(const replica_change_submitted& event);
  void Handle(const storage_failed& event);
  void Handle(const node_tick& event);

  void Route(const caller_packet& packet, const caller_address& caller,
             const packet_origin& origin);
  void ForwardToOwner(const forward_to_owner& decision,
                      const caller_packet& packet,
                      const caller_address& caller);
  void HandleForwarded(const wire::forwarded_packet& message);
  void HandleTicketAsk(const instance_name& from,
                       const wire::ticket_ask& message);
  void ProposeTicket(const ticket_origin& origin, const change_ticket& ticket);
  void AnswerTicketProposal(proposal_id id, const ticket_outcome& outcome);
  void ApplyRelayEffects(std::vector<relay_effect> effects);
  // The other replicas in the order in which to relay a ticket: those that are
  // alive first.
  std::vector<instance_name> ReplicasInRelayOrder() const;
  void RunAgreement(const agreement_event& event);
  agreement_hooks AgreementHooks();
  bool CanApply(const std::string& value) const;
  void ApplyChosen(log_index index, const std::string& value);
  void ApplyEntry(log_index index, const change_ticket& ticket);
  void ApplyEntry(log_index index, const roster_change& change);
  void ApplyEntry(log_index index, const replica_change& change);
  void ApplyEntry(log_index index, const bootstrap_entry& bootstrap);
  std::string SaveState() const;
  void LoadState(const std::string& bytes);
  replica_change AddStorageIds(const replica_change_submitted& event) const;
  void HandleReplicaChangeResult(proposal_id id);
  void ConfirmReplicaChanges();
  bool IsCaughtUp(const replica_change& change) const;
  void HandleProposalResult(proposal_id id, std::optional<log_index> chosen);
  void HandleProposalTimeout(proposal_id id);
  void RunShard(const service_name& name, const shard_event& event);
  std::vector<service_name> ShardNames() const;
  void RunOwnership(const ownership_event& event);
  void HandleOwnership(const instance_name& from,
                       const wire::ownership_message& message);
  void HandleIndexQuery(const instance_name& from,
                        const wire::index_query& query);
  void QueryNewestIndex();
  void ProposeRosterChanges();
  void SendOwnership(send_ownership_message message);
  bool IsDrained(const service_name& service) const;
  instance_status StatusOf(const instance_name& name) const;
  bool IsCurrent() const { return catch_up_.IsCurrent(directory_.applied()); }
  // Sets `flow_lost` of a shard's answer. Before that, corrects the reason
  // kDataCentreOut if the data centre is in service.
  void SetFlowLost(caller_answer* answer) const;
  void SendHeartbeats();
  routing_view RoutingViewFor(const service_name& service) const;
  shard_view ShardViewFor(const service_name& service) const;
  std::optional<instance_name> OwnerOf(const service_name& service,
                                       const data_centre_name& name) const;
  void StartShard(const service_name& service, owner_epoch epoch);
  wire::peer_message NewPeerMessage() const;
  void Log(std::string part, std::string text, flow_id flow = {},
           request_number request = {});

  node_settings settings_;
  directory directory_;
  membership membership_;
  roster_registry rosters_;
  ownership ownership_;
  roster_proposer roster_proposer_;
  catch_up catch_up_;
  agreement agreement_;
  std::map<service_name, service_shard> shards_;
  ticket_relay ticket_relay_;
  std::map<proposal_id, ticket_origin> ticket_origins_;
  std::map<proposal_id, change_ticket> proposed_tickets_;
  // Results of the tickets applied by the event that is being reduced.
  std::map<log_index, ticket_result> ticket_results_;
  replica_changes replica_changes_;
  std::uint64_t last_proposal_id_ = 0;
  std::uint64_t unreadable_messages_ = 0;
  bool leaving_ = false;
  // Whether the event that is being reduced has changed the rosters.
  bool roster_applied_ = false;
  std::optional<instant> last_heartbeat_;
  // Newest index reported by a peer's heartbeat; unset before the first one.
  std::optional<log_index> newest_reported_index_;
  data_centre_slow_start slow_start_;
  // Time and effects of the event that is being reduced.
  instant now_;
  std::vector<node_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_NODE_H_
