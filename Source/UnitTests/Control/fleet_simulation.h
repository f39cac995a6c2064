// Simulates a fleet in virtual time: control instances with disks that fail,
// entry instances, links that can be blocked, and operators who send competing
// and repeated orders. Checks at each answer that acknowledged orders are
// neither lost nor changed, and that no read returns an older state afterwards.
#ifndef LAVENDERTACK_UNITTESTS_CONTROL_FLEET_SIMULATION_H_
#define LAVENDERTACK_UNITTESTS_CONTROL_FLEET_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "Control/control_instance.h"
#include "Entry/entry_instance.h"
#include "Storage/record_log.h"
#include "UnitTests/Support/fake_disk.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {

// Thrown when an invariant of the fleet doesn't hold.
struct invariant_violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Settings of a simulation.
struct fleet_simulation_settings {
  std::uint64_t seed = 1;
  std::size_t controls = 4;  // Number of control instances at the start.
  std::size_t entries = 3;   // Number of entry instances.
  // Number of disks that may be lost at the same time.
  std::size_t tolerated_losses = 1;
  // Rate of each control instance's link, in each direction; 0 for a link
  // without a limit. Only messages between control instances use it.
  std::uint64_t link_bytes_per_s = 0;
  // Control instances that exchange messages without the fields and messages
  // that builds before references to entries don't know.
  std::set<std::size_t> older_builds;
  // Deliberate fault: a replaced disk keeps the storage id of the lost one.
  bool reuses_lost_storage_id = false;
};

// The simulation. Control and entry instances are identified by their index,
// from 0.
class fleet_simulation {
 public:
  explicit fleet_simulation(const fleet_simulation_settings& settings);

  event_queue& queue() { return queue_; }
  instant Now() const { return queue_.Now(); }
  // Runs for `time` of virtual time.
  void Run(milliseconds time) { queue_.RunUntil(Now() + time); }

  using outcome_callback = std::function<void(const order_outcome&)>;
  // Sends an order to a control instance; calls `done` with the outcome. If the
  // instance is down, that is order_outcome_unknown at once. A paused instance
  // reads the order when it resumes.
  operator_call SubmitOrder(std::size_t control, const published_order& order,
                            outcome_callback done);
  // The operator closes the connection of the call.
  void AbandonCall(std::size_t control, operator_call call);
  // Publishes a manifest. If it's acknowledged, checks that the newest
  // published version isn't older than it.
  void Publish(std::size_t control, std::uint64_t version,
               const std::string& content);
  // Reads the published state and checks it if the read is acknowledged.
  void Read(std::size_t control);
  // Publishes a manifest at one control instance after the other until it is
  // acknowledged. Returns false if that takes longer than `within`.
  bool PublishUntilDone(std::uint64_t version, milliseconds within);
  // Sends a target's report to a control instance, unless that is down.
  void Report(std::size_t control, const target_report& report);

  // Stops the process of the instance without notice; its disk stays.
  void Kill(std::size_t control);
  // Makes the power fail at one of the next disk operations of the instance;
  // unsynced writes may be torn.
  void FailPower(std::size_t control);
  // Starts the instance with its disk; does nothing if it is up.
  void Start(std::size_t control);
  // Restarts the instance with an empty disk.
  void WipeAndStart(std::size_t control);
  // Suspends the instance: it handles neither messages nor ticks for `time`.
  void Pause(std::size_t control, milliseconds time);
  // Makes the disk full after at most 199 more bytes, for `time`.
  void FillDisk(std::size_t control, milliseconds time);
  // Blocks the links between the control instances in `group` and the others;
  // with `one_way` only those from the group.
  void Partition(const std::set<std::size_t>& group, bool one_way);
  // Blocks the links between the entry instance and the control instances that
  // aren't in `reachable`.
  void IsolateEntry(std::size_t entry, const std::set<std::size_t>& reachable) {
    reachable_by_entry_[entry] = reachable;
  }
  // Unblocks all links.
  void Heal() {
    blocked_links_.clear();
    reachable_by_entry_.clear();
  }
  // Starts another control instance at a new address, with an empty disk, and
  // returns its index.
  std::size_t AddControl();
  void RestartEntry(std::size_t entry);

