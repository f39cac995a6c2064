#include "Config/host_check.h"
#include "Config/setting_keys.h"
#include "Ctl/command_handlers.h"
#include "platform/adapter.h"

namespace lavendertack {
namespace {

using nlohmann::json;

json ToJson(const std::vector<settings_error>& errors) {
  json list = json::array();
  for (const auto& [path, reason] : errors) {
    list.push_back({{"path", path}, {"reason", reason}});
  }
  return list;
}

int PrintErrors(const command_context& context,
                const std::vector<settings_error>& errors,
                const std::vector<settings_error>& warnings) {
  if (context.options.json) {
    context.out << json{{"errors", ToJson(errors)},
                        {"warnings", ToJson(warnings)}}
                       .dump()
                << "\n";
  } else {
    for (const auto& [path, reason] : errors) {
      context.out << "error: " << path << " " << reason << "\n";
    }
    for (const auto& [path, reason] : warnings) {
      context.out << "warning: " << path << " " << reason << "\n";
    }
    if (errors.empty()) context.out << "settings are valid\n";
  }
  return errors.empty() ? kExitSuccess : kExitRefused;
}

}  // namespace

int CheckFleetSettings(const command_context& context,
                       const command_arguments& arguments) {
  const auto text = ReadOrPrintError(context, arguments.at(0));
  if (!text) return kExitUsage;
  std::vector<settings_error> errors;
  auto parsed = platform::MakePlatformAdapter().parse_settings(*text);
  if (const auto* parse_errors =
          std::get_if<std::vector<json_error>>(&parsed)) {
    for (const json_error& error : *parse_errors) {
      errors.push_back({error.path, error.reason});
    }
  }
  return PrintErrors(context, errors, {});
}

int CheckSettings(const command_context& context,
                  const command_arguments& arguments) {
  const auto text = ReadOrPrintError(context, arguments.at(0));
  if (!text) return kExitUsage;
  auto parsed = ParseSettings(*text);
  if (auto* errors = std::get_if<std::vector<settings_error>>(&parsed)) {
    return PrintErrors(context, *errors, {});
  }
  const auto& valid_settings = std::get<settings>(parsed);
  return PrintErrors(context, CheckSettingsOnHost(valid_settings),
                     SettingsWarnings(valid_settings));
}

int PrintSettingsReference(const command_context& context,
                           const command_arguments&) {
  context.out << SettingsReference();
  return kExitSuccess;
}

}  // namespace lavendertack
