#include <algorithm>
#include <optional>

#include "Ctl/command_handlers.h"
#include "Ctl/table.h"

namespace lavendertack {
namespace {

using nlohmann::json;

// Returns the rows under `key` in the replies of all instances, with the name
// of the instance added to each row. Returns nothing when no instance replied.
std::optional<json> CollectRows(const command_context& context,
                                const std::string& path,
                                const std::string& key) {
  json rows = json::array();
  bool answered = false;
  for (const std::string& address : context.client.addresses()) {
    auto reply = context.client.SendTo(address, path);
    if (auto* error = std::get_if<admin_unreachable>(&reply)) {
      context.err << "no reply from " << error->what << "\n";
      continue;
    }
    const admin_reply& answer = std::get<admin_reply>(reply);
    if (answer.status != 200) {
      context.err << address << ": " << answer.body.dump() << "\n";
      continue;
    }
    answered = true;
    for (json row : answer.body.value(key, json::array())) {
      row["instance"] = answer.body.value("instance", address);
      rows.push_back(std::move(row));
    }
  }
  if (!answered) return std::nullopt;
  return rows;
}

bool IsNumber(const std::string& text) {
  return !text.empty() && text.size() <= 20 &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

int ShowRows(const command_context& context, const std::string& path,
             const std::string& key, const std::vector<std::string>& columns) {
  const auto rows = CollectRows(context, path, key);
  if (!rows) return kExitUnreachable;
  if (context.options.json) {
    context.out << json{{key, *rows}}.dump() << "\n";
  } else {
    PrintTable(*rows, columns, context.out);
  }
  return kExitSuccess;
}

int ShowStatus(const command_context& context, const command_arguments&) {
  const auto reply = SendOrPrintError(context, "GET", "/v1/status");
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return PrintRejection(context, *reply);
  const json& body = reply->body;
  if (context.options.json) {
    context.out << body.dump() << "\n";
    return kExitSuccess;
  }
  context.out << "reported by " << body.value("instance", "")
              << " in data centre " << body.value("data_centre", "")
              << ": applied entry "
              << body.value("applied_entry", std::uint64_t{0})
              << ", newest ticket "
              << body.value("newest_ticket", std::uint64_t{0}) << "\n\n";
  PrintTable(body.value("instances", json::array()),
             {"name", "data_centre", "replica", "alive", "applied_entry"},
             context.out);
  context.out << "\n";
  PrintTable(body.value("shards", json::array()),
             {"service", "flows", "ready_slots", "busy_slots"}, context.out);
  return kExitSuccess;
}

int ShowTargets(const command_context& context, const command_arguments&) {
  return ShowRows(context, "/v1/targets", "targets",
                  {"instance", "service", "target", "state", "slots", "busy",
                   "connections", "flows"});
}

int ShowFlows(const command_context& context,
              const command_arguments& arguments) {
  const std::string path =
      arguments.empty() ? "/v1/flows" : "/v1/flows/" + arguments.at(0);
  return ShowRows(context, path, "flows",
                  {"instance", "service", "flow", "target", "live_requests"});
}

int ExplainFlow(const command_context& context,
                const command_arguments& arguments) {
  for (const std::string& word : arguments) {
    if (IsNumber(word)) continue;
    context.err << word << " is not a number\n";
    return kExitUsage;
  }
  std::string path = "/v1/decisions/" + arguments.at(0);
  if (arguments.size() > 1) path += "/" + arguments.at(1);
  return ShowRows(context, path, "decisions",
                  {"instance", "ago_ms", "part", "request", "text"});
}

}  // namespace lavendertack
