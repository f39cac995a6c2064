// Simulates several instances in virtual time, with faulty links and disks and
// concurrent operators. Checks after every event that no accepted ticket is
// lost or changed.
#ifndef LAVENDERTACK_UNITTESTS_AGREEMENT_REPLICA_SIMULATION_H_
#define LAVENDERTACK_UNITTESTS_AGREEMENT_REPLICA_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "Node/node.h"
#include "Storage/record_log.h"
#include "UnitTests/Support/fake_disk.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {

// Thrown when a checked invariant doesn't hold.
struct invariant_violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Defects that a run can inject to test that the checks detect them.
struct injected_defects {
  bool votes_after_lost_disk = false;
  bool acknowledges_before_sync = false;
  bool forgets_promises = false;  // Accepts lower ballots after a restart.
  bool starts_in_older_state = false;
};

struct replica_simulation_settings {
  std::uint64_t seed = 1;
  std::size_t initial_voters = 3;
  std::size_t spares = 1;  // With a disk, but not among the first voters.
  std::size_t learners = 1;
  microseconds min_delay{1000};
  microseconds max_delay{8000};
  injected_defects defects;
  log_limits limits;
};

// Number of occurrences of each kind of event.
using event_counts = std::map<std::string, std::uint64_t>;

// Instances are addressed by index: first the initial voters, then the spares,
// then the learners. Instance `i` is named "n<i>".
class replica_simulation {
 public:
  explicit replica_simulation(replica_simulation_settings settings);

  event_queue& queue() { return queue_; }
  std::mt19937_64& random() { return random_; }
  event_counts& counts() { return counts_; }
  // Events processed by all instances so far.
  std::uint64_t events() const { return events_; }
  // Agreement messages sent, without those that only report progress.
  std::uint64_t messages() const { return messages_; }
  std::size_t size() const { return instances_.size(); }
  // The running instance `i`; requires IsUp(i).
  const node& At(std::size_t i) const { return *instances_[i]->state; }
  bool IsUp(std::size_t i) const { return instances_[i]->state != nullptr; }
  fake_disk& DiskOf(std::size_t i) { return instances_[i]->disk; }
  // Returns true with the given probability.
  bool RandomChance(double probability);
  // Returns a random number below `count`.
  std::size_t RandomIndex(std::size_t count);

  // Faults and their repair.
  // Stops the instance; its disk keeps only what survives a power failure.
  void PowerFailure(std::size_t i);
  // Stops the instance and empties its disk.
  void LoseDisk(std::size_t i);
  // Starts the instance from its disk, if it is stopped.
  void Start(std::size_t i);
  // Suspends the process: it queues messages and skips ticks until Unfreeze.
  void Freeze(std::size_t i);
  void Unfreeze(std::size_t i);
  // Drops all messages in one direction until RestoreLinks.
  void CutLink(std::size_t from, std::size_t to) {
    cut_links_.insert({from, to});
  }
  // Cuts all links of the instance in both directions.
  void Isolate(std::size_t i);
  void RestoreLinks() { cut_links_.clear(); }
  // Probabilities with which each message is lost or duplicated.
  void SetLossRate(double rate) { loss_rate_ = rate; }
  void SetDuplicateRate(double rate) { duplicate_rate_ = rate; }

  // Operator requests. Each outcome is checked against all earlier ones and
  // passed to `done`, which isn't called if the instance fails first.
  using ticket_done = std::function<void(const ticket_outcome&)>;
  using change_done = std::function<void(const replica_change_outcome&)>;
  // Ignored if the instance is stopped or frozen.
  void Submit(std::size_t i, const change_ticket& ticket, ticket_done done);
  void Replace(std::size_t i, std::size_t removed, std::size_t added,
               change_done done);

  // The voters in the newest state that any instance has reached.
  const replica_set& Voters() const { return voters_; }
  // Number of those voters that haven't lost their disk.
  std::size_t IntactVoters() const;
  // Whether instance `i` is one of those voters and hasn't lost its disk.
  bool IsVoterIntact(std::size_t i) const;
  // Checks that every instance has the same state and every accepted ticket.
  void CheckConverged();

 private:
  struct simulated_instance {
    instance_name name;
    bool replica = false;
    fake_disk disk;
    std::unique_ptr<record_log> log;
    std::unique_ptr<node> state;
    std::uint64_t generation = 0;  // Increases with every start and stop.
    bool frozen = false;
    std::vector<wire::peer_message> inbox;
    storage_id lost_storage;  // Of the disk lost most recently.
    log_index synced;         // A restart must not restore an older state.
    std::map<admin_request_id, std::pair<change_ticket, ticket_done>> tickets;
    std::map<admin_request_id, change_done> changes;
  };
  // First acceptance reported for a ticket number.
  struct first_answer {
    std::string content;
    log_index index;
  };
  // Newest number and entry that operators had been sent when the ticket was
  // first submitted.
  struct submission {
    ticket_number newest_number;
    log_index newest_index;
  };

  node_settings NodeSettings(std::size_t i) const;
  file_system FilesOf(std::size_t i);
  void Open(std::size_t i);
  void ScheduleTick(std::size_t i);
  void Dispatch(std::size_t i, const node_event& event);
  bool ApplyEffects(std::size_t i, std::vector<node_effect> effects);
  void ApplyEffect(std::size_t i, node_effect& effect);
  void Send(std::size_t from, const instance_name& to,
            const wire::peer_message& message);
  void Deliver(std::size_t to, const wire::peer_message& message);
  void CheckState(std::size_t i, log_index before);
  void CheckRefusals() const;
  void CheckOutcome(const change_ticket& ticket, const ticket_outcome& outcome);
  std::size_t IndexOf(const instance_name& name) const;

  replica_simulation_settings settings_;
  std::mt19937_64 random_;
  event_queue queue_;
  event_counts counts_;
  std::vector<std::unique_ptr<simulated_instance>> instances_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  double loss_rate_ = 0;
  double duplicate_rate_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t requests_ = 0;
  // Digest of the state after each entry, the same on every instance.
  std::map<log_index, digest> history_;
  log_index newest_applied_;
  replica_set voters_;
  // Reference model: the answers that operators received.
  std::map<ticket_number, first_answer> accepted_;
  std::map<std::string, submission> submitted_;
  // Permanently refused tickets by content, with the entry of the accepted
  // ticket that they conflict with, or 0 if their number was outdated.
  std::map<std::string, log_index> refused_;
  ticket_number newest_answered_number_;
  log_index newest_answered_index_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_AGREEMENT_REPLICA_SIMULATION_H_
