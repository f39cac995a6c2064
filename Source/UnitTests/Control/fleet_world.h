// A fleet in virtual time: control instances on disks that fail, entry
// instances, links that can be cut, operators who race and resend. Checks after
// each answer that nothing acknowledged is lost, changed or shown older.
#ifndef LAVENDERTACK_UNITTESTS_CONTROL_FLEET_WORLD_H_
#define LAVENDERTACK_UNITTESTS_CONTROL_FLEET_WORLD_H_

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

// A rule of the fleet was broken.
struct fleet_violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct fleet_settings_of_test {
  std::uint64_t seed = 1;
  std::size_t controls = 4;
  std::size_t entries = 3;
  std::size_t tolerated_losses = 1;
  // Mutation: a replaced disk keeps the identity of the lost one.
  bool keeps_lost_identity = false;
};

class fleet_world {
 public:
  explicit fleet_world(fleet_settings_of_test settings);

  event_queue& queue() { return queue_; }
  instant Now() const { return queue_.Now(); }
  void Run(milliseconds time) { queue_.RunUntil(Now() + time); }

  using outcome_function = std::function<void(const order_outcome&)>;
  // Orders at a control instance; unsure at once when it's down.
  void Order(std::size_t control, const published_order& order,
             outcome_function done);
  void Publish(std::size_t control, std::uint64_t version,
               const std::string& content);
  void Read(std::size_t control);
  // Publishes, elsewhere again after each failure, until it's acknowledged.
  bool PublishUntilDone(std::uint64_t version, milliseconds within);
  void Report(std::size_t control, const target_report& report);

  void Kill(std::size_t control);
  // Power fails at an operation of the disk soon, with torn writes.
  void FailPower(std::size_t control);
  void Start(std::size_t control);
  void WipeAndStart(std::size_t control);
  void Freeze(std::size_t control, milliseconds time);
  void FillDisk(std::size_t control, milliseconds time);
  // Links between the control instances of the two groups carry nothing.
  void Cut(const std::set<std::size_t>& group, bool one_way);
  void Heal() { cuts_.clear(); }
  // Adds an empty control instance at a new address.
  std::size_t AddControl();
  void RestartEntry(std::size_t entry);

  bool IsUp(std::size_t control) const {
    return machines_[control].instance != nullptr;
  }
  std::size_t control_count() const { return machines_.size(); }
  control_instance& control(std::size_t i) { return *machines_[i].instance; }
  entry_instance& entry(std::size_t i) { return *entries_[i].instance; }
  std::uint64_t newest_acknowledged() const { return newest_acknowledged_; }
  std::uint64_t acknowledged_count() const { return acknowledged_count_; }
  std::uint64_t read_count() const { return read_count_; }
  std::mt19937_64& random() { return random_; }

 private:
  struct machine {
    instance_name name;
    std::unique_ptr<fake_disk> disk;
    std::unique_ptr<record_log> records;
    std::unique_ptr<control_instance> instance;
    std::uint64_t life = 0;
    bool was_wiped = false;
    bool storage_failed = false;
    instant frozen_until;
    instant disk_full_until;
    storage_id identity;
    std::map<operator_call, outcome_function> calls;
  };
  struct entry_machine {
    instance_name name;
    std::unique_ptr<entry_instance> instance;
    std::uint64_t life = 0;
    log_index applied;
  };

  void AddMachine();
  std::vector<instance_name> Seeds() const;
  void StartEntry(std::size_t i);
  void TickControl(std::size_t i, std::uint64_t life);
  void TickEntry(std::size_t i, std::uint64_t life);
  void LosePower(std::size_t i);
  void RetryStorage(std::size_t i);
  void Dispatch(std::size_t i, const control_event& event);
  bool Carry(std::size_t i, control_effect* effect);
  bool Write(std::size_t i, const std::function<storage_result()>& write);
  void Deliver(std::size_t to, const link_id& link,
               const wire::fleet_message& message);
  void DeliverToEntry(std::size_t to, const wire::fleet_message& message);
  void DeliverReply(const link_id& to, const wire::fleet_message& message);
  bool IsCut(std::size_t from, std::size_t to) const;
  microseconds Delay();
  std::optional<std::size_t> FindControl(const instance_name& name) const;
  void CheckRead(std::uint64_t least, std::uint64_t version,
                 const std::string& text);

  fleet_settings_of_test settings_;
  event_queue queue_;
  std::mt19937_64 random_;
  std::vector<machine> machines_;
  std::vector<entry_machine> entries_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::uint64_t next_call_ = 0;
  // What was answered as done: version and text.
  std::map<std::uint64_t, std::string> read_back_;
  std::map<std::uint64_t, std::set<std::string>> sent_;
  std::uint64_t newest_acknowledged_ = 0;
  std::uint64_t acknowledged_count_ = 0;
  std::uint64_t read_count_ = 0;
};

// Manifests of the tests: "version content", with one route for each letter.
std::string TestManifest(std::uint64_t version, const std::string& content);
std::optional<manifest> DecodeTestManifest(const std::string& text);

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_CONTROL_FLEET_WORLD_H_
