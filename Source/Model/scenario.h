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
  std::uint32_t priority = 0;  // Priority of its route; 0 is the highest.
  bool repeatable = false;
  double requests_per_s = 0;             // Over all data centres, at load 1.
  bool reuses_flows = false;             // Otherwise each request opens a flow.
  milliseconds mean_processing_time{0};  // Time in a target's slot.
  std::uint32_t answer_packets = 1;
  // Both from the start of the request. Answers after the objective are late;
  // a request without an answer at the deadline has failed.
  milliseconds latency_objective{0};
  milliseconds deadline{0};
  // Whether the request rate is multiplied by the load of the scenario.
  bool scales_with_load = true;
};

// kCrashTarget: the target ends immediately. kDrainTarget: it drains, then
// ends. kRestartEntry: the entry instance stops and starts again.
enum class model_fault_kind { kCrashTarget, kDrainTarget, kRestartEntry };

// A fault or planned change during the run.
struct model_fault {
  milliseconds at{0};  // From the start of traffic.
  model_fault_kind kind{};
  std::size_t index = 0;  // Index of the target or the entry instance.
};

// The deployment, load and faults of one run.
struct model_scenario {
  std::string name;
  std::size_t data_centres = 4;
  std::size_t entries = 8;  // Entry instances, over all data centres.
  std::vector<model_service> services;
  std::vector<model_class> classes;
  std::vector<model_fault> faults;
  double load = 1;                // Factor for the rates that scale with it.
  milliseconds duration{30'000};  // Of the traffic, including the warm-up.
  milliseconds warm_up{5000};     // Requests started in it aren't counted.
};

// How new flows are placed among the candidate targets. The last two are
// baselines for comparison.
enum class model_placement { kByLoad, kRandom, kFewestFlows };

// Behaviour of the entry instances under test.
struct model_policy {
  model_placement placement = model_placement::kByLoad;
  bool refuse_overload = true;  // Whether new flows are refused on overload.
  // Whether entry instances report the packets that targets don't answer.
  bool report_unanswered = true;
};

// Returns nothing if `name` isn't in ScenarioNames(). `load` multiplies the
// request rates; in "overload" it is the total load as a multiple of the
// capacity of the targets.
std::optional<model_scenario> FindScenario(const std::string& name,
                                           double load);
// Names accepted by FindScenario. "calm" has no faults; in "overload" the load
// exceeds the capacity if `load` is above 1; in "crash" four targets crash; in
// "rolling" every entry instance restarts in turn; in "drain" seven targets
// drain in turn.
std::vector<std::string> ScenarioNames();
// Names: "load", "random" and "flows". Returns nothing for others.
std::optional<model_placement> FindPlacement(const std::string& name);

}  // namespace lavendertack

#endif  // LAVENDERTACK_MODEL_SCENARIO_H_
