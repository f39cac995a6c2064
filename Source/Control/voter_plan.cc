#include "Control/voter_plan.h"

#include <algorithm>
#include <map>

namespace lavendertack {
namespace {

const control_peer* FindPeer(const std::vector<control_peer>& peers,
                             const instance_name& name) {
  auto it = std::find_if(peers.begin(), peers.end(),
                         [&](const auto& peer) { return peer.name == name; });
  return it == peers.end() ? nullptr : &*it;
}

using voter_counts = std::map<data_centre_name, std::size_t>;

voter_counts CountByDataCentre(const replica_set& voters,
                               const instance_name& leaving,
                               const std::vector<control_peer>& peers) {
  voter_counts counts;
  for (const auto& [name, storage] : voters) {
    if (name == leaving) continue;
    if (const auto* peer = FindPeer(peers, name)) ++counts[peer->data_centre];
  }
  return counts;
}

// A candidate from the data centre with the fewest voters that stay.
const control_peer* BestCandidate(const voter_plan_settings& settings,
                                  const replica_set& voters,
                                  const instance_name& leaving,
                                  const std::vector<control_peer>& peers) {
  voter_counts per_data_centre = CountByDataCentre(voters, leaving, peers);
  const control_peer* best = nullptr;
  for (const control_peer& peer : peers) {
    const bool may_vote = peer.storage.value != 0 && peer.caught_up &&
                          peer.silent <= settings.candidate_within;
    const bool returns = peer.name == leaving;
    if (!may_vote || (voters.contains(peer.name) && !returns)) continue;
    if (returns) return &peer;
    if (best == nullptr || per_data_centre[peer.data_centre] <
                               per_data_centre[best->data_centre]) {
      best = &peer;
    }
  }
  return best;
}

// A voter of a data centre without which the others are no majority, and who
// takes over from it elsewhere.
std::optional<replica_change> SpreadVoters(
    const voter_plan_settings& settings, const replica_set& voters,
    const std::vector<control_peer>& peers) {
  const voter_counts counts = CountByDataCentre(voters, {}, peers);
  const auto* candidate = BestCandidate(settings, voters, {}, peers);
  if (candidate == nullptr) return std::nullopt;
  const auto there = counts.find(candidate->data_centre);
  const std::size_t after = there == counts.end() ? 1 : there->second + 1;
  for (const auto& [name, storage] : voters) {
    const auto* peer = FindPeer(peers, name);
    if (peer == nullptr) continue;
    const std::size_t together = counts.at(peer->data_centre);
    if (together < 2 || voters.size() - together > voters.size() / 2) continue;
    if (after >= together) continue;
    return replica_change{.removed = name,
                          .removed_storage = storage,
                          .added = candidate->name,
                          .added_storage = candidate->storage};
  }
  return std::nullopt;
}

}  // namespace

std::optional<replica_change> PlanVoters(
    const voter_plan_settings& settings, const replica_set& voters,
    const std::vector<control_peer>& peers) {
  for (const auto& [name, storage] : voters) {
    const control_peer* peer = FindPeer(peers, name);
    const bool is_heard =
        peer != nullptr && peer->silent <= settings.candidate_within;
    const bool has_other_disk = is_heard && peer->storage != storage;
    const bool may_replace = settings.replace_after != milliseconds::max();
    const bool is_lost =
        may_replace &&
        (peer == nullptr || peer->silent >= settings.replace_after);
    if (!has_other_disk && !is_lost) continue;
    const auto* candidate = BestCandidate(settings, voters, name, peers);
    if (candidate == nullptr || candidate->storage == storage) continue;
    return replica_change{.removed = name,
                          .removed_storage = storage,
                          .added = candidate->name,
                          .added_storage = candidate->storage};
  }
  if (voters.size() >= settings.wanted) {
    return SpreadVoters(settings, voters, peers);
  }
  const auto* candidate = BestCandidate(settings, voters, {}, peers);
  if (candidate == nullptr) return std::nullopt;
  return replica_change{.removed = {},
                        .removed_storage = {},
                        .added = candidate->name,
                        .added_storage = candidate->storage};
}

}  // namespace lavendertack
