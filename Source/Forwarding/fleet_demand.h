// Load of the services over all entry instances, from which every entry
// instance computes the same pressure.
//
// Entry instances report what they measure to each control instance, which sums
// it up and sends the sums back. An entry instance keeps the sums of each
// control instance with the time of their last confirmation, and doesn't use
// them after they have expired.
#ifndef LAVENDERTACK_FORWARDING_FLEET_DEMAND_H_
#define LAVENDERTACK_FORWARDING_FLEET_DEMAND_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Forwarding/demand.h"

namespace lavendertack {

// Load of one service as measured by one entry instance, or combined over
// several. Builds without fleet-wide refusal report only the demand.
struct service_load {
  requests_per_s demand = 0;
  std::optional<microseconds> response_time;
  std::optional<double> refusal_level;

  friend bool operator==(const service_load&, const service_load&) = default;
};

// Combines loads: sums of the demand, and means of the response time and of the
// refusal level, weighted by the demand of the instances that report them.
class load_sum {
 public:
  void Add(const service_load& load) { Accumulate(load, 1); }
  // `load` must have been added before.
  void Remove(const service_load& load) { Accumulate(load, -1); }
  service_load Value() const;

 private:
  void Accumulate(const service_load& load, double sign);

  requests_per_s demand_ = 0;
  // Demand of the loads with a response time, and their sum weighted by it.
  requests_per_s response_weight_ = 0;
  double weighted_response_us_ = 0;
  // The same for the refusal level.
  requests_per_s level_weight_ = 0;
  double weighted_level_ = 0;
};

// The fleet's response time at present. The reported one is seconds old, so it
// is scaled by the change that this instance has measured: the ratio of its
// current response time to the average that it reports.
microseconds CurrentResponseTime(microseconds fleet,
                                 std::optional<microseconds> own_current,
                                 std::optional<microseconds> own_average);

// Share of its final value that a decaying average with this window has reached
// at a constant rate, `elapsed` after its start.
double FilledShare(microseconds elapsed, milliseconds window);

// Whether the load differs enough from the one that was last sent to be sent
// again.
bool IsChanged(const service_load& load, const service_load& last_sent);

// A service and the data centre of the callers.
using load_key = std::pair<service_name, data_centre_name>;
using demand_by_service =
    std::unordered_map<service_name,
                       std::map<data_centre_name, requests_per_s>>;

// An entry instance's view of the load of the fleet.
class fleet_demand {
 public:
  // Applies the changed sums of a control instance. This confirms its other
  // sums too. `run` differs in each run of the control instance: the sums of an
  // earlier run are kept for a while, since those of the new run lack the entry
  // instances that haven't reported yet.
  void Apply(instant now, const instance_name& control, std::uint64_t run,
             const std::map<load_key, service_load>& changes);
  // Removes expired sums. LoadOf() doesn't depend on it.
  void Expire(instant now);

  // Load of the service over all data centres; nullopt if no control instance
  // has confirmed it within the lifetime of a report.
  std::optional<service_load> LoadOf(instant now,
                                     const service_name& service) const;
  // Whether any report is valid.
  bool IsKnown(instant now) const { return now < valid_until_; }
  // Demand as of the last call of Apply() or Expire().
  demand_by_service Demand() const;

 private:
  struct control_report {
    std::uint64_t run = 0;
    instant confirmed;
    std::map<load_key, service_load> loads;
  };
  struct combined_load {
    service_load load;
    instant valid_until;
  };

  // Sets the members below from the reports that are valid.
  void Combine(instant now);

  std::map<instance_name, control_report> reports_;
  // Reports of the previous run of each control instance.
  std::map<instance_name, control_report> previous_runs_;
  std::map<load_key, combined_load> by_data_centre_;
  std::unordered_map<service_name, combined_load> by_service_;
  instant valid_until_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_FLEET_DEMAND_H_
