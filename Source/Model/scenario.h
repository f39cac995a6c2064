// What a run of the model plays: a fleet, its callers, and what goes wrong.
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

struct model_service {
  service_name name;
  std::size_t targets = 0;  // Spread evenly over the data centres.
  std::uint32_t slots = 2;
  std::size_t queue = 8;  // Requests that wait at a target; more are shed.
};

// One kind of request.
struct model_class {
  std::string name;
  service_name service;
  std::uint32_t priority = 0;  // Of its route; 0 is the most urgent.
  bool repeatable = false;
  double requests_per_s = 0;  // Over all data centres, at load 1.
  bool keeps_flows = false;   // Else each request opens its own.
  milliseconds work{0};       // Mean.
  std::uint32_t answer_packets = 1;
  milliseconds aim{0};  // Later answers count as late.
  milliseconds deadline{0};
  // Whether `load` of the scenario multiplies its rate.
  bool grows = true;
};

enum class model_fault_kind { kCrashTarget, kDrainTarget, kRestartEntry };

struct model_fault {
  milliseconds at{0};  // From the start of traffic.
  model_fault_kind kind{};
  std::size_t index = 0;  // Of the target or the entry instance.
};

struct model_scenario {
  std::string name;
  std::size_t data_centres = 4;
  std::size_t entries = 8;
  std::vector<model_service> services;
  std::vector<model_class> classes;
  std::vector<model_fault> faults;
  double load = 1;  // Times the rates of the classes that grow.
  milliseconds time{30'000};
  milliseconds warm_up{5000};  // Its requests aren't counted.
};

// How new flows are placed among the candidates. The last two are baselines.
enum class model_placement { kByLoad, kRandom, kFewestFlows };

struct model_policy {
  model_placement placement = model_placement::kByLoad;
  bool refuses = true;  // For load, at the first packet.
};

// See ScenarioNames for the names. `load` multiplies the rates; in "overload"
// it is what all callers ask for, as a part of what the targets bear.
std::optional<model_scenario> FindScenario(const std::string& name,
                                           double load);
std::vector<std::string> ScenarioNames();
std::optional<model_placement> FindPlacement(const std::string& name);

}  // namespace lavendertack

#endif  // LAVENDERTACK_MODEL_SCENARIO_H_
