#include <algorithm>

#include "Ctl/command_handlers.h"
#include "Ctl/table.h"

namespace lavendertack {
namespace {

using nlohmann::json;

// Whether any value of the line equals `text`.
bool HasValue(const json& line, const std::string& text) {
  return std::any_of(line.begin(), line.end(), [&](const json& value) {
    if (value.is_string()) return value.get<std::string>() == text;
    if (value.is_number_integer()) return value.dump() == text;
    return false;
  });
}

// Formats the fields that are specific to the line's event as "key=value ...".
std::string FormatDetails(const json& line) {
  std::string text;
  for (const auto& [key, value] : line.items()) {
    if (key == "time_ms" || key == "instance" || key == "event") continue;
    if (!text.empty()) text += " ";
    text += key + "=" +
            (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

}  // namespace

int ShowFleetStatus(const command_context& context, const command_arguments&) {
  return ShowRows(
      context, "/v1/status", "controls",
      {"instance", "control", "data_centre", "heard", "current", "entry"});
}

int ShowFleetTargets(const command_context& context, const command_arguments&) {
  return ShowRows(context, "/v1/targets", "targets",
                  {"instance", "target", "service", "address", "data_centre",
                   "phase", "tag", "cold_ms", "heard_by"});
}

int ExplainLog(const command_context& context,
               const command_arguments& arguments) {
  auto in = OpenOrPrintError(context, arguments.at(1));
  if (!in) return kExitUsage;
  json rows = json::array();
  for (std::string text; std::getline(*in, text);) {
    // Skips a prefix that a log collector has added, such as a timestamp.
    const std::size_t start = text.find('{');
    if (start == std::string::npos) continue;
    const json line = json::parse(text.substr(start), nullptr, false);
    if (!line.is_object() || !HasValue(line, arguments.at(0))) continue;
    rows.push_back({{"time_ms", line.value("time_ms", std::int64_t{0})},
                    {"instance", line.value("instance", "")},
                    {"event", line.value("event", "")},
                    {"details", FormatDetails(line)}});
  }
  std::stable_sort(rows.begin(), rows.end(), [](const json& a, const json& b) {
    return a["time_ms"] < b["time_ms"];
  });
  if (context.options.json) {
    context.out << json{{"lines", rows}}.dump() << "\n";
  } else {
    PrintTable(rows, {"time_ms", "instance", "event", "details"}, context.out);
  }
  return kExitSuccess;
}

}  // namespace lavendertack
