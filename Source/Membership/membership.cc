#include "Membership/membership.h"

#include <algorithm>

namespace lavendertack {

membership::membership(instance_name self, std::vector<member> members)
    : self_(std::move(self)) {
  for (member& m : members) {
    const instance_name name = m.name;
    members_.emplace(name, std::move(m));
  }
}

void membership::RecordHeartbeat(instant now, const instance_name& from,
                                 const wire::heartbeat& heartbeat) {
  auto it = members_.find(from);
  if (it == members_.end()) return;
  if (!first_heartbeat_at_) first_heartbeat_at_ = now;
  it->second.last_heartbeat_at = now;
  it->second.last_heartbeat = heartbeat;
}

bool membership::IsAlive(instant now, const instance_name& name) const {
  if (name == self_) return true;
  auto it = members_.find(name);
  return it != members_.end() && !it->second.last_heartbeat.leaving() &&
         IsResponsive(now, it->second);
}

bool membership::IsReachable(instant now, const instance_name& name) const {
  if (name == self_) return true;
  auto it = members_.find(name);
  if (it == members_.end() || !IsResponsive(now, it->second)) return false;
  const auto& unheard = it->second.last_heartbeat.unheard();
  return std::find(unheard.begin(), unheard.end(), self_.value) ==
         unheard.end();
}

std::vector<instance_name> membership::SuspectedInstances(instant now) const {
  std::vector<instance_name> names;
  for (const auto& [name, m] : members_) {
    if (name != self_ && !IsResponsive(now, m)) names.push_back(name);
  }
  return names;
}

bool membership::IsResponsive(instant now, const member& m) const {
  return m.last_heartbeat_at && now - *m.last_heartbeat_at < kSuspectAfter;
}

bool membership::IsSilent(instant now, const instance_name& name) const {
  auto it = members_.find(name);
  if (it == members_.end() || name == self_) return false;
  return !it->second.last_heartbeat_at ||
         now - *it->second.last_heartbeat_at >= kSilentAfter;
}

}  // namespace lavendertack
