#include "Ownership/claim_round.h"

#include <algorithm>

namespace lavendertack {

// A round's number is even; its second step uses the next odd one, so that
// answers to questions of the first step don't count in the second.
claim_round::claim_round(claim_settings settings)
    : settings_(std::move(settings)) {
  if (settings_.replicas.contains(settings_.self)) {
    replicas_applied_.insert(settings_.self);
  }
  replicas_done_ = replicas_applied_.size() > settings_.replicas.size() / 2;
}

std::vector<send_ownership_message> claim_round::Tick(
    instant now, const std::set<instance_name>& asked,
    const std::set<service_name>& services) {
  std::vector<send_ownership_message> questions;
  const auto& receivers = replicas_done_ ? asked : settings_.replicas;
  for (const instance_name& name : receivers) {
    if (name == settings_.self || !NeedsAsking(name, services)) continue;
    auto [it, first] = asked_at_.try_emplace(name, now);
    if (!first && now - it->second < kClaimInterval) continue;
    it->second = now;
    questions.push_back(Question(name, services));
  }
  return questions;
}

void claim_round::Receive(const instance_name& from,
                          const wire::ownership_message& message) {
  if (message.data_centre() != settings_.data_centre.value) return;
  if (message.answer().round() != CurrentRound()) return;
  if (message.roster_index() < settings_.roster_index.value) return;
  if (!replicas_done_) {
    if (!settings_.replicas.contains(from)) return;
    replicas_applied_.insert(from);
    if (replicas_applied_.size() <= settings_.replicas.size() / 2) return;
    replicas_done_ = true;
    asked_at_.clear();
    return;
  }
  std::set<service_name>& cleared = cleared_[from];
  for (const std::string& service : message.answer().asked()) {
    const auto& held = message.answer().held();
    if (std::find(held.begin(), held.end(), service) == held.end()) {
      cleared.insert(service_name{service});
    }
  }
}

bool claim_round::HasCleared(const instance_name& name,
                             const service_name& service) const {
  auto it = cleared_.find(name);
  return it != cleared_.end() && it->second.contains(service);
}

send_ownership_message claim_round::Question(
    const instance_name& to, const std::set<service_name>& services) const {
  send_ownership_message question{to, {}};
  question.message.set_data_centre(settings_.data_centre.value);
  question.message.set_roster_index(settings_.roster_index.value);
  auto* claim = question.message.mutable_claim();
  claim->set_round(CurrentRound());
  if (!replicas_done_) return question;
  for (const service_name& service : services) {
    if (!HasCleared(to, service)) claim->add_services(service.value);
  }
  return question;
}

bool claim_round::NeedsAsking(const instance_name& name,
                              const std::set<service_name>& services) const {
  if (!replicas_done_) return !replicas_applied_.contains(name);
  if (!HasApplied(name)) return true;
  return std::any_of(
      services.begin(), services.end(),
      [&](const service_name& service) { return !HasCleared(name, service); });
}

std::uint64_t claim_round::CurrentRound() const {
  return settings_.round * 2 + (replicas_done_ ? 1 : 0);
}

}  // namespace lavendertack
