#include "Ownership/roster_registry.h"

#include <algorithm>

#include "Traffic/placement.h"

namespace lavendertack {

bool roster_registry::CanApply(const roster_change& change) const {
  const roster& current = Find(change.data_centre);
  if (change.based_on != current.index || change.instances.empty()) {
    return false;
  }
  const auto retained = std::count_if(
      change.instances.begin(), change.instances.end(),
      [&](const instance_name& name) { return current.Contains(name); });
  return static_cast<std::size_t>(retained) >=
         BlockingQuorumSize(current.instances.size());
}

bool roster_registry::Apply(log_index index, const roster_change& change) {
  if (!CanApply(change)) return false;
  roster& current = rosters_[change.data_centre];
  current.index = index;
  current.previous = std::move(current.instances);
  current.instances = {change.instances.begin(), change.instances.end()};
  current.removed.insert(current.previous.begin(), current.previous.end());
  for (const instance_name& name : current.instances) {
    current.removed.erase(name);
  }
  return true;
}

const roster& roster_registry::Find(const data_centre_name& name) const {
  static const roster none;
  auto it = rosters_.find(name);
  return it == rosters_.end() ? none : it->second;
}

std::optional<instance_name> roster_registry::OwnerOf(
    const service_name& service, const data_centre_name& name) const {
  const roster& current = Find(name);
  return SelectOwner({current.instances.begin(), current.instances.end()},
                     service);
}

wire::roster_state SaveRosters(const roster_registry& registry) {
  wire::roster_state state;
  for (const auto& [name, roster] : registry.rosters()) {
    wire::roster_row* row = state.add_rows();
    row->set_data_centre(name.value);
    row->set_index(roster.index.value);
    for (const auto& i : roster.instances) row->add_instances(i.value);
    for (const auto& i : roster.previous) row->add_previous(i.value);
    for (const auto& i : roster.removed) row->add_removed(i.value);
  }
  return state;
}

roster_registry LoadRosters(const wire::roster_state& state) {
  roster_registry registry;
  for (const wire::roster_row& row : state.rows()) {
    roster loaded{.index = {row.index()}};
    for (const auto& i : row.instances()) loaded.instances.insert({i});
    for (const auto& i : row.previous()) loaded.previous.insert({i});
    for (const auto& i : row.removed()) loaded.removed.insert({i});
    registry.RestoreRoster({row.data_centre()}, std::move(loaded));
  }
  return registry;
}

}  // namespace lavendertack
