// The targets of one service in one data centre, ordered by how many flows
// they hold for each slot's worth of work that they may bear.
#ifndef LAVENDERTACK_TRAFFIC_TARGET_TABLE_H_
#define LAVENDERTACK_TRAFFIC_TARGET_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Traffic/class_queue.h"
#include "Traffic/flow_table.h"
#include "Traffic/messages.h"
#include "Traffic/target_ramp.h"

namespace lavendertack {

// Most targets of one shard.
inline constexpr std::size_t kMaxTargets = 10'000;
// Boot ids of a target's earlier lives that are remembered.
inline constexpr std::size_t kMaxPastBoots = 4;

struct target_record {
  target_name name;
  boot_id boot;
  target_connection connection;
  target_state state = target_state::kCold;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t busy = 0;  // Requests sent whose slot isn't free again.
  // Requests of an earlier owner that it still works on, as it says itself.
  std::uint32_t inherited = 0;
  std::uint32_t flows = 0;  // Open flows.
  instant last_heard;
  target_serial serial;
  bool lost = false;  // Silent; it may still run what it was sent.
  // Not heard since this instance was suspended: what it said may have changed.
  bool unconfirmed = false;
  target_ramp ramp;
  class_queue queue;
  std::optional<instant> wakeup;  // When the queue is looked at again.
  std::vector<boot_id> past_boots;
  // Place in the order for new flows, when it may get any.
  std::optional<std::pair<double, target_serial>> place;

  // It may be sent requests of flows that it holds.
  bool usable() const { return !lost && state != target_state::kLeaving; }
  // It may get new flows.
  bool open() const {
    return !lost && !unconfirmed && state == target_state::kReady &&
           flows < connections;
  }
};

class target_table {
 public:
  // Null when there is no room for another target.
  target_record* Add(const target_name& name);
  void Erase(target_record* target);
  target_record* Find(target_serial serial) const;
  target_record* FindNamed(const target_name& name);

  // To be called after each change of flows, state, or limit.
  void Reindex(target_record* target);
  // The open target with the fewest flows for its limit, other than `except`.
  target_record* Choose(target_serial except = {});
  // Among the first few in that order, one for which `fits` holds.
  template <typename Fits>
  target_record* ChooseFitting(const Fits& fits) {
    constexpr int kLooks = 4;
    auto it = order_.begin();
    for (int i = 0; i < kLooks && it != order_.end(); ++i, ++it) {
      target_record* target = Find(it->second);
      if (fits(*target)) return target;
    }
    return nullptr;
  }

  // Time of a request at the warm targets, as a mean; unset when none is warm.
  std::optional<microseconds> WarmBaseline() const;

  std::map<target_name, target_record>& all() { return targets_; }
  const std::map<target_name, target_record>& all() const { return targets_; }

 private:
  std::uint64_t serials_ = 0;
  std::map<target_name, target_record> targets_;
  std::unordered_map<target_serial, target_record*> by_serial_;
  std::set<std::pair<double, target_serial>> order_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_TARGET_TABLE_H_
