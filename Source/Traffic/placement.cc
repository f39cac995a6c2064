#include "Traffic/placement.h"

#include <algorithm>
#include <cmath>

#include "Common/hash.h"

namespace lavendertack {
namespace {

// Score of a candidate in weighted rendezvous hashing: each candidate has the
// highest score for a share of the keys that is proportional to its weight
// (logarithmic method of Wang & Ravishankar).
double WeightedScore(std::uint64_t key, const std::string& name,
                     std::uint32_t weight) {
  constexpr double kTwoTo64 = 18446744073709551616.0;
  const double uniform =
      (static_cast<double>(RendezvousScore(key, name)) + 1.0) / kTwoTo64;
  // The bound keeps the logarithm from being 0.
  return -static_cast<double>(weight) / std::log(std::min(uniform, 0.9999999));
}

}  // namespace

placement PlaceNewFlow(const placement_view& view, const service_name& service,
                       flow_id flow) {
  const std::uint64_t key = StableHash(service.value, flow.value);
  std::optional<owner_location> best;
  double best_score = 0;
  for (const data_centre_candidate& choice : view.data_centres) {
    if (choice.out || choice.ready_slots == 0) continue;
    auto owner = view.owner(choice.name);
    if (!owner) continue;
    const double score =
        WeightedScore(key, choice.name.value, choice.ready_slots);
    if (best && score <= best_score) continue;
    best = owner_location{choice.name, *owner};
    best_score = score;
  }
  if (best) return *best;
  return placement_refusal{refusal_reason::kNoTarget};
}

placement PlaceOpenFlow(const placement_view& view, const flow_token& token) {
  for (const data_centre_candidate& choice : view.data_centres) {
    if (choice.name != token.data_centre) continue;
    if (choice.out) {
      return placement_refusal{refusal_reason::kDataCentreOut, true};
    }
    if (auto owner = view.owner(choice.name)) {
      return owner_location{choice.name, *owner};
    }
    return placement_refusal{refusal_reason::kOwnerUnreachable};
  }
  return placement_refusal{refusal_reason::kDataCentreOut, true};
}

std::optional<instance_name> SelectOwner(
    const std::vector<instance_name>& instances, const service_name& service) {
  const std::uint64_t key = StableHash(service.value);
  std::optional<instance_name> owner;
  std::uint64_t best = 0;
  for (const instance_name& name : instances) {
    const std::uint64_t score = RendezvousScore(key, name.value);
    if (owner && score <= best) continue;
    owner = name;
    best = score;
  }
  return owner;
}

}  // namespace lavendertack
