// Simulates several whole nodes, targets, callers and an operator in virtual
// time. Faults are injected at random, derived from the seed; the invariant
// checker checks every step.
#ifndef LAVENDERTACK_UNITTESTS_NODE_NODE_SIMULATION_H_
#define LAVENDERTACK_UNITTESTS_NODE_NODE_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Node/node.h"
#include "UnitTests/Node/invariant_checker.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {

// A deliberate fault in the output of the system under test. Tests use it to
// verify that the invariant checker detects the fault.
enum class mutation {
  kNone,
  kWrongTarget,     // Sends a request to a random target, of any service.
  kSendOrderTwice,  // Sends a run order to its target twice.
  kAnswerEarly,     // Answers before the request ends, which frees its slot.
  kFalseNotRun,     // Answers "not run" instead of "outcome unknown".
  kIgnoreOutOfService,   // Drops the out-of-service state from tickets.
  kRetryUnknownOutcome,  // Sends a request with an unknown outcome again.
  kWrongCaller,          // Delivers answers to another caller.
  kDropAnswers,          // Drops the answers to some requests.
  kLoseRecords,          // Restarts without the newer half of the records.
};

struct simulation_settings {
  std::uint64_t seed = 1;
  seconds length{170};
  std::size_t flows = 60;
  // Whether to inject crashes, partitions, freezes, packet loss and wrong
  // answers.
  bool inject_faults = true;
  // Whether the operator submits tickets after the first one, which also take
  // data centres out of and back into service, and targets drain.
  bool planned_changes = true;
  mutation active_mutation = mutation::kNone;
};

class node_simulation {
 public:
  explicit node_simulation(simulation_settings settings);

  // Runs for the whole length. The results are in checker().
  void Run();

  // Counts of events, and the violations that were found.
  const invariant_checker& checker() const { return checker_; }
  // Number of events that the nodes have handled.
  std::uint64_t events() const { return events_; }

 private:
  struct instance {
    node_settings settings;
    std::unique_ptr<node> reducer;  // Null while the process is down.
    std::uint64_t generation = 0;   // Changes at every start and crash.
    bool frozen = false;
    // Events that arrived while it was frozen.
    std::vector<std::function<void()>> deferred_events;
    std::vector<wire::stored_record> disk;
    // Time of the newest start, or end of a freeze or partition.
    instant last_disturbance;
    int active_partitions = 0;  // Number of partitioned links from and to it.
    // Number of effects of an event that are applied before it crashes; an
    // event with more effects triggers the crash.
    std::optional<std::size_t> crash_after_effects;
    microseconds clock_offset{0};  // Its clock minus the virtual time.
    ticket_number newest_ticket;   // Applied as of the last check.
  };
  struct target {
    target_name name;
    data_centre_name data_centre;
    service_name default_service;
    service_name service;  // Another one while its name is reused by a fault.
    boot_id boot;
    bool alive = false;
    target_state state = target_state::kCold;
    instant state_since;
    std::set<attempt_id> running_attempts;
  };
  enum class flow_step { kOpening, kIdle, kRequestPending };
  struct flow {
    flow_id id;
    caller_address address;
    service_name service;
    class_name service_class;
    bool repeatable = true;
    flow_step state = flow_step::kOpening;
    std::optional<flow_token> token;
    request_number request;
    caller_packet packet;
    // Increases with each step. Timers of an earlier generation do nothing.
    std::uint64_t timer_generation = 0;
    instant deadline;
    instant opened_at;
    int consecutive_refusals = 0;  // Requests since the last served answer.
  };
  using link = std::pair<instance_name, instance_name>;  // From, to.

