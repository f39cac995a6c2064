// Scenarios for the fleet model: a deployment, the load from its callers, and
// injected faults.
#ifndef LAVENDERTACK_MODEL_SCENARIO_H_
#define LAVENDERTACK_MODEL_SCENARIO_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// A service and its targets.
struct model_service {
  service_name name;
  std::size_t targets = 0;  // Spread evenly over the data centres.
  std::uint32_t slots = 2;
  std::size_t queue = 8;  // Queue length of a target; more requests are shed.
};

// A class of requests, with its load.
struct model_class {
  std::string name;
  service_name service;
  std::uint32_t priority = 0;  // Of its route; 0 is the highest.
  bool repeatable = false;
  double requests_per_s = 0;             // Over all data centres, at load 1.
  bool reuses_flows = false;             // Otherwise each request opens a flow.
  milliseconds mean_processing_time{0};  // At a target, while it has a slot.
  std::uint32_t answer_packets = 1;
  milliseconds latency_objective{0};  // Answers after it count as late.
  milliseconds deadline{0};
  // Whether the request rate is multiplied by the load of the scenario.
  bool scales_with_load = true;
};

// What happens: the target ends at once, the target drains and ends, or the
// entry instance stops and starts again.
enum class model_fault_kind { kCrashTarget, kDrainTarget, kRestartEntry };

// A fault or planned change during the run.
struct model_fault {
  milliseconds at{0};  // From the start of traffic.
  model_fault_kind kind{};
  std::size_t index = 0;  // Of the target or the entry instance.
};

// The deployment, load and faults of one run.
struct model_scenario {
  std::string name;
  std::size_t data_centres = 4;
  std::size_t entries = 8;
  std::vector<model_service> services;
  std::vector<model_class> classes;
  std::vector<model_fault> faults;
  double load = 1;                // Factor for the rates that scale with it.
  milliseconds duration{30'000};  // Of the traffic, with the warm-up.
  milliseconds warm_up{5000};     // Requests in this time aren't counted.
};

// How new flows are placed among the candidate targets. The last two are
// baselines for comparison.
enum class model_placement { kByLoad, kRandom, kFewestFlows };

// Behaviour of the entry instances under test.
struct model_policy {
  model_placement placement = model_placement::kByLoad;
  bool refuse_overload = true;  // Whether new flows are refused on overload.
};

// Returns nothing if `name` isn't in ScenarioNames(). `load` multiplies the
// request rates; in "overload" it is the total load as a multiple of the
// capacity of the targets.
std::optional<model_scenario> FindScenario(const std::string& name,
                                           double load);
// Names accepted by FindScenario.
std::vector<std::string> ScenarioNames();
// Names: "load", "random" and "flows". Returns nothing for others.
std::optional<model_placement> FindPlacement(const std::string& name);

}  // namespace lavendertack

#endif  // LAVENDERTACK_MODEL_SCENARIO_H_
