#include <algorithm>
#include <optional>

#include "Ctl/table.h"
#include "Ctl/verb_runs.h"

namespace lavendertack {
namespace {

using nlohmann::json;

// Rows below `key` from every instance that answers, each with the name of the
// instance. Nothing when none answered.
std::optional<json> Gather(const verb_context& context, const std::string& path,
                           const std::string& key) {
  json rows = json::array();
  bool answered = false;
  for (const std::string& address : context.client.addresses()) {
    auto reply = context.client.AskOne(address, path);
    if (auto* error = std::get_if<admin_unreachable>(&reply)) {
      context.err << "no answer from " << error->what << "\n";
      continue;
    }
    const admin_reply& good = std::get<admin_reply>(reply);
    if (good.status != 200) {
      context.err << address << ": " << good.body.dump() << "\n";
      continue;
    }
    answered = true;
    for (json row : good.body.value(key, json::array())) {
      row["instance"] = good.body.value("instance", address);
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

int ShowRows(const verb_context& context, const std::string& path,
             const std::string& key, const std::vector<std::string>& columns) {
  const auto rows = Gather(context, path, key);
  if (!rows) return kExitUnreachable;
  if (context.options.json) {
    context.out << json{{key, *rows}}.dump() << "\n";
  } else {
    PrintTable(*rows, columns, context.out);
  }
  return kExitDone;
}

int ShowStatus(const verb_context& context, const verb_words&) {
  const auto reply = AskOrTell(context, "GET", "/v1/status");
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return TellRefusal(context, *reply);
  const json& body = reply->body;
  if (context.options.json) {
    context.out << body.dump() << "\n";
    return kExitDone;
  }
  context.out << "as " << body.value("instance", "") << " in "
              << body.value("data_centre", "") << " sees it: entry "
              << body.value("applied_entry", std::uint64_t{0})
              << ", newest ticket "
              << body.value("newest_ticket", std::uint64_t{0}) << "\n\n";
  PrintTable(body.value("instances", json::array()),
             {"name", "data_centre", "replica", "alive", "applied_entry"},
             context.out);
  context.out << "\n";
  PrintTable(body.value("shards", json::array()),
             {"service", "flows", "ready_slots", "busy_slots"}, context.out);
  return kExitDone;
}

int ShowTargets(const verb_context& context, const verb_words&) {
  return ShowRows(context, "/v1/targets", "targets",
                  {"instance", "service", "target", "state", "slots", "busy",
                   "connections", "flows"});
}

int ShowFlows(const verb_context& context, const verb_words& words) {
  const std::string path =
      words.empty() ? "/v1/flows" : "/v1/flows/" + words.at(0);
  return ShowRows(context, path, "flows",
                  {"instance", "service", "flow", "target", "live_requests"});
}

int Explain(const verb_context& context, const verb_words& words) {
  for (const std::string& word : words) {
    if (IsNumber(word)) continue;
    context.err << word << " is not a number\n";
    return kExitUsage;
  }
  std::string path = "/v1/decisions/" + words.at(0);
  if (words.size() > 1) path += "/" + words.at(1);
  return ShowRows(context, path, "decisions",
                  {"instance", "ago_ms", "part", "request", "text"});
}

}  // namespace lavendertack
