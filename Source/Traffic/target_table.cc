#include "Traffic/target_table.h"

#include <glog/logging.h>

namespace lavendertack {

target_record* target_table::Add(const target_name& name) {
  if (targets_.size() >= kMaxTargets) return nullptr;
  const auto [it, inserted] = targets_.try_emplace(name);
  CHECK(inserted) << "a target was added twice";
  target_record& target = it->second;
  target.name = name;
  target.serial = {++last_serial_};
  by_serial_[target.serial] = &target;
  return &target;
}

void target_table::Erase(target_record* target) {
  CHECK(target->queue.empty()) << "a target with queued requests was erased";
  CHECK_EQ(target->busy, 0U) << "a target with running requests was erased";
  if (target->order_key) order_.erase(*target->order_key);
  by_serial_.erase(target->serial);
  targets_.erase(target_name{target->name});
}

target_record* target_table::Find(target_serial serial) const {
  auto it = by_serial_.find(serial);
  return it == by_serial_.end() ? nullptr : it->second;
}

target_record* target_table::FindByName(const target_name& name) {
  auto it = targets_.find(name);
  return it == targets_.end() ? nullptr : &it->second;
}

void target_table::Reindex(target_record* target) {
  std::optional<std::pair<double, target_serial>> order_key;
  if (target->accepts_flows()) {
    order_key = {target->flows / target->ramp.limit(), target->serial};
  }
  if (order_key == target->order_key) return;
  if (target->order_key) order_.erase(*target->order_key);
  if (order_key) order_.insert(*order_key);
  target->order_key = order_key;
}

target_record* target_table::SelectTarget(target_serial except) {
  return SelectTargetIf(
      [&](const target_record& t) { return t.serial != except; });
}

std::optional<microseconds> target_table::WarmBaseline() const {
  microseconds sum{0};
  std::int64_t count = 0;
  for (const auto& [name, target] : targets_) {
    const auto baseline = target.ramp.Baseline();
    if (!target.ramp.warm() || !baseline) continue;
    sum += *baseline;
    ++count;
  }
  if (count == 0) return std::nullopt;
  return sum / count;
}

}  // namespace lavendertack
