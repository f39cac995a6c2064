#include "Ownership/roster_proposer.h"

#include <algorithm>

namespace lavendertack {
namespace {

// After its own start a replica first listens for so long.
constexpr milliseconds kListenTime{1000};
// Longest random delay of a proposal, so that one replica is the first.
constexpr milliseconds kMaxJitter{300};
// A proposal that didn't count is repeated after this and the jitter.
constexpr milliseconds kRepeatInterval{1000};
// Rounds of a keeper are told from those of an owner by their upper bits.
constexpr unsigned kCounterBits = 23;

bool SameInstances(const roster_change& a, const roster_change& b) {
  return a.based_on == b.based_on && a.instances == b.instances;
}

}  // namespace

roster_proposer::roster_proposer(roster_proposer_settings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      rounds_((settings_.incarnation * 2 + 1) << kCounterBits) {}

std::vector<roster_proposer_effect> roster_proposer::Tick(
    instant now, const roster_proposer_view& view) {
  std::vector<roster_proposer_effect> effects;
  if (!started_) started_ = now;
  if (now - *started_ < kListenTime) return effects;
  for (const auto& [name, instances] : settings_.instances) {
    auto wanted = Wanted(name, view);
    auto it = intents_.find(name);
    if (!wanted) {
      if (it != intents_.end()) intents_.erase(it);
      continue;
    }
    const roster& present = view.rosters.Find(name);
    if (it == intents_.end() || !SameInstances(it->second.change, *wanted)) {
      it = intents_
               .insert_or_assign(name,
                                 intent{*wanted, NewRound(name, present.index),
                                        now + Jitter()})
               .first;
    }
    intent& due = it->second;
    if (!PredecessorClosed(present, due.round)) {
      for (auto& question : due.round.Tick(now, present.previous, {})) {
        effects.emplace_back(std::move(question));
      }
      if (!PredecessorClosed(present, due.round)) continue;
    }
    if (now < due.propose_at) continue;
    due.propose_at = now + kRepeatInterval + Jitter();
    effects.emplace_back(propose_roster{due.change});
  }
  return effects;
}

void roster_proposer::Receive(const instance_name& from,
                              const wire::ownership_message& message) {
  for (auto& [name, due] : intents_) due.round.Receive(from, message);
}

std::optional<roster_change> roster_proposer::Wanted(
    const data_centre_name& name, const roster_proposer_view& view) const {
  const roster& present = view.rosters.Find(name);
  std::set<instance_name> wanted;
  std::vector<instance_name> gone;
  std::size_t kept = 0;
  bool any_ready = false;
  for (const instance_name& instance : settings_.instances.at(name)) {
    const instance_status status_of = view.status_of(instance);
    any_ready = any_ready || status_of == instance_status::kReady;
    if (status_of == instance_status::kReady) {
      wanted.insert(instance);
    } else if (present.Contains(instance)) {
      if (status_of == instance_status::kUndetermined) {
        wanted.insert(instance);
      } else {
        gone.push_back(instance);
      }
    }
  }
  // A data centre that is silent as a whole is cut off, and goes on with the
  // roster that it has.
  if (!any_ready) return std::nullopt;
  for (const instance_name& instance : present.instances) {
    kept += wanted.contains(instance) ? 1 : 0;
  }
  for (const instance_name& instance : gone) {
    if (kept >= ClosingCount(present.instances.size())) break;
    wanted.insert(instance);
    ++kept;
  }
  if (wanted == present.instances) return std::nullopt;
  return roster_change{.data_centre = name,
                       .instances = {wanted.begin(), wanted.end()},
                       .based_on = present.index};
}

bool roster_proposer::PredecessorClosed(const roster& present,
                                        const claim_round& round) const {
  const auto& previous = present.previous;
  const auto applied = std::count_if(
      previous.begin(), previous.end(), [&](const instance_name& name) {
        return name == settings_.self || round.HasApplied(name);
      });
  return previous.empty() ||
         (round.replicas_done() &&
          static_cast<std::size_t>(applied) >= ClosingCount(previous.size()));
}

claim_round roster_proposer::NewRound(const data_centre_name& name,
                                      log_index index) {
  return claim_round({.self = settings_.self,
                      .data_centre = name,
                      .roster_index = index,
                      .replicas = settings_.replicas,
                      .round = ++rounds_});
}

microseconds roster_proposer::Jitter() {
  std::uniform_int_distribution<std::int64_t> delay(
      0, std::chrono::duration_cast<microseconds>(kMaxJitter).count());
  return microseconds(delay(random_));
}

}  // namespace lavendertack
