// Several whole-node reducers, fake targets, callers and an operator on one
// queue of virtual time. Faults come at random from the seed; the witness
// checks every step.
#ifndef LAVENDERTACK_UNITTESTS_NODE_WORLD_H_
#define LAVENDERTACK_UNITTESTS_NODE_WORLD_H_

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
#include "UnitTests/Node/witness.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {

// A deliberate fault in the system's output, to see that it is noticed.
enum class mutation {
  kNone,
  kWrongTarget,   // A request goes to another service's target.
  kSendTwice,     // The record of a request is skipped now and then.
  kSlotLate,      // A slot counts as free before the answer.
  kFalseNotRun,   // "Outcome unknown" is told as "not run".
  kIgnoreOut,     // A data centre that is taken out goes on as before.
  kRetryUnknown,  // What may have run is sent once more.
  kWrongCaller,   // Answers reach another caller.
  kDropAnswers,   // Some requests never get an answer.
  kLoseRecords,   // A restart comes back without its last records.
};

struct world_settings {
  std::uint64_t seed = 1;
  seconds length{170};
  std::size_t flows = 60;
  bool unplanned = true;  // Crashes, cuts, freezes, loss, wrong answers.
  bool planned = true;    // Tickets, drains, data centres out and in.
  mutation mutant = mutation::kNone;
};

class world {
 public:
  explicit world(world_settings settings);

  // Runs the whole time. Afterwards everything is in the witness.
  void Run();

  const witness& seen() const { return witness_; }
  std::uint64_t events() const { return events_; }

 private:
  struct instance {
    node_settings settings;
    std::unique_ptr<node> reducer;  // None while dead.
    std::uint64_t life = 0;
    bool frozen = false;
    std::vector<std::function<void()>> held;  // While frozen.
    std::vector<wire::stored_record> disk;
    instant disturbed;  // The last time a fault touched it, or ended.
    int cuts = 0;       // Cuts in force that touch it.
    std::optional<std::size_t> die_after;  // Effects carried out yet.
    microseconds clock_offset{0};
    ticket_number newest;
  };
  struct target {
    target_name name;
    data_centre_name data_centre;
    service_name home;
    service_name service;
    boot_id boot;
    bool alive = false;
    target_state state = target_state::kCold;
    instant state_since;
    std::set<attempt_id> running;
  };
  enum class step { kOpening, kThinking, kWaiting };
  struct flow {
    flow_id id;
    caller_address address;
    service_name service;
    class_name service_class;
    bool repeatable = true;
    step at = step::kOpening;
    std::optional<flow_token> token;
    request_number request;
    caller_packet packet;
    std::uint64_t turn = 0;  // Rises with each step, ends old timers.
    instant deadline;
    instant opened;
    int refused = 0;  // Requests in a row refused as out.
  };
  using link = std::pair<instance_name, instance_name>;

  // world.cc: instances and the links between them.
  void StartInstance(std::size_t index);
  void KillInstance(std::size_t index);
  void Tick(std::size_t index, std::uint64_t life);
  void Deliver(std::size_t index, const node_event& event);
  void Reduce(std::size_t index, const node_event& event);
  void Carry(std::size_t from, const node_effect& effect);
  void CarryPeer(std::size_t from, const send_peer& effect);
  void CarryRun(std::size_t from, const send_run& effect);
  void Cut(const std::set<link>& links, milliseconds length);
  std::optional<instant> QuietSince(const instance& who) const;
  bool Chance(double probability);
  std::uint64_t Below(std::uint64_t bound);
  milliseconds Between(int low_ms, int high_ms);
  std::size_t IndexOf(const instance_name& name) const;
  data_centre_name CentreOf(std::size_t index) const;

  // world_targets.cc.
  void StartTarget(std::size_t index, bool may_change_service);
  void Announce(std::size_t index, boot_id boot);
  void SetState(std::size_t index, target_state state);
  void RunAtTarget(std::size_t index, std::size_t owner,
                   const run_order& order);
  void AnswerFrom(std::size_t index, std::size_t owner, const run_order& order);
  void DrainTarget(std::size_t index);
  void LeaveTarget(std::size_t index, boot_id boot);
  target_connection ConnectionOf(const target& from, std::size_t owner) const;

  // world_callers.cc.
  void OpenFlow(std::size_t index);
  void SendPacket(std::size_t index, const caller_packet& packet);
  void Resend(std::size_t index, std::uint64_t turn);
  void Think(std::size_t index, milliseconds wait);
  void StartRequest(std::size_t index);
  void Receive(const caller_address& at, const caller_answer& answer);
  void ReceiveFinal(std::size_t index, const caller_answer& answer);
  void CheckSurvival(const flow& f, const caller_answer& answer);

  // world_faults.cc: the operator and the faults.
  void ScheduleFaults();
  void Every(milliseconds low, milliseconds high,
             const std::function<void()>& what);
  void InstanceFault();
  void CutFault();
  void TargetFault();
  void ChangeTickets();
  void Submit(const change_ticket& ticket);
  void TicketAnswered(const answer_ticket& answer);
  void CheckTickets();

  world_settings settings_;
  event_queue queue_;
  std::mt19937_64 random_;
  witness witness_;
  std::uint64_t events_ = 0;
  std::vector<instance> instances_;
  std::vector<target> targets_;
  std::vector<flow> flows_;
  std::map<flow_id, caller_address> forged_;  // Who made them up.
  std::map<target_connection, std::pair<std::size_t, boot_id>> connections_;
  std::map<link, instant> last_delivery_;
  std::map<link, std::vector<std::function<void()>>> cut_;  // Held messages.
  std::map<std::pair<flow_id, request_number>, std::pair<std::size_t, send_run>>
      last_run_;  // For the mutation that repeats it.
  // The operator.
  std::uint64_t tickets_ = 0;
  std::uint64_t submissions_ = 0;
  std::map<admin_request, change_ticket> submitted_;
  std::optional<change_ticket> open_ticket_;
  std::map<ticket_number, std::pair<instant, std::string>> accepted_;
  std::map<data_centre_name, instant> out_since_;
  std::map<data_centre_name, instant> last_out_;  // Also when back in since.
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_NODE_WORLD_H_
