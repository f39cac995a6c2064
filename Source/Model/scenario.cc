#include "Model/scenario.h"

namespace lavendertack {
namespace {

const service_name kDesk{"desk"};
const service_name kShelf{"shelf"};

// A small deployment: 14 targets of kDesk and 4 of kShelf, with two slots each.
model_scenario SmallDeployment(const std::string& name) {
  return {.name = name,
          .services = {{.name = kDesk, .targets = 14},
                       {.name = kShelf, .targets = 4}},
          .classes = {{.name = "hold",
                       .service = kDesk,
                       .priority = 1,
                       .requests_per_s = 84,
                       .reuses_flows = true,
                       .mean_processing_time = milliseconds(29),
                       .latency_objective = milliseconds(200),
                       .deadline = milliseconds(1000)},
                      {.name = "browse",
                       .service = kDesk,
                       .priority = 2,
                       .repeatable = true,
                       .requests_per_s = 292,
                       .reuses_flows = true,
                       .mean_processing_time = milliseconds(22),
                       .answer_packets = 4,
                       .latency_objective = milliseconds(150),
                       .deadline = milliseconds(800)},
                      {.name = "guide",
                       .service = kShelf,
                       .priority = 2,
                       .repeatable = true,
                       .requests_per_s = 25,
                       .mean_processing_time = milliseconds(5),
                       .answer_packets = 67,
                       .latency_objective = milliseconds(500),
                       .deadline = milliseconds(3000)}}};
}

// High-priority requests take 0.15 of the targets' capacity; low-priority
// requests bring the total load to `load` times the capacity. Each request
// opens its own flow.
model_scenario OverloadScenario(double load) {
  model_scenario overload = SmallDeployment("overload");
  constexpr double kSlots = 28;
  constexpr double kHighPriorityShare = 0.15;
  for (model_class& request_class : overload.classes) {
    if (request_class.service != kDesk) continue;
    const double processing_time_s =
        std::chrono::duration<double>(request_class.mean_processing_time)
            .count();
    const bool is_high_priority = request_class.priority == 1;
    const double share =
        is_high_priority ? kHighPriorityShare : load - kHighPriorityShare;
    request_class.requests_per_s = kSlots * share / processing_time_s;
    request_class.reuses_flows = false;
    request_class.scales_with_load = false;
  }
  return overload;
}

}  // namespace

std::vector<std::string> ScenarioNames() {
  return {"calm", "overload", "crash", "rolling", "drain"};
}

std::optional<model_scenario> FindScenario(const std::string& name,
                                           double load) {
  if (name == "overload") return OverloadScenario(load);
  model_scenario scenario = SmallDeployment(name);
  scenario.load = load;
  if (name == "calm") return scenario;
  if (name == "crash") {
    for (std::size_t i = 0; i < 4; ++i) {
      scenario.faults.push_back({.at = milliseconds(10'000 + 3000 * i),
                                 .kind = model_fault_kind::kCrashTarget,
                                 .index = 3 * i});
    }
    return scenario;
  }
  if (name == "rolling") {
    for (std::size_t i = 0; i < scenario.entries; ++i) {
      scenario.faults.push_back({.at = milliseconds(7000 + 2500 * i),
                                 .kind = model_fault_kind::kRestartEntry,
                                 .index = i});
    }
    return scenario;
  }
  if (name == "drain") {
    for (std::size_t i = 0; i < 7; ++i) {
      scenario.faults.push_back({.at = milliseconds(7000 + 2500 * i),
                                 .kind = model_fault_kind::kDrainTarget,
                                 .index = 2 * i});
    }
    return scenario;
  }
  return std::nullopt;
}

std::optional<model_placement> FindPlacement(const std::string& name) {
  if (name == "load") return model_placement::kByLoad;
  if (name == "random") return model_placement::kRandom;
  if (name == "flows") return model_placement::kFewestFlows;
  return std::nullopt;
}

}  // namespace lavendertack
