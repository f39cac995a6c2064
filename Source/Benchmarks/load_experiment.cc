// Plays a scenario of the model with a policy, and tells what became of the
// requests of each kind: a table, and a CSV to plot.
// Usage: load_experiment --scenario overload --load 1,2,5 --placement load
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "Model/fleet_model.h"

DEFINE_string(scenario, "overload", "which scenario is played, or \"all\"");
DEFINE_string(load, "1,2,5", "loads, one run each");
DEFINE_string(placement, "load,random,flows", "placements, one run each");
DEFINE_bool(refuse, true, "refuse patient work for load");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "runs with other seeds; their counts are added");
DEFINE_string(csv, "", "file for the table as CSV; none when empty");

namespace lavendertack {
namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

double PercentileMs(std::vector<microseconds>* took, double part) {
  if (took->empty()) return 0;
  const auto at =
      took->begin() +
      static_cast<std::ptrdiff_t>(part * static_cast<double>(took->size() - 1));
  std::nth_element(took->begin(), at, took->end());
  return std::chrono::duration<double, std::milli>(*at).count();
}

void Add(const model_result& from, model_result* to) {
  for (const auto& [name, one] : from.classes) {
    class_result& sum = to->classes[name];
    sum.asked += one.asked;
    sum.in_aim += one.in_aim;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.took.insert(sum.took.end(), one.took.begin(), one.took.end());
  }
  to->flows += from.flows;
  to->broken_flows += from.broken_flows;
  for (const auto& [service, value] : from.imbalance) {
    to->imbalance[service] = std::max(to->imbalance[service], value);
  }
}

constexpr int kNameWidth = 10;
constexpr int kWidth = 9;

class table {
 public:
  table() {
    if (!FLAGS_csv.empty()) csv_.open(FLAGS_csv);
    Row({"scenario", "placement", "load", "kind", "asked", "in_aim", "late",
         "refused", "failed", "p50_ms", "p99_ms", "broken", "imbalance"});
  }
  void Row(const std::vector<std::string>& cells) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
      std::cout << std::setw(i < 4 ? kNameWidth : kWidth) << cells[i] << ' ';
      line += (i == 0 ? "" : ",") + cells[i];
    }
    std::cout << "\n";
    if (csv_.is_open()) csv_ << line << "\n";
  }

 private:
  std::ofstream csv_;
};

std::string Fixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

bool Play(const std::string& name, double load, const std::string& placement,
          table* out) {
  const auto scenario = FindScenario(name, load);
  const auto chosen = FindPlacement(placement);
  if (!scenario || !chosen) return false;
  model_result sum;
  for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
    fleet_model model(*scenario,
                      {.placement = *chosen, .refuses = FLAGS_refuse},
                      FLAGS_seed + i);
    Add(model.Run(), &sum);
  }
  for (const model_class& kind : scenario->classes) {
    class_result& one = sum.classes[kind.name];
    const double asked = std::max<double>(1, static_cast<double>(one.asked));
    const double flows = std::max<double>(1, static_cast<double>(sum.flows));
    out->Row({name, placement, Fixed(load, 1), kind.name,
              std::to_string(one.asked),
              Fixed(static_cast<double>(one.in_aim) / asked, 4),
              Fixed(static_cast<double>(one.late) / asked, 4),
              Fixed(static_cast<double>(one.refused) / asked, 4),
              Fixed(static_cast<double>(one.failed) / asked, 4),
              Fixed(PercentileMs(&one.took, 0.5), 1),
              Fixed(PercentileMs(&one.took, 0.99), 1),
              Fixed(static_cast<double>(sum.broken_flows) * 100'000 / flows, 1),
              Fixed(sum.imbalance[kind.service], 3)});
  }
  return true;
}

int Run() {
  table out;
  const auto scenarios =
      FLAGS_scenario == "all" ? ScenarioNames() : Split(FLAGS_scenario);
  for (const std::string& scenario : scenarios) {
    for (const std::string& load : Split(FLAGS_load)) {
      for (const std::string& placement : Split(FLAGS_placement)) {
        if (!Play(scenario, std::strtod(load.c_str(), nullptr), placement,
                  &out)) {
          std::cerr << "no such scenario or placement: " << scenario << ", "
                    << placement << "\n";
          return 2;
        }
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace lavendertack

int main(int argc, char** argv) {
  gflags::SetUsageMessage("plays scenarios of the model");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return lavendertack::Run();
}
