#include "Runtime/fleet_queries.h"

#include <nlohmann/json.hpp>

#include "Common/exposition_writer.h"
#include "Runtime/caller_reports.h"

namespace lavendertack {
namespace {

using nlohmann::json;

constexpr const char* kMetricsMimeType = "text/plain; version=0.0.4";

http_response Json(const json& body) {
  return {200,
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

http_response NoSuchPath() { return {404, "{\"error\":\"no such path\"}\n"}; }

std::int64_t DifferenceMs(instant later, instant earlier) {
  return std::chrono::duration_cast<milliseconds>(later - earlier).count();
}

void ExposeFollower(instant now, const control_follower& follower,
                    exposition_writer* out) {
  std::size_t reachable = 0;
  for (const auto& [name, control] : follower.controls()) {
    if (follower.IsReachable(now, name)) ++reachable;
  }
  out->AddSingleSample("controls_known", "gauge",
                       "Control instances that are followed.",
                       follower.controls().size());
  out->AddSingleSample(
      "controls_heard", "gauge",
      "Followed control instances that answered within the timeout.",
      reachable);
  std::map<std::string, std::uint64_t> targets;
  for (const auto& [id, target] : follower.state().targets.targets()) {
    const bool silent = !target->IsTerminated() && !target->IsReporting(now);
    ++targets[silent ? "silent" : ToString(target->report.phase)];
  }
  out->BeginFamily("targets", "gauge", "Known targets, by phase.");
  for (const auto& [phase, count] : targets) {
    out->AddSample(FormatLabel("phase", phase), count);
  }
}

void ExposeProcess(const event_log& log, const fleet_links& links,
                   exposition_writer* out) {
  out->AddSingleSample("peer_sent_bytes_total", "counter",
                       "Bytes sent to other instances.", links.sent_bytes());
  out->AddSingleSample("peer_received_bytes_total", "counter",
                       "Bytes received from other instances.",
                       links.received_bytes());
  out->AddSingleSample("peer_malformed_total", "counter",
                       "Malformed messages from other instances.",
                       links.malformed());
  out->AddSingleSample("peer_reopened_total", "counter",
                       "Connections reopened because nothing was received.",
                       links.reopened());
  out->AddSingleSample("log_lines_total", "counter",
                       "Lines written to the log.", log.written());
  out->AddSingleSample(
      "log_lines_left_out_total", "counter",
      "Lines left out because of the rate limit or a full buffer.",
      log.left_out());
}

void ExposeWithdrawal(const withdrawal& readiness, exposition_writer* out) {
  out->BeginFamily("withdrawal_phase", "gauge",
                   "1 for the phase that the instance is in: it is ready only "
                   "while it is serving.");
  for (const withdrawal_phase phase :
       {withdrawal_phase::kStarting, withdrawal_phase::kServing,
        withdrawal_phase::kUnreachable, withdrawal_phase::kReturning}) {
    out->AddSample(FormatLabel("phase", ToString(phase)),
                   phase == readiness.phase() ? 1 : 0);
  }
  out->BeginFamily("withdrawals_total", "counter",
                   "Times that no open data centre could be reached while the "
                   "own one was closed, by cause.");
  for (const auto& [cause, count] : readiness.counts()) {
    out->AddSample(FormatLabel("cause", ToString(cause)), count);
  }
}

void ExposeRefusalLevels(
    const std::string& name, const std::string& help,
    const std::unordered_map<service_name, refusal_level>& levels,
    exposition_writer* out) {
  out->BeginFamily(name, "gauge", help);
  for (const auto& [service, level] : levels) {
    out->AddSample(FormatLabel("service", service.value),
                   static_cast<std::uint64_t>(level.value() * 100));
  }
}

std::string EntryMetrics(const entry_query_view& view) {
  exposition_writer out;
  const control_follower& follower = view.entry.follower();
  out.BeginFamily("packets_total", "counter",
                  "Callers' packets, by reason of the forwarding decision.");
  for (const auto& [reason, count] : view.counts.packets) {
    out.AddSample(FormatLabel("reason", ToString(reason)), count);
  }
  out.AddSingleSample("packets_held_total", "counter",
                      "Packets that were held until the state was known.",
                      view.counts.held);
  out.AddSingleSample(
      "packets_unaddressable_total", "counter",
      "Packets for a target whose id the packet format can't express.",
      view.counts.unaddressable);
  out.AddSingleSample("packets_malformed_total", "counter",
                      "Datagrams that aren't valid packets.",
                      view.counts.malformed);
  out.AddSingleSample("packets_unsent_total", "counter",
                      "Packets that the kernel didn't accept for sending.",
                      view.counts.unsent);
  out.AddSingleSample("resets_left_out_total", "counter",
                      "Refused opening packets that were dropped because the "
                      "reset had no room on the link.",
                      view.counts.resets_left_out);
  out.AddSingleSample("data_centres_unreachable_total", "counter",
                      "Times that another data centre became unreachable, so "
                      "that open connections into it were reset.",
                      view.counts.unreachable_data_centres);
  out.BeginFamily("link_budget_fill_percent", "gauge",
                  "Bytes that can be sent, as a share of the link budget; "
                  "negative if it is overdrawn.");
  out.AddSample("", static_cast<std::int64_t>(
                        view.entry.router().link().Fill(view.now) * 100));
  out.BeginFamily("failing_data_centres", "gauge",
                  "Data centres whose targets accept no connections; new "
                  "ones go elsewhere.");
  out.AddSample("", static_cast<std::int64_t>(
                        view.entry.router().failing().failing_count()));
  out.BeginFamily(
      "connection_answer_seconds", "histogram",
      "Time from a connection's first packet to the caller's next one.");
  view.entry.router().connect_latency().WriteSamples(&out);
  ExposeRefusalLevels(
      "refusal_level_percent",
      "Share of new connections on low-priority routes that is refused because "
      "of load.",
      view.entry.router().refusal_levels(), &out);
  ExposeRefusalLevels("highest_priority_refusal_percent",
                      "Share of new connections of the highest priority that "
                      "is refused because "
                      "of load.",
                      view.entry.router().highest_refusal_levels(), &out);
  if (const auto& outcomes = view.entry.router().outcomes()) {
    out.BeginFamily("request_outcomes_total", "counter",
                    "Requests whose outcome was observed, by outcome.");
    for (std::size_t i = 0; i < outcomes->counts().size(); ++i) {
      out.AddSample(
          FormatLabel("outcome", ToString(static_cast<request_outcome>(i))),
          outcomes->counts()[i]);
    }
  }
  ExposeCallers(view.entry.router().callers(), &out);
  out.AddSingleSample("ready", "gauge",
                      "Whether the instance is ready to receive callers.",
                      view.entry.IsReady(view.now) ? 1 : 0);
  ExposeWithdrawal(view.entry.readiness(), &out);
  out.AddSingleSample("manifest_version", "gauge",
                      "Version of the manifest in use.",
                      follower.version().value);
  ExposeFollower(view.now, follower, &out);
  ExposeProcess(view.log, view.links, &out);
  return out.Text();
}

std::string ControlMetrics(const control_query_view& view) {
  exposition_writer out;
  const control_instance& control = view.control;
  out.BeginFamily("orders_total", "counter", "Operators' calls, by result.");
  for (const auto& [result, count] : view.counts.orders) {
    out.AddSample(FormatLabel("result", result), count);
  }
  out.BeginFamily("order_seconds", "histogram",
                  "Time from an operator's call to its answer.");
  view.counts.order_latency.WriteSamples(&out);
  out.BeginFamily(
      "target_changes_total", "counter",
      "Target reports that changed the target's state or were outdated, "
      "by phase.");
  for (const auto& [phase, count] : view.counts.reports) {
    out.AddSample(FormatLabel("phase", ToString(phase)), count);
  }
  out.AddSingleSample("calls_refused_total", "counter",
                      "Invalid calls that were refused.",
                      view.counts.refused_calls);
  out.AddSingleSample("reports_of_unknown_services_total", "counter",
                      "Target reports that weren't registered because the "
                      "manifest doesn't name their service.",
                      view.counts.reports_of_unknown_services);
  out.AddSingleSample("majority_heard", "gauge",
                      "Whether a majority of the voters is reachable.",
                      control.ReachesMajority(view.now) ? 1 : 0);
  out.AddSingleSample("voters", "gauge", "Control instances that vote.",
                      control.published().voters().size());
  out.AddSingleSample("votes", "gauge", "Whether this instance votes.",
                      control.agreed().IsVoting() ? 1 : 0);
  out.AddSingleSample("applied_entry", "gauge",
                      "Index of the newest chosen log entry.",
                      control.agreed().chosen_index().value);
  const round_counts& rounds = control.agreed().rounds();
  out.AddSingleSample("agreement_rounds_total", "counter",
                      "Rounds of the agreement that this instance started.",
                      rounds.started);
  out.BeginFamily("agreement_rounds_abandoned_total", "counter",
                  "Rounds that ended without a chosen entry, by reason.");
  out.AddSample(FormatLabel("reason", "timed_out"), rounds.timed_out);
  out.AddSample(FormatLabel("reason", "preempted"), rounds.preempted);
  out.AddSingleSample("agreement_late_answers_total", "counter",
                      "Voters' answers that arrived after their phase of the "
                      "round had timed out.",
                      rounds.late_answers);
  out.AddSingleSample("manifest_version", "gauge",
                      "Version of the newest manifest.",
                      control.published().published().version.value);
  out.AddSingleSample("followers", "gauge", "Instances that follow this one.",
                      control.follower_count());
  out.BeginFamily("reduced_targets", "gauge",
                  "Targets of all services with a reduced weight, by finding.");
  for (const auto& [finding, count] : control.performance().ReducedTargets()) {
    out.AddSample(FormatLabel("finding", ToString(finding)), count);
  }
  out.BeginFamily("weight_changes_total", "counter",
                  "Changed weights of targets that report to this instance, by "
                  "finding.");
  for (const auto& [finding, count] : view.counts.weight_changes) {
    out.AddSample(FormatLabel("finding", ToString(finding)), count);
  }
  ExposeFollower(view.now, control.peers(), &out);
  ExposeProcess(view.log, view.links, &out);
  return out.Text();
}

json DescribeControls(instant now, const control_follower& follower) {
  json rows = json::array();
  for (const auto& [name, control] : follower.controls()) {
    rows.push_back({{"control", name.value},
                    {"data_centre", control.data_centre.value},
                    {"heard", follower.IsReachable(now, name)},
                    {"current", control.current},
                    {"entry", control.closed_index.value}});
  }
  return rows;
}

json DescribeTargets(instant now, const target_view& targets) {
  json rows = json::array();
  for (const auto& [id, target] : targets.targets()) {
    std::string sources;
    for (const auto& [source, until] : target->reported_by) {
      if (until > now) sources += (sources.empty() ? "" : ",") + source.value;
    }
    rows.push_back(
        {{"target", id.value},
         {"service", target->report.service.value},
         {"address", ToString(target->report.address)},
         {"data_centre", target->report.data_centre.value},
         {"phase",
          target->replaced ? "replaced" : ToString(target->report.phase)},
         {"tag", target->tag.value},
         {"weight_percent", target->report.weight.value},
         {"cold_ms",
          std::max<std::int64_t>(0, DifferenceMs(target->cold_until, now))},
         {"sequence", target->report.version.sequence},
         {"changed_ms_ago", DifferenceMs(now, target->changed)},
         {"heard_by", sources}});
  }
  return rows;
}

// Lists the targets that report to this control instance.
json DescribeRegisteredTargets(instant now, const target_registry& registry) {
  json rows = json::array();
  for (const auto& [id, target] : registry.targets()) {
    rows.push_back({{"target", id.value},
                    {"service", target.report.service.value},
                    {"address", ToString(target.report.address)},
                    {"data_centre", target.report.data_centre.value},
                    {"phase", ToString(target.report.phase)},
                    {"tag", TagOf(id).value},
                    {"weight_percent", target.report.weight.value},
                    {"cold_ms", std::max<std::int64_t>(
                                    0, DifferenceMs(target.cold_until, now))},
                    {"sequence", target.report.version.sequence},
                    {"changed_ms_ago", DifferenceMs(now, target.last_report)},
                    {"heard_by", "itself"}});
  }
  return rows;
}

json ClosedNames(const std::set<data_centre_name>& closed) {
  json names = json::array();
  for (const data_centre_name& name : closed) names.push_back(name.value);
  return names;
}

}  // namespace

http_response AnswerEntryQuery(const entry_query_view& view,
                               const std::string& path) {
  const control_follower& follower = view.entry.follower();
  if (path == "/metrics") return {200, EntryMetrics(view), kMetricsMimeType};
  if (path == "/v1/targets") {
    return Json(
        {{"instance", view.instance},
         {"targets", DescribeTargets(view.now, follower.state().targets)}});
  }
  if (path != "/v1/status") return NoSuchPath();
  return Json({{"instance", view.instance},
               {"role", "entry"},
               {"data_centre", view.entry.settings().data_centre.value},
               {"ready", view.entry.IsReady(view.now)},
               {"manifest", follower.version().value},
               {"entry", follower.applied().value},
               {"routes", follower.state().routes.size()},
               {"closed", ClosedNames(follower.state().closed)},
               {"controls", DescribeControls(view.now, follower)}});
}

http_response AnswerControlQuery(const control_query_view& view,
                                 const std::string& path) {
  const control_instance& control = view.control;
  if (path == "/metrics") return {200, ControlMetrics(view), kMetricsMimeType};
  if (path == "/v1/targets") {
    return Json(
        {{"instance", view.instance},
         {"targets", DescribeRegisteredTargets(view.now, control.targets())}});
  }
  if (path != "/v1/status") return NoSuchPath();
  json voters = json::array();
  for (const auto& [name, storage] : control.published().voters()) {
    voters.push_back(name.value);
  }
  return Json({{"instance", view.instance},
               {"role", "control"},
               {"ready", control.ReachesMajority(view.now)},
               {"manifest", control.published().published().version.value},
               {"entry", control.agreed().chosen_index().value},
               {"routes", control.published().published().routes.size()},
               {"closed", ClosedNames(control.published().closed())},
               {"votes", control.agreed().IsVoting()},
               {"voters", voters},
               {"followers", control.follower_count()},
               {"controls", DescribeControls(view.now, control.peers())}});
}

}  // namespace lavendertack
