#include "Forwarding/demand.h"

#include <algorithm>
#include <cmath>

namespace lavendertack {
namespace {

// While slots are free, a data centre's own targets get its demand up to this
// multiple of the mean load per slot.
constexpr double kMaxLocalSlack = 1.3;
// Pressures between which the slack falls to 1.
constexpr double kFreePressure = 0.8;
constexpr double kFullPressure = 1.2;

}  // namespace

double LocalSlack(double pressure) {
  const double full =
      (pressure - kFreePressure) / (kFullPressure - kFreePressure);
  return std::lerp(kMaxLocalSlack, 1.0, std::clamp(full, 0.0, 1.0));
}

void demand_meter::Observe(instant now, const service_name& service) {
  counts_.try_emplace(service, window_).first->second.Add(now, 1);
}

requests_per_s demand_meter::Rate(instant now,
                                  const service_name& service) const {
  auto it = counts_.find(service);
  if (it == counts_.end()) return 0;
  const double window_s = std::chrono::duration<double>(window_).count();
  return it->second.ValueAt(now) / window_s;
}

std::map<service_name, requests_per_s> demand_meter::Rates(instant now) const {
  std::map<service_name, requests_per_s> rates;
  for (const auto& [service, count] : counts_) {
    rates[service] = Rate(now, service);
  }
  return rates;
}

std::map<data_centre_name, double> SplitDemand(const data_centre_name& own,
                                               const load_by_data_centre& loads,
                                               double slack) {
  double slots = 0;
  double demand = 0;
  for (const auto& [name, load] : loads) {
    slots += load.slots;
    demand += load.demand;
  }
  std::map<data_centre_name, double> weights;
  if (slots <= 0) return weights;
  auto it = loads.find(own);
  const data_centre_load own_load =
      it == loads.end() ? data_centre_load{} : it->second;
  const double max_demand_per_slot = slack * demand / slots;
  double local_share = own_load.slots > 0 ? 1.0 : 0.0;
  if (own_load.demand > 0 && own_load.slots > 0) {
    local_share =
        std::min(1.0, max_demand_per_slot * own_load.slots / own_load.demand);
  }
  if (local_share > 0) weights[own] = local_share;
  if (local_share >= 1) return weights;
  double total_spare = 0;
  for (const auto& [name, load] : loads) {
    if (name == own) continue;
    total_spare +=
        std::max(0.0, max_demand_per_slot * load.slots - load.demand);
  }
  double remote_slots = slots - own_load.slots;
  if (remote_slots <= 0) return {{own, 1.0}};
  for (const auto& [name, load] : loads) {
    if (name == own || load.slots <= 0) continue;
    const double spare =
        std::max(0.0, max_demand_per_slot * load.slots - load.demand);
    // Without measured demand, the split is by slots.
    const double share =
        total_spare > 0 ? spare / total_spare : load.slots / remote_slots;
    if (share > 0) weights[name] = (1 - local_share) * share;
  }
  return weights;
}

}  // namespace lavendertack
