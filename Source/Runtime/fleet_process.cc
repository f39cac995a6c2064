#include "Runtime/fleet_process.h"

#include <fstream>
#include <iterator>

namespace lavendertack {
namespace {

// Time between two reads of the settings file.
constexpr milliseconds kSettingsPollInterval{1000};
// Limit on log lines about single flows, per second. A line costs about 10 us.
constexpr std::uint32_t kFlowLinesPerSecond = 40;
// Size of the buffer for log lines while the standard output is blocked.
constexpr std::size_t kLogBufferBytes = 256 << 10;

std::int64_t ToSigned(std::uint64_t number) {
  return static_cast<std::int64_t>(number);
}

}  // namespace

std::optional<std::string> settings_file::Load() const {
  std::ifstream in(path_);
  if (!in) return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(in)),
                     std::istreambuf_iterator<char>());
}

std::variant<fleet_settings, std::vector<json_error>> settings_file::Read() {
  auto text = Load();
  if (!text) {
    return std::vector<json_error>{{"", "can't read " + path_}};
  }
  last_text_ = *std::move(text);
  return adapter_->parse_settings(last_text_);
}

std::optional<fleet_settings> settings_file::ReadChanged(instant now,
                                                         bool force,
                                                         event_log* log) {
  if (!force && now - last_read_ < kSettingsPollInterval) return std::nullopt;
  last_read_ = now;
  auto text = Load();
  if (!text || *text == last_text_) return std::nullopt;
  last_text_ = *std::move(text);
  auto parsed = adapter_->parse_settings(last_text_);
  if (const auto* errors = std::get_if<std::vector<json_error>>(&parsed)) {
    for (const json_error& error : *errors) {
      log->Write("settings_refused",
                 {{"path", error.path}, {"reason", error.reason}});
    }
    return std::nullopt;
  }
  log->Write("settings_reloaded", {{"file", path_}});
  return std::get<fleet_settings>(std::move(parsed));
}

event_log MakeEventLog(const fleet_settings& settings) {
  return event_log({.instance = settings.host_name,
                    .flow_lines_per_s = kFlowLinesPerSecond,
                    .buffer_bytes = kLogBufferBytes},
                   StandardOutput(), UnixMilliseconds);
}

void OpenQueryPort(query_port* queries, const fleet_settings& settings,
                   event_log* log) {
  const ipv4_endpoint address{settings.self, settings.metrics_port};
  if (auto reason = queries->Open(address)) {
    log->Write("metrics_not_served",
               {{"address", ToString(address)}, {"reason", *reason}});
  }
}

instance_name ControlName(ipv4_address ip) { return {ToString(ip)}; }

std::vector<instance_name> ControlNames(const std::vector<ipv4_address>& ips) {
  std::vector<instance_name> names;
  names.reserve(ips.size());
  for (const ipv4_address ip : ips) names.push_back(ControlName(ip));
  return names;
}

void LogFollowerEvent(event_log* log, const follower_event& event) {
  if (const auto* found = std::get_if<control_found>(&event)) {
    log->Write("control_found", {{"control", found->name.value}});
  } else if (const auto* lost = std::get_if<control_lost>(&event)) {
    log->Write("control_lost", {{"control", lost->name.value},
                                {"silent_ms", lost->silent.count()}});
  } else if (const auto* state = std::get_if<state_followed>(&event)) {
    log->Write("state_followed",
               {{"control", state->from.value},
                {"manifest", ToSigned(state->version.value)},
                {"entry", ToSigned(state->index.value)},
                {"route_changes", ToSigned(state->route_changes)},
                {"whole", state->whole}});
  } else if (const auto* target = std::get_if<target_change>(&event)) {
    log->Write("target_changed",
               {{"target", target->id.value},
                {"phase", ToString(target->phase)},
                {"control", target->source.value},
                {"started_ms", ToSigned(target->version.started_ms)},
                {"sequence", ToSigned(target->version.sequence)},
                {"replaced", target->replaced ? target->replaced->value : ""}});
  } else if (const auto* refused = std::get_if<target_record_refused>(&event)) {
    log->Write("target_record_refused", {{"control", refused->from.value},
                                         {"target", refused->target.value}});
  } else if (const auto* load = std::get_if<demand_record_refused>(&event)) {
    log->Write("demand_record_refused", {{"control", load->from.value},
                                         {"service", load->service.value}});
  }
}

}  // namespace lavendertack
