#include "Runtime/admin_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lavendertack {
namespace {

using nlohmann::json;

http_response Json(unsigned status, const json& body) {
  // Invalid UTF-8 is replaced; otherwise one invalid string would make the
  // whole response fail.
  return {status,
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

http_response DescribeTicketResult(const ticket_result& result) {
  if (const auto* accepted = std::get_if<ticket_accepted>(&result)) {
    return Json(200,
                {{"result", "accepted"}, {"entry", accepted->index.value}});
  }
  if (const auto* conflict = std::get_if<ticket_conflict>(&result)) {
    return Json(409, {{"result", "conflict"},
                      {"accepted_number", conflict->number.value},
                      {"accepted_entry", conflict->index.value}});
  }
  if (const auto* outdated = std::get_if<ticket_outdated>(&result)) {
    return Json(409, {{"result", "outdated"},
                      {"newest_number", outdated->newest.value}});
  }
  const ticket_error& error = std::get<ticket_invalid>(result).error;
  return Json(
      422, {{"result", "invalid"},
            {"errors", {{{"field", error.field}, {"reason", error.reason}}}}});
}

http_response DescribeStatus(const node& state, instant now) {
  json instances = json::array();
  for (const auto& [name, member] : state.members().members()) {
    instances.push_back(
        {{"name", name.value},
         {"data_centre", member.data_centre.value},
         {"replica", member.replica},
         {"alive", state.members().IsAlive(now, name)},
         {"applied_entry", member.last_heartbeat.applied_index()}});
  }
  json shards = json::array();
  for (const auto& [name, shard] : state.shards()) {
    const shard_load load = shard.Load();
    shards.push_back({{"service", name.value},
                      {"flows", shard.flow_count()},
                      {"ready_slots", load.ready_slots},
                      {"busy_slots", load.busy_slots}});
  }
  return Json(200, {{"instance", state.settings().self.value},
                    {"data_centre", state.settings().data_centre.value},
                    {"applied_entry", state.agreed_directory().applied().value},
                    {"newest_ticket", state.agreed_directory().newest().value},
                    {"instances", instances},
                    {"shards", shards}});
}

http_response DescribeTargets(const node& state) {
  json targets = json::array();
  for (const auto& [service, shard] : state.shards()) {
    for (const auto& [name, target] : shard.targets()) {
      targets.push_back({{"service", service.value},
                         {"target", name.value},
                         {"state", ToString(target.state)},
                         {"slots", target.slots},
                         {"busy", target.busy},
                         {"connections", target.connections},
                         {"flows", target.flows}});
    }
  }
  return Json(
      200, {{"instance", state.settings().self.value}, {"targets", targets}});
}

http_response DescribeTickets(const node& state) {
  json tickets = json::array();
  for (const auto& [number, ticket] : state.agreed_directory().accepted()) {
    tickets.push_back(
        {{"number", number.value}, {"entry", ticket.index.value}});
  }
  return Json(200, {{"tickets", tickets}});
}

// Lists the flows of one service, or of all services when `service_filter` is
// empty.
http_response DescribeFlows(const node& state,
                            const std::string& service_filter) {
  json flows = json::array();
  for (const auto& [service, shard] : state.shards()) {
    if (!service_filter.empty() && service.value != service_filter) continue;
    for (const auto& [flow, target, live] : shard.Flows(kMaxListedFlows)) {
      flows.push_back({{"service", service.value},
                       {"flow", flow.value},
                       {"target", target.value},
                       {"live_requests", live}});
    }
  }
  return Json(200,
              {{"instance", state.settings().self.value}, {"flows", flows}});
}

json DescribeTicket(const change_ticket& ticket) {
  json services = json::array();
  for (const service_spec& spec : ticket.services) {
    json classes = json::array();
    for (const class_name& name : spec.classes) classes.push_back(name.value);
    services.push_back({{"name", spec.name.value},
                        {"classes", classes},
                        {"flow_idle_s", spec.flow_idle.count()},
                        {"removed", spec.removed}});
  }
  json classes = json::array();
  for (const class_spec& spec : ticket.classes) {
    classes.push_back({{"name", spec.name.value},
                       {"price", spec.price.value},
                       {"removed", spec.removed}});
  }
  json data_centres = json::array();
  for (const data_centre_spec& spec : ticket.data_centres) {
    data_centres.push_back({{"name", spec.name.value}, {"out", spec.out}});
  }
  return {{"number", ticket.number.value},
          {"services", services},
          {"classes", classes},
          {"data_centres", data_centres}};
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) return std::nullopt;
  return number;
}

http_response NotFound(const std::string& what) {
  return Json(404, {{"error", what}});
}

http_response ShowTicket(const node& state, const std::string& text) {
  const auto number = ParseNumber(text);
  if (!number) return Json(400, {{"error", "invalid ticket number"}});
  const auto it = state.agreed_directory().accepted().find({*number});
  if (it == state.agreed_directory().accepted().end()) {
    return NotFound("no accepted ticket has this number");
  }
  auto ticket = DecodeTicket(it->second.encoded);
  if (std::holds_alternative<ticket_error>(ticket)) {
    return NotFound("the content of the ticket is no longer stored");
  }
  return Json(200,
              {{"entry", it->second.index.value},
               {"ticket", DescribeTicket(std::get<change_ticket>(ticket))}});
}

http_response DescribeDecisions(const admin_view& view, const std::string& flow,
                                const std::string& request) {
  const auto flow_number = ParseNumber(flow);
  std::optional<request_number> request_filter;
  if (!request.empty()) {
    const auto number = ParseNumber(request);
    if (!number) return Json(400, {{"error", "invalid request number"}});
    request_filter = request_number{*number};
  }
  if (!flow_number) return Json(400, {{"error", "invalid flow number"}});
  json decisions = json::array();
  for (const kept_decision* decision :
       view.decisions.Find({*flow_number}, request_filter)) {
    const auto ago =
        std::chrono::duration_cast<milliseconds>(view.now - decision->when);
    decisions.push_back({{"ago_ms", ago.count()},
                         {"part", decision->line.part},
                         {"request", decision->line.request.value},
                         {"text", decision->line.text}});
  }
  return Json(200, {{"instance", view.state.settings().self.value},
                    {"decisions", decisions}});
}

// Returns the number of log entries that this instance lags behind the most
// advanced instance.
std::uint64_t EntriesBehind(const node& state) {
  std::uint64_t newest = state.agreed_directory().applied().value;
  for (const auto& [name, member] : state.members().members()) {
    newest = std::max(newest, member.last_heartbeat.applied_index());
  }
  return newest - state.agreed_directory().applied().value;
}

http_response DescribeReadiness(const admin_view& view) {
  const std::uint64_t behind = EntriesBehind(view.state);
  const bool ready = !view.stopping && behind <= kMaxEntriesBehindWhenReady;
  return Json(ready ? 200 : 503, {{"ready", ready},
                                  {"stopping", view.stopping},
                                  {"entries_behind", behind}});
}

// Splits a path into segments: "/v1/tickets/4" gives v1, tickets and 4.
std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> segments;
  std::istringstream in(path.substr(path.empty() ? 0 : 1));
  for (std::string segment; std::getline(in, segment, '/');) {
    segments.push_back(segment);
  }
  return segments;
}

http_response AnswerPathWithArgument(const admin_view& view,
                                     const std::vector<std::string>& segments) {
  if (segments[1] == "tickets" && segments.size() == 3) {
    return ShowTicket(view.state, segments[2]);
  }
  if (segments[1] == "flows" && segments.size() == 3) {
    return DescribeFlows(view.state, segments[2]);
  }
  if (segments[1] == "decisions") {
    return DescribeDecisions(view, segments[2],
                             segments.size() == 4 ? segments[3] : "");
  }
  return NotFound("no such path");
}

}  // namespace

