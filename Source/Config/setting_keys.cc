#include "Config/setting_keys.h"

#include <sstream>

namespace lavendertack {
namespace {

std::string TypeName(const std::string*) { return "string"; }
std::string TypeName(const instance_name*) { return "string"; }
std::string TypeName(const data_centre_name*) { return "string"; }
std::string TypeName(const endpoint*) { return "ip:port"; }
std::string TypeName(const bool*) { return "true or false"; }
std::string TypeName(const std::uint32_t*) { return "whole number"; }
std::string TypeName(const milliseconds*) { return "whole number"; }

std::string DefaultText(const std::string& value) {
  return value.empty() ? "none" : value;
}
template <typename Tag>
std::string DefaultText(const strong_type<Tag, std::string>& value) {
  return DefaultText(value.value);
}
std::string DefaultText(const endpoint&) { return "none"; }
std::string DefaultText(bool value) { return value ? "true" : "false"; }
std::string DefaultText(std::uint32_t value) { return std::to_string(value); }
std::string DefaultText(const milliseconds& value) {
  return std::to_string(value.count());
}

template <typename Object>
void AppendRows(const std::vector<setting_key<Object>>& keys,
                const std::string& prefix, std::ostream& out) {
  for (const setting_key<Object>& key : keys) {
    std::visit(
        [&](auto member) {
          const Object defaults{};
          out << "| `" << prefix << key.name << "` | "
              << TypeName(&(defaults.*member)) << " | "
              << (key.unit.empty() ? "-" : key.unit) << " | ";
          if (key.range.high == 0) {
            out << "-";
          } else {
            out << key.range.low << " to " << key.range.high;
          }
          out << " | "
              << (key.required ? "required" : DefaultText(defaults.*member))
              << " | " << key.meaning << " |\n";
        },
        key.member);
  }
}

}  // namespace

const std::vector<setting_key<settings>>& SettingKeys() {
  static const std::vector<setting_key<settings>> keys{
      {"deployment",
       &settings::deployment,
       true,
       {},
       "",
       "Name of the deployment. Messages from other deployments are dropped."},
      {"instance",
       &settings::instance,
       true,
       {},
       "",
       "Name of this instance; must be listed in `instances`."},
      {"caller_address",
       &settings::caller_address,
       true,
       {},
       "",
       "UDP address that receives callers' packets."},
      {"target_address",
       &settings::target_address,
       true,
       {},
       "",
       "TCP address that targets connect to."},
      {"admin_address",
       &settings::admin_address,
       true,
       {},
       "",
       "TCP address of the administration API."},
      {"admin_beyond_loopback",
       &settings::admin_beyond_loopback,
       false,
       {},
       "",
       "Allows an `admin_address` outside 127.0.0.0/8."},
      {"admin_token_file",
       &settings::admin_token_file,
       false,
       {},
       "",
       "File, of mode 0600 or stricter, with the token that authorises "
       "changes. "
       "Without it the administration API refuses changes."},
      {"data_folder",
       &settings::data_folder,
       false,
       {},
       "",
       "Folder for the state that must survive a restart; a replica "
       "requires one."},
      {"log_folder",
       &settings::log_folder,
       false,
       {},
       "",
       "Folder for the log files. Without it the log is written to the "
       "standard error stream."},
      {"log_decisions",
       &settings::log_decisions,
       false,
       {0, 1'000'000},
       "lines per second",
       "Maximum rate of logged routing and placement decisions about single "
       "flows. Decisions beyond it are left out, and their number is logged."},
      {"stop_within_ms",
       &settings::stop_within,
       false,
       {0, 600'000},
       "ms",
       "Maximum duration of a graceful stop after SIGTERM."}};
  return keys;
}

const std::vector<setting_key<instance_settings>>& InstanceKeys() {
  static const std::vector<setting_key<instance_settings>> keys{
      {"name",
       &instance_settings::name,
       true,
       {},
       "",
       "Unique name of the instance."},
      {"data_centre",
       &instance_settings::data_centre,
       true,
       {},
       "",
       "Name of the instance's data centre."},
      {"peer_address",
       &instance_settings::peer_address,
       true,
       {},
       "",
       "Unique TCP address that other instances connect to."},
      {"replica",
       &instance_settings::replica,
       false,
       {},
       "",
       "Whether the instance votes on tickets. Use 3, 5 or 7 replicas."}};
  return keys;
}

std::string SettingsReference() {
  std::ostringstream out;
  out << "# Settings\n\n"
         "The settings of an instance are a file with one JSON object. They\n"
         "are validated as a whole at startup, and all errors are reported\n"
         "with the path of the setting and the reason. Check a file on the\n"
         "machine that the instance is to run on with\n"
         "`lavendertackctl settings check FILE`. Strings are 1 to "
      << kMaxSettingBytes
      << " bytes\nlong. An instance reads its settings only at startup.\n\n"
         "This page is generated from the table in "
         "`Source/Config/setting_keys.cc`:\n`build/bin/lavendertackctl "
         "settings reference > docs/SETTINGS.md`.\n\n"
         "| key | type | unit | range | default | meaning |\n"
         "|---|---|---|---|---|---|\n";
  AppendRows(SettingKeys(), "", out);
  out << "| `instances` | list | - | 1 to " << kMaxInstances
      << " | required | All instances of the deployment, including this one. "
         "|\n";
  AppendRows(InstanceKeys(), "instances[].", out);
  return out.str();
}

}  // namespace lavendertack
