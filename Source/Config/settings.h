// Settings of one instance: a JSON file that is validated as a whole at
// startup. Config/setting_keys.h lists all keys.
#ifndef LAVENDERTACK_CONFIG_SETTINGS_H_
#define LAVENDERTACK_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Maximum length of a string in the settings, in bytes.
inline constexpr std::size_t kMaxSettingBytes = 256;
// Maximum number of instances in a deployment.
inline constexpr std::size_t kMaxInstances = 4096;

// An IPv4 address and a port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

std::string ToString(const endpoint& e);
// Whether the address is in 127.0.0.0/8.
bool IsLoopback(const endpoint& e);

// One item of `instances`.
struct instance_settings {
  instance_name name;
  data_centre_name data_centre;
  endpoint peer_address;  // TCP, for other instances.
  bool replica = false;   // Votes on tickets; needs a data folder.
};

struct settings {
  std::string deployment;
  instance_name instance;
  endpoint caller_address;  // UDP, for callers' packets.
  endpoint target_address;  // TCP, for targets.
  endpoint admin_address;   // HTTP, administration API.
  bool admin_beyond_loopback = false;
  std::string admin_token_file;       // Empty: the API refuses changes.
  std::string data_folder;            // Empty: nothing is stored on disk.
  std::string log_folder;             // Empty: log to standard error.
  std::uint32_t log_decisions = 500;  // Maximum lines per second.
  milliseconds stop_within{10'000};   // Longest graceful stop after SIGTERM.
  std::vector<instance_settings> instances;  // All, including this one.
};

// An invalid setting: its path, and the reason as the end of a sentence that
// the path begins.
struct settings_error {
  std::string path;
  std::string reason;
};

// Parses and validates settings, and returns all errors at once. Reads no files
// and doesn't access the network; CheckSettingsOnHost does.
std::variant<settings, std::vector<settings_error>> ParseSettings(
    std::string_view json);

// Returns warnings about valid settings that are probably a mistake.
std::vector<settings_error> SettingsWarnings(const settings& valid_settings);

// Returns the item of `instances` that describes this instance.
const instance_settings& LocalInstance(const settings& valid_settings);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_SETTINGS_H_
