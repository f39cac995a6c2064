#include "Ownership/roster_book.h"

#include <algorithm>

#include "Traffic/placement.h"

namespace lavendertack {

bool roster_book::Admits(const roster_change& change) const {
  const roster& present = Find(change.data_centre);
  if (change.based_on != present.index || change.instances.empty()) {
    return false;
  }
  const auto kept = std::count_if(
      change.instances.begin(), change.instances.end(),
      [&](const instance_name& name) { return present.Contains(name); });
  return static_cast<std::size_t>(kept) >=
         ClosingCount(present.instances.size());
}

bool roster_book::Apply(log_index index, const roster_change& change) {
  if (!Admits(change)) return false;
  roster& present = rosters_[change.data_centre];
  present.index = index;
  present.previous = std::move(present.instances);
  present.instances = {change.instances.begin(), change.instances.end()};
  present.removed.insert(present.previous.begin(), present.previous.end());
  for (const instance_name& name : present.instances) {
    present.removed.erase(name);
  }
  return true;
}

const roster& roster_book::Find(const data_centre_name& name) const {
  static const roster none;
  auto it = rosters_.find(name);
  return it == rosters_.end() ? none : it->second;
}

std::optional<instance_name> roster_book::OwnerOf(
    const service_name& service, const data_centre_name& name) const {
  const roster& present = Find(name);
  return OwnerAmong({present.instances.begin(), present.instances.end()},
                    service);
}

}  // namespace lavendertack