http_response AnswerQuery(const admin_view& view, const std::string& path) {
  if (path == "/v1/live") return Json(200, {{"live", true}});
  if (path == "/v1/ready") return DescribeReadiness(view);
  if (path == "/v1/status") return DescribeStatus(view.state, view.now);
  if (path == "/v1/targets") return DescribeTargets(view.state);
  if (path == "/v1/flows") return DescribeFlows(view.state, "");
  if (path == "/v1/tickets") return DescribeTickets(view.state);
  if (path == "/metrics") {
    return {200, view.counts.Expose(view.state, view.totals),
            "text/plain; version=0.0.4"};
  }
  const auto segments = SplitPath(path);
  if (segments.size() < 3 || segments.size() > 4 || segments[0] != "v1") {
    return NotFound("no such path");
  }
  return AnswerPathWithArgument(view, segments);
}

http_response DescribeOutcome(const ticket_outcome& outcome) {
  if (const auto* result = std::get_if<ticket_result>(&outcome)) {
    return DescribeTicketResult(*result);
  }
  return Json(503, {{"result", "undecided"},
                    {"reason",
                     "no quorum of replicas answered; a retry is "
                     "safe"}});
}

http_response DescribeTicketErrors(const std::vector<ticket_error>& errors) {
  json list = json::array();
  for (const ticket_error& error : errors) {
    list.push_back({{"field", error.field}, {"reason", error.reason}});
  }
  return Json(400, {{"result", "invalid"}, {"errors", list}});
}

}  // namespace lavendertack
