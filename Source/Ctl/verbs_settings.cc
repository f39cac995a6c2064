#include "Config/machine_check.h"
#include "Config/setting_keys.h"
#include "Ctl/verb_runs.h"
#include "platform/adapter.h"

namespace lavendertack {
namespace {

using nlohmann::json;

json Described(const std::vector<settings_error>& errors) {
  json list = json::array();
  for (const auto& [path, reason] : errors) {
    list.push_back({{"path", path}, {"reason", reason}});
  }
  return list;
}

int Report(const verb_context& context,
           const std::vector<settings_error>& errors,
           const std::vector<settings_error>& warnings) {
  if (context.options.json) {
    context.out << json{{"errors", Described(errors)},
                        {"warnings", Described(warnings)}}
                       .dump()
                << "\n";
  } else {
    for (const auto& [path, reason] : errors) {
      context.out << "error: " << path << " " << reason << "\n";
    }
    for (const auto& [path, reason] : warnings) {
      context.out << "warning: " << path << " " << reason << "\n";
    }
    if (errors.empty()) context.out << "settings are good\n";
  }
  return errors.empty() ? kExitDone : kExitRefused;
}

}  // namespace

int CheckFleetSettings(const verb_context& context, const verb_words& words) {
  const auto text = ReadOrTell(context, words.at(0));
  if (!text) return kExitUsage;
  std::vector<settings_error> errors;
  auto parsed = platform::MakeAdapter().parse_settings(*text);
  if (const auto* wrong = std::get_if<std::vector<json_error>>(&parsed)) {
    for (const json_error& error : *wrong) {
      errors.push_back({error.path, error.reason});
    }
  }
  return Report(context, errors, {});
}

int CheckSettings(const verb_context& context, const verb_words& words) {
  const auto text = ReadOrTell(context, words.at(0));
  if (!text) return kExitUsage;
  auto parsed = ParseSettings(*text);
  if (auto* errors = std::get_if<std::vector<settings_error>>(&parsed)) {
    return Report(context, *errors, {});
  }
  const auto& checked = std::get<settings>(parsed);
  return Report(context, CheckMachine(checked), SettingsWarnings(checked));
}

int PrintSettingsReference(const verb_context& context, const verb_words&) {
  context.out << SettingsReference();
  return kExitDone;
}

}  // namespace lavendertack
