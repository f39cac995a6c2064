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

// Defects that a run can inject to test that the checks detect them. They apply
// to all instances.
struct injected_defects {
  // An instance that lost its disk keeps its storage id.
  bool votes_after_lost_disk = false;
  // Syncing a file has no effect.
  bool acknowledges_before_sync = false;
  // A restart skips stored promises and acceptances, so that the instance
  // accepts lower ballots.
  bool forgets_promises = false;
  // A restart skips the last three records.
  bool starts_in_older_state = false;
};

struct replica_simulation_settings {
  std::uint64_t seed = 1;
  std::size_t initial_voters = 3;
  // Replicas that have a disk but aren't initial voters.
  std::size_t spares = 1;
  // Instances without a disk.
  std::size_t learners = 1;
  // Bounds of the random delay of a message.
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
  // Node of instance `i`; requires IsUp(i).
  const node& NodeOf(std::size_t i) const {
    return *instances_[i]->running_node;
  }
  bool IsUp(std::size_t i) const {
    return instances_[i]->running_node != nullptr;
  }
  fake_disk& DiskOf(std::size_t i) { return instances_[i]->disk; }
  // Returns true with the given probability.
  bool RandomChance(double probability);
  // Returns a random number below `count`.
  std::size_t RandomIndex(std::size_t count);

  // Faults and their repair.
  // Stops the instance. Bytes and folder changes on its disk that weren't
  // synced may be lost.
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

  // Operator requests, ignored if the instance is stopped or frozen. The
  // outcome is passed to `done`, which isn't called if the instance fails
  // first. The outcome of a ticket is also checked against those of all earlier
  // tickets.
  using ticket_callback = std::function<void(const ticket_outcome&)>;
  using change_callback = std::function<void(const replica_change_outcome&)>;
  void Submit(std::size_t i, const change_ticket& ticket, ticket_callback done);
  void Replace(std::size_t i, std::size_t removed, std::size_t added,
               change_callback done);

  // The voters in the newest state that any instance has reached.
  const replica_set& Voters() const { return voters_; }
  // Number of those voters that haven't lost their disk.
  std::size_t IntactVoters() const;
  // Whether instance `i` is one of those voters and hasn't lost its disk.
  bool IsVoterIntact(std::size_t i) const;
  // Checks that every instance is up and in the newest state, and that this
  // state contains every accepted ticket and no refused one.
  void CheckConverged();

 private:
  struct simulated_instance {
    instance_name name;
    bool replica = false;
    fake_disk disk;
    std::unique_ptr<record_log> log;
    std::unique_ptr<node> running_node;  // Null while stopped.
    std::uint64_t generation = 0;        // Increases with every start and stop.
    bool frozen = false;
    std::vector<wire::peer_message> inbox;  // Messages received while frozen.
    storage_id lost_storage;  // Storage id of the disk lost most recently.
    // Newest entry applied with working storage; a restart must not restore an
    // older state.
    log_index synced_index;
    // Requests that aren't answered yet.
    std::map<admin_request_id, std::pair<change_ticket, ticket_callback>>
        tickets;
    std::map<admin_request_id, change_callback> changes;
  };
  // First acceptance reported for a ticket number.
  struct first_acceptance {
    std::string content;
    log_index index;
  };
  // Highest ticket number and entry index among the acceptances that operators
  // had received when the ticket was first submitted.
  struct submission {
    ticket_number newest_number;
    log_index newest_index;
  };

  node_settings NodeSettings(std::size_t i) const;
  file_system FilesOf(std::size_t i);
  // Opens the log of instance `i` and restores its node from it.
  void Open(std::size_t i);
  void ScheduleTick(std::size_t i);
  void Dispatch(std::size_t i, const node_event& event);
  // Returns false if a write failed; the remaining effects are dropped then.
  bool ApplyEffects(std::size_t i, std::vector<node_effect> effects);
  void ApplyEffect(std::size_t i, node_effect& effect);
  void Send(std::size_t from, const instance_name& to,
            const wire::peer_message& message);
  void Deliver(std::size_t to, const wire::peer_message& message);
  // Checks the state of instance `i` after an event. `before` is the last entry
  // that it had applied before the event.
  void CheckState(std::size_t i, log_index before);
  // Checks that no refused ticket was applied and that every conflict named the
  // entry of an accepted ticket.
  void CheckRefusals() const;
  // Checks the outcome of `ticket` against the reference model and adds it
  // there.
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
  std::uint64_t requests_ = 0;  // Requests made so far; the newest request id.
  // Digest of the state after each entry, the same on every instance.
  std::map<log_index, digest> history_;
  log_index newest_applied_;  // By any instance.
  replica_set voters_;
  // Reference model, built from the answers that operators received: accepted
  // tickets by number, and submitted tickets by content.
  std::map<ticket_number, first_acceptance> accepted_;
  std::map<std::string, submission> submitted_;
  // Permanently refused tickets by content, with the entry of the accepted
  // ticket that they conflict with, or 0 if their number was outdated.
  std::map<std::string, log_index> refused_;
  ticket_number newest_accepted_number_;
  log_index newest_accepted_index_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_AGREEMENT_REPLICA_SIMULATION_H_
