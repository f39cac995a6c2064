#include "Ownership/roster_proposer.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Time after its start in which a replica only collects heartbeats.
constexpr milliseconds kStartupListenTime{1000};
// Longest random delay of a proposal; the delays keep the replicas from
// proposing all at once.
constexpr milliseconds kMaxProposalJitter{300};
// A proposal that wasn't accepted is repeated after this time plus the jitter.
constexpr milliseconds kProposalRetryInterval{1000};
// Number of low bits of a claim round number that count within one incarnation.
// There is one bit less than in ownership.cc: the bit above them is always set
// here and distinguishes these rounds from those of an owner.
constexpr unsigned kCounterBits = 23;

bool IsSameChange(const roster_change& a, const roster_change& b) {
  return a.based_on == b.based_on && a.instances == b.instances;
}

}  // namespace

roster_proposer::roster_proposer(roster_proposer_settings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      last_round_((settings_.incarnation * 2 + 1) << kCounterBits) {}

std::vector<roster_proposer_effect> roster_proposer::Tick(
    instant now, const roster_proposer_view& view) {
  std::vector<roster_proposer_effect> effects;
  if (!first_tick_) first_tick_ = now;
  if (now - *first_tick_ < kStartupListenTime) return effects;
  for (const auto& [name, instances] : settings_.instances) {
    auto desired = DesiredChange(name, view);
    auto it = pending_.find(name);
    if (!desired) {
      if (it != pending_.end()) pending_.erase(it);
      continue;
    }
    const roster& current = view.rosters.Find(name);
    if (it == pending_.end() || !IsSameChange(it->second.change, *desired)) {
      it = pending_
               .insert_or_assign(
                   name,
                   pending_change{*desired, StartRound(name, current.index),
                                  now + RandomJitter()})
               .first;
    }
    pending_change& pending = it->second;
    if (!IsPredecessorClosed(current, pending.round)) {
      for (auto& claim : pending.round.Tick(now, current.previous, {})) {
        effects.emplace_back(std::move(claim));
      }
      if (!IsPredecessorClosed(current, pending.round)) continue;
    }
    if (now < pending.propose_at) continue;
    pending.propose_at = now + kProposalRetryInterval + RandomJitter();
    effects.emplace_back(propose_roster{pending.change});
  }
  return effects;
}

void roster_proposer::Receive(const instance_name& from,
                              const wire::ownership_message& message) {
  for (auto& [name, pending] : pending_) pending.round.Receive(from, message);
}

std::optional<roster_change> roster_proposer::DesiredChange(
    const data_centre_name& name, const roster_proposer_view& view) const {
  const roster& current = view.rosters.Find(name);
  std::set<instance_name> desired;
  std::vector<instance_name> unavailable;
  std::size_t retained = 0;
  bool any_ready = false;
  for (const instance_name& instance : settings_.instances.at(name)) {
    const instance_status status = view.status_of(instance);
    any_ready = any_ready || status == instance_status::kReady;
    if (status == instance_status::kReady) {
      desired.insert(instance);
    } else if (current.Contains(instance)) {
      if (status == instance_status::kUndetermined) {
        desired.insert(instance);
      } else {
        unavailable.push_back(instance);
      }
    }
  }
  // A data centre without any ready instance is probably partitioned from this
  // replica and may still be serving, so its roster stays.
  if (!any_ready) return std::nullopt;
  for (const instance_name& instance : current.instances) {
    retained += desired.contains(instance) ? 1 : 0;
  }
  // A roster that retains too few members wouldn't be accepted, so some of the
  // unavailable ones stay for now.
  for (const instance_name& instance : unavailable) {
    if (retained >= BlockingQuorumSize(current.instances.size())) break;
    desired.insert(instance);
    ++retained;
  }
  if (desired == current.instances) return std::nullopt;
  return roster_change{.data_centre = name,
                       .instances = {desired.begin(), desired.end()},
                       .based_on = current.index};
}

bool roster_proposer::IsPredecessorClosed(const roster& current,
                                          const claim_round& round) const {
  const auto& previous = current.previous;
  const auto applied = std::count_if(
      previous.begin(), previous.end(), [&](const instance_name& name) {
        return name == settings_.self || round.HasApplied(name);
      });
  return previous.empty() || (round.replica_majority_applied() &&
                              static_cast<std::size_t>(applied) >=
                                  BlockingQuorumSize(previous.size()));
}

claim_round roster_proposer::StartRound(const data_centre_name& name,
                                        log_index index) {
  return claim_round({.self = settings_.self,
                      .data_centre = name,
                      .roster_index = index,
                      .replicas = settings_.replicas,
                      .round = ++last_round_});
}

microseconds roster_proposer::RandomJitter() {
  std::uniform_int_distribution<std::int64_t> delay(
      0, std::chrono::duration_cast<microseconds>(kMaxProposalJitter).count());
  return microseconds(delay(random_));
}

}  // namespace lavendertack
