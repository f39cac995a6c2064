#include <fstream>
#include <iterator>
#include <optional>

#include "Config/machine_check.h"
#include "Config/setting_keys.h"
#include "Ctl/verb_runs.h"

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

int CheckSettings(const verb_context& context, const verb_words& words) {
  std::ifstream in(words.at(0));
  if (!in) {
    context.err << "can't read " << words.at(0) << "\n";
    return kExitUsage;
  }
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  auto parsed = ParseSettings(text);
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
