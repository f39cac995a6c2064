// Some instances in virtual time, on links and disks that fail, and operators
// who race. Checks after every event that nothing accepted is lost or changed.
#ifndef LAVENDERTACK_UNITTESTS_AGREEMENT_REPLICA_WORLD_H_
#define LAVENDERTACK_UNITTESTS_AGREEMENT_REPLICA_WORLD_H_

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

// A rule of the product was broken.
struct violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Mutations: rules that a run may break on purpose.
struct broken_rules {
  bool votes_after_lost_disk = false;
  bool acknowledges_before_sync = false;
  bool forgets_promises = false;  // Accepts lower ballots after a restart.
  bool starts_in_older_state = false;
};

struct world_settings {
  std::uint64_t seed = 1;
  std::size_t founders = 3;
  std::size_t spares = 1;  // With a disk, but no vote at first.
  std::size_t learners = 1;
  microseconds min_delay{1000};
  microseconds max_delay{8000};
  broken_rules broken;
  log_limits limits;
};

// How often each thing happened.
using world_counts = std::map<std::string, std::uint64_t>;

class replica_world {
 public:
  explicit replica_world(world_settings settings);

  event_queue& queue() { return queue_; }
  std::mt19937_64& random() { return random_; }
  world_counts& counts() { return counts_; }
  std::uint64_t events() const { return events_; }
  // Agreement messages that were sent, without hellos.
  std::uint64_t messages() const { return messages_; }
  std::size_t size() const { return machines_.size(); }
  const node& At(std::size_t i) const { return *machines_[i]->state; }
  bool IsUp(std::size_t i) const { return machines_[i]->state != nullptr; }
  fake_disk& DiskOf(std::size_t i) { return machines_[i]->disk; }
  bool Chance(double probability);
  std::size_t Pick(std::size_t count);

  // Faults.
  void PowerFailure(std::size_t i);
  void LoseDisk(std::size_t i);
  void Start(std::size_t i);
  void Freeze(std::size_t i);
  void Wake(std::size_t i);
  void Cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void Isolate(std::size_t i);
  void HealLinks() { cuts_.clear(); }
  void SetLossRate(double rate) { loss_rate_ = rate; }
  void SetDuplicateRate(double rate) { duplicate_rate_ = rate; }

  // Operators. The outcome is checked against every earlier one; `done` gets
  // it, or isn't called when the instance dies.
  using ticket_done = std::function<void(const ticket_outcome&)>;
  using change_done = std::function<void(const replica_change_outcome&)>;
  void Submit(std::size_t i, const change_ticket& ticket, ticket_done done);
  void Replace(std::size_t i, std::size_t removed, std::size_t added,
               change_done done);

  // The voters by the newest state that any instance has reached.
  const replica_set& Voters() const { return voters_; }
  // Voters of the newest state whose disk is still there.
  std::size_t IntactVoters() const;
  bool IsVoterIntact(std::size_t i) const;
  // Checks that every instance has the same state and every accepted ticket.
  void CheckConverged();

 private:
  struct machine {
    instance_name name;
    bool replica = false;
    fake_disk disk;
    std::unique_ptr<record_log> log;
    std::unique_ptr<node> state;
    std::uint64_t life = 0;  // Rises with every start and stop.
    bool frozen = false;
    std::vector<wire::peer_message> inbox;
    storage_id lost_storage;
    log_index synced;  // State that a restart may not fall behind.
    std::map<admin_request, std::pair<change_ticket, ticket_done>> tickets;
    std::map<admin_request, change_done> changes;
  };
  struct first_answer {
    std::string content;
    log_index index;
  };
  // What an operator could know when a ticket was first submitted.
  struct submission {
    ticket_number newest_known;
    log_index index_known;
  };

  node_settings NodeSettings(std::size_t i) const;
  file_system FilesOf(std::size_t i);
  void Open(std::size_t i);
  void ScheduleTick(std::size_t i);
  void Dispatch(std::size_t i, const node_event& event);
  bool Carry(std::size_t i, std::vector<node_effect> effects);
  void CarryOne(std::size_t i, node_effect& effect);
  void Send(std::size_t from, const instance_name& to,
            const wire::peer_message& message);
  void Deliver(std::size_t to, const wire::peer_message& message);
  void CheckState(std::size_t i, log_index before);
  void CheckRefusals() const;
  void CheckOutcome(const change_ticket& ticket, const ticket_outcome& outcome);
  std::size_t IndexOf(const instance_name& name) const;

  world_settings settings_;
  std::mt19937_64 random_;
  event_queue queue_;
  world_counts counts_;
  std::vector<std::unique_ptr<machine>> machines_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  double loss_rate_ = 0;
  double duplicate_rate_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t requests_ = 0;
  // The one history that every instance must follow.
  std::map<log_index, digest> history_;
  log_index newest_;
  replica_set voters_;
  // The naive register: what operators were told.
  std::map<ticket_number, first_answer> accepted_;
  std::map<std::string, submission> submitted_;
  // Refused for good, by content: the winner's entry, or 0 for an old number.
  std::map<std::string, log_index> refused_;
  ticket_number newest_answered_;
  log_index index_answered_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_AGREEMENT_REPLICA_WORLD_H_
