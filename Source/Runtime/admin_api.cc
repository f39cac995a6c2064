#include "Runtime/admin_api.h"

#include <nlohmann/json.hpp>

namespace lavendertack {
namespace {

using nlohmann::json;

http_answer Json(unsigned status, const json& body) {
  return {status, body.dump() + "\n"};
}

http_answer DescribeVerdict(const ticket_verdict& verdict) {
  if (const auto* accepted = std::get_if<ticket_accepted>(&verdict)) {
    return Json(200,
                {{"result", "accepted"}, {"entry", accepted->index.value}});
  }
  if (const auto* conflict = std::get_if<ticket_conflict>(&verdict)) {
    return Json(409, {{"result", "conflict"},
                      {"accepted_number", conflict->number.value},
                      {"accepted_entry", conflict->index.value}});
  }
  if (const auto* outdated = std::get_if<ticket_outdated>(&verdict)) {
    return Json(409, {{"result", "outdated"},
                      {"newest_number", outdated->newest.value}});
  }
  const ticket_error& error = std::get<ticket_invalid>(verdict).error;
  return Json(
      422, {{"result", "invalid"},
            {"errors", {{{"field", error.field}, {"reason", error.reason}}}}});
}

}  // namespace

http_answer DescribeStatus(const node& state, instant now) {
  json instances = json::array();
  for (const auto& [name, m] : state.members().members()) {
    instances.push_back({{"name", name.value},
                         {"data_centre", m.data_centre.value},
                         {"replica", m.replica},
                         {"alive", state.members().IsAlive(now, name)},
                         {"applied_entry", m.last.applied_index()}});
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
                    {"applied_entry", state.agreed().applied().value},
                    {"newest_ticket", state.agreed().newest().value},
                    {"instances", instances},
                    {"shards", shards}});
}

http_answer DescribeTargets(const node& state) {
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
  return Json(200, {{"targets", targets}});
}

http_answer DescribeTickets(const node& state) {
  json tickets = json::array();
  for (const auto& [number, ticket] : state.agreed().accepted()) {
    tickets.push_back(
        {{"number", number.value}, {"entry", ticket.index.value}});
  }
  return Json(200, {{"tickets", tickets}});
}

http_answer DescribeOutcome(const ticket_outcome& outcome) {
  if (const auto* verdict = std::get_if<ticket_verdict>(&outcome)) {
    return DescribeVerdict(*verdict);
  }
  return Json(503, {{"result", "undecided"},
                    {"reason",
                     "no quorum of replicas answered; a resend is "
                     "safe"}});
}

http_answer DescribeTicketErrors(const std::vector<ticket_error>& errors) {
  json list = json::array();
  for (const ticket_error& error : errors) {
    list.push_back({{"field", error.field}, {"reason", error.reason}});
  }
  return Json(400, {{"result", "invalid"}, {"errors", list}});
}

}  // namespace lavendertack