  // node_simulation.cc: instances and the links between them.
  void StartInstance(std::size_t index);
  void KillInstance(std::size_t index);
  void Tick(std::size_t index, std::uint64_t generation);
  void Deliver(std::size_t index, const node_event& event);
  void Reduce(std::size_t index, const node_event& event);
  void Apply(std::size_t from, const node_effect& effect);
  void SendPeerMessage(std::size_t from, const send_peer_message& effect);
  void SendRunOrder(std::size_t from, const send_run& effect);
  void PartitionLinks(const std::set<link>& links, milliseconds length);
  // End of the newest fault on the instance; nothing during a freeze or a
  // partition.
  std::optional<instant> UndisturbedSince(const instance& node_instance) const;
  bool Chance(double probability);
  std::uint64_t RandomBelow(std::uint64_t bound);
  milliseconds RandomDuration(int low_ms, int high_ms);
  std::size_t IndexOf(const instance_name& name) const;
  data_centre_name DataCentreOf(std::size_t index) const;

  // node_simulation_targets.cc: simulated targets.
  void StartTarget(std::size_t index, bool may_change_service);
  void Announce(std::size_t index, boot_id boot);
  void SetState(std::size_t index, target_state state);
  void RunRequest(std::size_t index, std::size_t owner, const run_order& order);
  void SendTargetAnswer(std::size_t index, std::size_t owner,
                        const run_order& order);
  void DrainTarget(std::size_t index);
  void FinishDrain(std::size_t index, boot_id boot);
  target_connection ConnectionOf(const target& from, std::size_t owner) const;

  // node_simulation_callers.cc: simulated callers.
  void OpenFlow(std::size_t index);
  void SendPacket(std::size_t index, const caller_packet& packet);
  void SendUntilAnswered(std::size_t index, std::uint64_t timer_generation);
  void ScheduleRequest(std::size_t index, milliseconds wait);
  void StartRequest(std::size_t index);
  void ReceiveAnswer(const caller_address& at, const caller_answer& answer);
  void ReceiveFinalAnswer(std::size_t index, const caller_answer& answer);
  void CheckFlowSurvival(const flow& f, const caller_answer& answer);

  // node_simulation_faults.cc: the operator and fault injection.
  void ScheduleFaults();
  void RepeatEvery(milliseconds low, milliseconds high,
                   const std::function<void()>& action);
  void InjectInstanceFault();
  void InjectPartition();
  void InjectTargetCrash();
  void SubmitPlannedChange();
  void SubmitTicket(const change_ticket& ticket);
  void HandleTicketAnswer(const answer_ticket& answer);
  void CheckTickets();

  simulation_settings settings_;
  event_queue queue_;
  std::mt19937_64 random_;
  invariant_checker checker_;
  std::uint64_t events_ = 0;
  std::vector<instance> instances_;
  std::vector<target> targets_;
  std::vector<flow> flows_;
  // Flow ids of forged packets, with the address of the caller that forged
  // them.
  std::map<flow_id, caller_address> forged_flows_;
  // Index and boot of the target at each connection.
  std::map<target_connection, std::pair<std::size_t, boot_id>> connections_;
  // Latest delivery scheduled on each link, to keep its messages in order.
  std::map<link, instant> last_delivery_;
  // Partitioned links, with the messages to deliver when the partition ends.
  std::map<link, std::vector<std::function<void()>>> partitioned_links_;
  // Sending instance and newest run order of each request, for
  // kRetryUnknownOutcome.
  std::map<std::pair<flow_id, request_number>, std::pair<std::size_t, send_run>>
      last_orders_;
  // State of the operator.
  std::uint64_t last_ticket_number_ = 0;
  std::uint64_t last_request_id_ = 0;
  std::map<admin_request_id, change_ticket> submitted_tickets_;
  std::optional<change_ticket> pending_ticket_;
  // Time of acceptance and encoded ticket, by ticket number.
  std::map<ticket_number, std::pair<instant, std::string>> accepted_tickets_;
  // Time at which the ticket that took the data centre out was accepted.
  std::map<data_centre_name, instant> out_of_service_since_;
  // Time at which the newest ticket that takes the data centre out of or back
  // into service was submitted.
  std::map<data_centre_name, instant> last_out_change_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_NODE_NODE_SIMULATION_H_