  bool IsUp(std::size_t control) const {
    return controls_[control].instance != nullptr;
  }
  std::size_t control_count() const { return controls_.size(); }
  std::size_t entry_count() const { return entries_.size(); }
  control_instance& control(std::size_t i) { return *controls_[i].instance; }
  entry_instance& entry(std::size_t i) { return *entries_[i].instance; }
  std::uint64_t newest_acknowledged() const { return newest_acknowledged_; }
  std::uint64_t acknowledged_count() const { return acknowledged_count_; }
  std::uint64_t read_count() const { return read_count_; }
  // Number of updates with published state that entry instances received.
  std::uint64_t state_update_count() const { return state_update_count_; }
  // Bytes sent between control instances, without answers to follow requests.
  std::uint64_t control_bytes() const { return control_bytes_; }
  std::mt19937_64& random() { return random_; }

 private:
  struct control_node {
    instance_name name;
    std::unique_ptr<fake_disk> disk;
    std::unique_ptr<record_log> records;
    std::unique_ptr<control_instance> instance;
    std::uint64_t incarnation = 0;  // Number of starts.
    bool was_wiped = false;
    bool storage_failed = false;
    instant paused_until;
    instant disk_full_until;
    // Times at which the link has transferred all messages that were sent to it
    // so far.
    instant sent_until;
    instant received_until;
    storage_id storage;
    std::map<operator_call, outcome_callback> calls;
  };
  struct entry_node {
    instance_name name;
    std::unique_ptr<entry_instance> instance;
    std::uint64_t incarnation = 0;
    log_index applied;  // Log index of its published state.
  };

  void AddControlNode();
  std::vector<instance_name> Seeds() const;
  void StartEntry(std::size_t i);
  void TickControl(std::size_t i, std::uint64_t incarnation);
  void TickEntry(std::size_t i, std::uint64_t incarnation);
  // Kills the instance, drops or tears its unsynced writes, and restarts it
  // after 0.5 to 2.5 s.
  void LosePower(std::size_t i);
  // Reopens the log of an instance whose disk failed.
  void RetryStorage(std::size_t i);
  void Dispatch(std::size_t i, const control_event& event);
  // Applies an effect. Returns false if a record couldn't be written: the
  // effects after it may depend on the record and must be dropped.
  bool Apply(std::size_t i, control_effect* effect);
  // Calls `write` unless the disk has failed before. Returns false if the disk
  // fails in this call.
  bool Write(std::size_t i, const std::function<storage_result()>& write);
  // Removes what an older build at either end doesn't know.
  wire::fleet_message ConvertForOlderBuilds(std::size_t from, std::size_t to,
                                            wire::fleet_message message) const;
  void Deliver(std::size_t to, const link_id& link,
               const wire::fleet_message& message);
  void DeliverToEntry(std::size_t to, const wire::fleet_message& message);
  // Delivers an answer to the instance whose kind and index are in `to`.
  void DeliverReply(const link_id& to, const wire::fleet_message& message);
  bool IsBlocked(std::size_t from, std::size_t to) const;
  // Whether the entry instance and the control instance exchange messages.
  bool IsReachable(std::size_t entry, std::size_t control) const;
  // Random latency of a message, from 1 to 9 ms.
  microseconds Delay();
  // Time until a message between two control instances has arrived, with the
  // messages before it on both links.
  microseconds TransferTime(std::size_t from, std::size_t to,
                            std::size_t bytes);
  std::optional<std::size_t> FindControl(const instance_name& name) const;
  // Checks a manifest that a read returned. `min_version` is the newest version
  // that was acknowledged before the read.
  void CheckRead(std::uint64_t min_version, std::uint64_t version,
                 const std::string& text);

  fleet_simulation_settings settings_;
  event_queue queue_;
  std::mt19937_64 random_;
  std::vector<control_node> controls_;
  std::vector<entry_node> entries_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
  // Control instances that isolated entry instances reach.
  std::map<std::size_t, std::set<std::size_t>> reachable_by_entry_;
  std::uint64_t next_call_ = 0;
  // Manifest texts by version, as returned by reads.
  std::map<std::uint64_t, std::string> read_texts_;
  // Manifest texts by version, as sent by operators.
  std::map<std::uint64_t, std::set<std::string>> sent_texts_;
  std::uint64_t newest_acknowledged_ = 0;
  std::uint64_t acknowledged_count_ = 0;
  std::uint64_t read_count_ = 0;
  std::uint64_t control_bytes_ = 0;
  std::uint64_t state_update_count_ = 0;
};

// Text of a manifest for tests: "version content", where each letter of the
// content stands for one route.
std::string TestManifest(std::uint64_t version, const std::string& content);
// Decodes such a text; nullopt if it has no version.
std::optional<manifest> DecodeTestManifest(const std::string& text);

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_CONTROL_FLEET_SIMULATION_H_
