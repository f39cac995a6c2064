// Runs scenarios of the model with different loads and placement policies.
// Prints the outcomes and latencies of the requests of each class as a table
// and optionally writes them to a CSV file.
//
// Usage: load_experiment --scenario overload --load 1,2,5 --placement load
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "Model/fleet_model.h"

DEFINE_string(scenario, "overload",
              "scenarios to run, separated by commas, or \"all\"");
DEFINE_string(load, "1,2,5", "loads, separated by commas; one run each");
DEFINE_string(placement, "load,random,flows",
              "placements, separated by commas; one run each");
DEFINE_bool(refuse, true, "refuse new flows on overload");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of consecutive seeds, whose counts are added");
DEFINE_string(csv, "", "CSV file to write the table to; none if empty");

namespace lavendertack {
namespace {

// The parts of `text` between commas.
std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

// The latency, in milliseconds, that `fraction` of the requests don't exceed; 0
// without requests. Reorders `latencies`.
double PercentileMs(std::vector<microseconds>* latencies, double fraction) {
  if (latencies->empty()) return 0;
  const auto nth = latencies->begin() +
                   static_cast<std::ptrdiff_t>(
                       fraction * static_cast<double>(latencies->size() - 1));
  std::nth_element(latencies->begin(), nth, latencies->end());
  return std::chrono::duration<double, std::milli>(*nth).count();
}

// Adds the counts and latencies; of the imbalances the highest is kept.
void AddResult(const model_result& added, model_result* result) {
  for (const auto& [name, counts] : added.classes) {
    class_result& total = result->classes[name];
    total.requests += counts.requests;
    total.within_objective += counts.within_objective;
    total.late += counts.late;
    total.refused += counts.refused;
    total.failed += counts.failed;
    total.latencies.insert(total.latencies.end(), counts.latencies.begin(),
                           counts.latencies.end());
  }
  result->flows += added.flows;
  result->broken_flows += added.broken_flows;
  for (const auto& [service, value] : added.imbalance) {
    result->imbalance[service] = std::max(result->imbalance[service], value);
  }
}

// Widths of the table's columns, in characters.
constexpr int kTextWidth = 10;
constexpr int kValueWidth = 9;

// Prints rows and writes them to the CSV file, if there is one. A row holds the
// results of one class of requests ("kind"). "asked" is the number of requests;
// "in_aim" (answered within the latency objective), "late", "refused" and
// "failed" are fractions of it. "broken" is the number of broken flows per
// 100,000 opened flows.
class result_table {
 public:
  result_table() {
    if (!FLAGS_csv.empty()) csv_.open(FLAGS_csv);
    AddRow({"scenario", "placement", "load", "kind", "asked", "in_aim", "late",
            "refused", "failed", "p50_ms", "p99_ms", "broken", "imbalance"});
  }
  void AddRow(const std::vector<std::string>& cells) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
      std::cout << std::setw(i < 4 ? kTextWidth : kValueWidth) << cells[i]
                << ' ';
      line += (i == 0 ? "" : ",") + cells[i];
    }
    std::cout << "\n";
    if (csv_.is_open()) csv_ << line << "\n";
  }

 private:
  std::ofstream csv_;
};

// Formats `value` with `digits` digits after the decimal point.
std::string FormatFixed(double value, int digits) {
  std::ostringstream output;
  output << std::fixed << std::setprecision(digits) << value;
  return output.str();
}

// Runs the scenario once for each seed and adds a row for each class of
// requests. Returns false if the scenario or the placement doesn't exist.
bool RunScenario(const std::string& name, double load,
                 const std::string& placement, result_table* output) {
  const auto scenario = FindScenario(name, load);
  const auto placement_kind = FindPlacement(placement);
  if (!scenario || !placement_kind) return false;
  model_result total;
  for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
    fleet_model model(
        *scenario,
        {.placement = *placement_kind, .refuse_overload = FLAGS_refuse},
        FLAGS_seed + i);
    AddResult(model.Run(), &total);
  }
  for (const model_class& request_class : scenario->classes) {
    class_result& counts = total.classes[request_class.name];
    const double requests =
        std::max<double>(1, static_cast<double>(counts.requests));
    const double flows = std::max<double>(1, static_cast<double>(total.flows));
    output->AddRow(
        {name, placement, FormatFixed(load, 1), request_class.name,
         std::to_string(counts.requests),
         FormatFixed(static_cast<double>(counts.within_objective) / requests,
                     4),
         FormatFixed(static_cast<double>(counts.late) / requests, 4),
         FormatFixed(static_cast<double>(counts.refused) / requests, 4),
         FormatFixed(static_cast<double>(counts.failed) / requests, 4),
         FormatFixed(PercentileMs(&counts.latencies, 0.5), 1),
         FormatFixed(PercentileMs(&counts.latencies, 0.99), 1),
         FormatFixed(static_cast<double>(total.broken_flows) * 100'000 / flows,
                     1),
         FormatFixed(total.imbalance[request_class.service], 3)});
  }
  return true;
}

int Run() {
  result_table output;
  const auto scenarios =
      FLAGS_scenario == "all" ? ScenarioNames() : SplitAtCommas(FLAGS_scenario);
  for (const std::string& scenario : scenarios) {
    for (const std::string& load : SplitAtCommas(FLAGS_load)) {
      for (const std::string& placement : SplitAtCommas(FLAGS_placement)) {
        if (!RunScenario(scenario, std::strtod(load.c_str(), nullptr),
                         placement, &output)) {
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
  gflags::SetUsageMessage("runs scenarios of the model");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return lavendertack::Run();
}
