#include <algorithm>

#include "Ctl/table.h"
#include "Ctl/verb_runs.h"

namespace lavendertack {
namespace {

using nlohmann::json;

// Whether the text stands as a value anywhere in the line.
bool Mentions(const json& line, const std::string& text) {
  return std::any_of(line.begin(), line.end(), [&](const json& value) {
    if (value.is_string()) return value.get<std::string>() == text;
    if (value.is_number_integer()) return value.dump() == text;
    return false;
  });
}

// The fields of a line that every line doesn't have, as one text.
std::string Details(const json& line) {
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

int ShowFleetStatus(const verb_context& context, const verb_words&) {
  return ShowRows(
      context, "/v1/status", "controls",
      {"instance", "control", "data_centre", "heard", "current", "entry"});
}

int ShowFleetTargets(const verb_context& context, const verb_words&) {
  return ShowRows(context, "/v1/targets", "targets",
                  {"instance", "target", "service", "address", "data_centre",
                   "phase", "tag", "cold_ms", "heard_by"});
}

int ExplainLog(const verb_context& context, const verb_words& words) {
  auto in = OpenOrTell(context, words.at(1));
  if (!in) return kExitUsage;
  json rows = json::array();
  for (std::string text; std::getline(*in, text);) {
    // Whatever else stands before the line, as a collector's time stamp.
    const std::size_t start = text.find('{');
    if (start == std::string::npos) continue;
    const json line = json::parse(text.substr(start), nullptr, false);
    if (!line.is_object() || !Mentions(line, words.at(0))) continue;
    rows.push_back({{"time_ms", line.value("time_ms", std::int64_t{0})},
                    {"instance", line.value("instance", "")},
                    {"event", line.value("event", "")},
                    {"details", Details(line)}});
  }
  std::stable_sort(rows.begin(), rows.end(), [](const json& a, const json& b) {
    return a["time_ms"] < b["time_ms"];
  });
  if (context.options.json) {
    context.out << json{{"lines", rows}}.dump() << "\n";
  } else {
    PrintTable(rows, {"time_ms", "instance", "event", "details"}, context.out);
  }
  return kExitDone;
}

}  // namespace lavendertack
