// Targets of one service in one data centre, ordered by the number of their
// open flows relative to their concurrency limit.
#ifndef LAVENDERTACK_TRAFFIC_TARGET_TABLE_H_
#define LAVENDERTACK_TRAFFIC_TARGET_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Traffic/flow_table.h"
#include "Traffic/messages.h"
#include "Traffic/request_priority_queue.h"
#include "Traffic/target_ramp.h"

namespace lavendertack {

// Most targets of one shard.
inline constexpr std::size_t kMaxTargets = 10'000;
// Most boot ids of earlier incarnations that are kept for each target.
inline constexpr std::size_t kMaxPastBoots = 4;

// A target and its load.
struct target_record {
  target_name name;
  boot_id boot;
  target_connection connection;
  target_state state = target_state::kCold;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t busy = 0;  // Slots taken by attempts of this shard.
  // Requests of an earlier owner that the target reports as still running.
  std::uint32_t earlier_owner_busy = 0;
  std::uint32_t flows = 0;  // Open flows.
  instant last_announced;
  target_serial serial;
  bool lost = false;  // Unreachable; it may still run requests sent earlier.
  // No announcement was received since this instance was suspended, so `state`
  // may be stale.
  bool unconfirmed = false;
  target_ramp ramp;
  request_priority_queue queue;
  std::optional<instant> wakeup;  // Scheduled time to dispatch the queue.
  std::vector<boot_id> past_boots;
  // Key in the order for new flows: flows relative to the limit, and serial.
  // Unset while the target accepts no new flows.
  std::optional<std::pair<double, target_serial>> order_key;

  // True when requests may be sent to the target.
  bool usable() const { return !lost && state != target_state::kLeaving; }
  // True when new flows may be placed at the target.
  bool accepts_flows() const {
    return !lost && !unconfirmed && state == target_state::kReady &&
           flows < connections;
  }
};

// Owns the targets. Pointers to them stay valid until Erase.
class target_table {
 public:
  // Adds a target, which must not be in the table. Null when the table is full.
  target_record* Add(const target_name& name);
  // Removes a target, which must have no waiting or running requests.
  void Erase(target_record* target);
  // Null when there is no such target.
  target_record* Find(target_serial serial) const;
  target_record* FindByName(const target_name& name);

  // Updates the target's position in the order. Must be called after each
  // change of a target's flows, state or limit.
  void Reindex(target_record* target);
  // The target that accepts new flows and has the fewest flows relative to its
  // limit, other than `except`; null when there is none.
  target_record* SelectTarget(target_serial except = {});
  // The first target in the order for new flows for which `predicate` holds.
  // Only the first kMaxCandidates targets are tried; null when it holds for
  // none.
  template <typename Predicate>
  target_record* SelectTargetIf(const Predicate& predicate) {
    constexpr int kMaxCandidates = 4;
    auto it = order_.begin();
    for (int i = 0; i < kMaxCandidates && it != order_.end(); ++i, ++it) {
      target_record* target = Find(it->second);
      if (predicate(*target)) return target;
    }
    return nullptr;
  }

  // Mean of the warm targets' baselines; unset when none is warm.
  std::optional<microseconds> WarmBaseline() const;

  std::map<target_name, target_record>& targets() { return targets_; }
  const std::map<target_name, target_record>& targets() const {
    return targets_;
  }

 private:
  std::uint64_t last_serial_ = 0;
  std::map<target_name, target_record> targets_;
  std::unordered_map<target_serial, target_record*> by_serial_;
  std::set<std::pair<double, target_serial>> order_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_TARGET_TABLE_H_
