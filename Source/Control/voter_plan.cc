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

// Number of voters per data centre, without `removed` and voters that aren't
// among the peers.
voter_counts CountByDataCentre(const replica_set& voters,
                               const instance_name& removed,
                               const std::vector<control_peer>& peers) {
  voter_counts counts;
  for (const auto& [name, storage] : voters) {
    if (name == removed) continue;
    if (const auto* peer = FindPeer(peers, name)) ++counts[peer->data_centre];
  }
  return counts;
}

// The best instance to add to the voters when `removed` is removed from them;
// null if there is none. `removed` itself is preferred if it can vote again.
// Otherwise returns an instance in the data centre with the fewest remaining
// voters. An empty `removed` means that no voter is removed.
const control_peer* BestCandidate(const voter_plan_settings& settings,
                                  const replica_set& voters,
                                  const instance_name& removed,
                                  const std::vector<control_peer>& peers) {
  voter_counts per_data_centre = CountByDataCentre(voters, removed, peers);
  const control_peer* best = nullptr;
  for (const control_peer& peer : peers) {
    const bool may_vote = peer.storage.value != 0 && peer.caught_up &&
                          peer.silent_for <= settings.candidate_max_silence;
    const bool is_returning = peer.name == removed;
    if (!may_vote || (voters.contains(peer.name) && !is_returning)) continue;
    if (is_returning) return &peer;
    if (best == nullptr || per_data_centre[peer.data_centre] <
                               per_data_centre[best->data_centre]) {
      best = &peer;
    }
  }
  return best;
}

// If the loss of one data centre would leave the remaining voters without a
// majority, moves a voter from there to a data centre with fewer voters.
std::optional<replica_change> SpreadVoters(
    const voter_plan_settings& settings, const replica_set& voters,
    const std::vector<control_peer>& peers) {
  const voter_counts counts = CountByDataCentre(voters, {}, peers);
  const auto* candidate = BestCandidate(settings, voters, {}, peers);
  if (candidate == nullptr) return std::nullopt;
  const auto found = counts.find(candidate->data_centre);
  // Voters in the candidate's data centre after the change.
  const std::size_t candidate_voters =
      found == counts.end() ? 1 : found->second + 1;
  for (const auto& [name, storage] : voters) {
    const auto* peer = FindPeer(peers, name);
    if (peer == nullptr) continue;
    const std::size_t count = counts.at(peer->data_centre);
    if (count < 2 || voters.size() - count > voters.size() / 2) continue;
    if (candidate_voters >= count) continue;
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
    const bool is_reachable =
        peer != nullptr && peer->silent_for <= settings.candidate_max_silence;
    const bool has_new_disk = is_reachable && peer->storage != storage;
    const bool may_replace = settings.replace_after != milliseconds::max();
    const bool is_lost =
        may_replace &&
        (peer == nullptr || peer->silent_for >= settings.replace_after);
    if (!has_new_disk && !is_lost) continue;
    const auto* candidate = BestCandidate(settings, voters, name, peers);
    if (candidate == nullptr || candidate->storage == storage) continue;
    return replica_change{.removed = name,
                          .removed_storage = storage,
                          .added = candidate->name,
                          .added_storage = candidate->storage};
  }
  if (voters.size() >= settings.desired_voters) {
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
