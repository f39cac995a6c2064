#include "Ownership/claim_round.h"

#include <algorithm>

namespace lavendertack {

claim_round::claim_round(claim_settings settings)
    : settings_(std::move(settings)) {
  if (settings_.replicas.contains(settings_.self)) {
    replicas_applied_.insert(settings_.self);
  }
  replica_majority_applied_ =
      replicas_applied_.size() > settings_.replicas.size() / 2;
}

std::vector<send_ownership_message> claim_round::Tick(
    instant now, const std::set<instance_name>& instances,
    const std::set<service_name>& services) {
  std::vector<send_ownership_message> claims;
  const auto& recipients =
      replica_majority_applied_ ? instances : settings_.replicas;
  for (const instance_name& name : recipients) {
    if (name == settings_.self || !NeedsClaim(name, services)) continue;
    auto [it, first] = last_sent_.try_emplace(name, now);
    if (!first && now - it->second < kClaimResendInterval) continue;
    it->second = now;
    claims.push_back(MakeClaim(name, services));
  }
  return claims;
}

void claim_round::Receive(const instance_name& from,
                          const wire::ownership_message& message) {
  if (message.data_centre() != settings_.data_centre.value) return;
  if (message.answer().round() != CurrentRoundNumber()) return;
  if (message.roster_index() < settings_.roster_index.value) return;
  if (!replica_majority_applied_) {
    if (!settings_.replicas.contains(from)) return;
    replicas_applied_.insert(from);
    if (replicas_applied_.size() <= settings_.replicas.size() / 2) return;
    replica_majority_applied_ = true;
    last_sent_.clear();
    return;
  }
  std::set<service_name>& released = released_[from];
  for (const std::string& service : message.answer().asked()) {
    const auto& held = message.answer().held();
    if (std::find(held.begin(), held.end(), service) == held.end()) {
      released.insert(service_name{service});
    }
  }
}

bool claim_round::HasReleased(const instance_name& name,
                              const service_name& service) const {
  auto it = released_.find(name);
  return it != released_.end() && it->second.contains(service);
}

send_ownership_message claim_round::MakeClaim(
    const instance_name& to, const std::set<service_name>& services) const {
  send_ownership_message send{to, {}};
  send.message.set_data_centre(settings_.data_centre.value);
  send.message.set_roster_index(settings_.roster_index.value);
  auto* claim = send.message.mutable_claim();
  claim->set_round(CurrentRoundNumber());
  if (!replica_majority_applied_) return send;
  for (const service_name& service : services) {
    if (!HasReleased(to, service)) claim->add_services(service.value);
  }
  return send;
}

bool claim_round::NeedsClaim(const instance_name& name,
                             const std::set<service_name>& services) const {
  if (!replica_majority_applied_) return !replicas_applied_.contains(name);
  if (!HasApplied(name)) return true;
  return std::any_of(
      services.begin(), services.end(),
      [&](const service_name& service) { return !HasReleased(name, service); });
}

// The first step uses an even number and the second step the next odd one, so
// that a late answer of the first step doesn't count in the second.
std::uint64_t claim_round::CurrentRoundNumber() const {
  return settings_.round * 2 + (replica_majority_applied_ ? 1 : 0);
}

}  // namespace lavendertack
