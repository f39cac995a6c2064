// Measures the demand for each service and splits a data centre's demand
// between its own targets and those of other data centres.
//
// The split has two purposes: a data centre that is cut off from the others
// keeps serving its own callers, and when callers are unevenly distributed, the
// targets of the busier data centre don't fill up while others are idle.
#ifndef LAVENDERTACK_FORWARDING_DEMAND_H_
#define LAVENDERTACK_FORWARDING_DEMAND_H_

#include <map>
#include <unordered_map>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Forwarding/decayed_count.h"

namespace lavendertack {

using requests_per_s = double;

// Demand below this value counts as zero and isn't reported to other instances.
constexpr requests_per_s kMinDemand = 0.05;

// Request rate of each service: an exponentially decaying average over a
// window.
class demand_meter {
 public:
  // `window` is the time in which the weight of a request falls to 1/e.
  explicit demand_meter(milliseconds window) : window_(window) {}
  // Counts one request.
  void Observe(instant now, const service_name& service);
  // 0 for a service without requests.
  requests_per_s Rate(instant now, const service_name& service) const;
  // Rates of all services that ever had a request.
  std::map<service_name, requests_per_s> Rates(instant now) const;

 private:
  milliseconds window_;
  std::unordered_map<service_name, decayed_count> counts_;
};

// Capacity and demand of one service in one data centre.
struct data_centre_load {
  double slots = 0;           // Slots of the targets that accept new flows.
  requests_per_s demand = 0;  // Requests of the data centre's callers.
};
using load_by_data_centre = std::map<data_centre_name, data_centre_load>;

// Slack for SplitDemand at a pressure on the service (see overload.h): new
// flows stay in the callers' data centre while slots are free, and the data
// centres share the load equally when the queues fill up. Otherwise the callers
// of the busiest data centre would wait longest and be refused most by its
// targets.
double LocalSlack(double pressure);

// Splits the new flows of callers in the data centre `own` over the data
// centres: a weight for each of them, with a sum of 1. The targets of `own` get
// the demand up to `slack` times the mean demand per slot over all data
// centres; the rest is split over the other data centres in proportion to their
// spare capacity below that bound. Empty when there are no slots.
std::map<data_centre_name, double> SplitDemand(const data_centre_name& own,
                                               const load_by_data_centre& loads,
                                               double slack);

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_DEMAND_H_
