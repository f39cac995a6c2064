#include "Model/scenario.h"

namespace lavendertack {
namespace {

const service_name kDesk{"desk"};
const service_name kShelf{"shelf"};

// The sizes of a small deployment: 14 targets with two slots each.
model_scenario Small(const std::string& name) {
  return {.name = name,
          .services = {{.name = kDesk, .targets = 14},
                       {.name = kShelf, .targets = 4}},
          .classes = {{.name = "hold",
                       .service = kDesk,
                       .priority = 1,
                       .requests_per_s = 84,
                       .keeps_flows = true,
                       .work = milliseconds(29),
                       .aim = milliseconds(200),
                       .deadline = milliseconds(1000)},
                      {.name = "browse",
                       .service = kDesk,
                       .priority = 2,
                       .repeatable = true,
                       .requests_per_s = 292,
                       .keeps_flows = true,
                       .work = milliseconds(22),
                       .answer_packets = 4,
                       .aim = milliseconds(150),
                       .deadline = milliseconds(800)},
                      {.name = "guide",
                       .service = kShelf,
                       .priority = 2,
                       .repeatable = true,
                       .requests_per_s = 25,
                       .work = milliseconds(5),
                       .answer_packets = 67,
                       .aim = milliseconds(500),
                       .deadline = milliseconds(3000)}}};
}

// Urgent work stays a sixth of what the targets bear; patient work fills them
// up to `load` times that. Each request opens its own flow.
model_scenario Overload(double load) {
  model_scenario overload = Small("overload");
  constexpr double kSlots = 28;
  constexpr double kUrgentPart = 0.15;
  for (model_class& one : overload.classes) {
    if (one.service != kDesk) continue;
    const double work_s = std::chrono::duration<double>(one.work).count();
    const bool urgent = one.priority == 1;
    const double part = urgent ? kUrgentPart : load - kUrgentPart;
    one.requests_per_s = kSlots * part / work_s;
    one.keeps_flows = false;
    one.grows = false;
  }
  return overload;
}

}  // namespace

std::vector<std::string> ScenarioNames() {
  return {"calm", "overload", "crash", "rolling", "drain"};
}

std::optional<model_scenario> FindScenario(const std::string& name,
                                           double load) {
  if (name == "overload") return Overload(load);
  model_scenario found = Small(name);
  found.load = load;
  if (name == "calm") return found;
  if (name == "crash") {
    for (std::size_t i = 0; i < 4; ++i) {
      found.faults.push_back({.at = milliseconds(10'000 + 3000 * i),
                              .kind = model_fault_kind::kCrashTarget,
                              .index = 3 * i});
    }
    return found;
  }
  if (name == "rolling") {
    for (std::size_t i = 0; i < found.entries; ++i) {
      found.faults.push_back({.at = milliseconds(7000 + 2500 * i),
                              .kind = model_fault_kind::kRestartEntry,
                              .index = i});
    }
    return found;
  }
  if (name == "drain") {
    for (std::size_t i = 0; i < 7; ++i) {
      found.faults.push_back({.at = milliseconds(7000 + 2500 * i),
                              .kind = model_fault_kind::kDrainTarget,
                              .index = 2 * i});
    }
    return found;
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
