// Settings of one instance: a JSON file, checked as a whole before anything
// starts. The table of keys is Config/setting_keys.h.
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

// Longest string in the settings, in bytes.
inline constexpr std::size_t kMaxSettingBytes = 256;
// Most instances of a deployment.
inline constexpr std::size_t kMaxInstances = 4096;

// An IPv4 address and a port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

std::string ToString(const endpoint& e);
// True for 127.0.0.0/8.
bool IsLoopback(const endpoint& e);

struct instance_settings {
  instance_name name;
  data_centre_name data_centre;
  endpoint peer_address;  // Where other instances connect.
  bool replica = false;   // Votes on tickets; needs a data folder.
};

struct settings {
  std::string deployment;
  instance_name instance;
  endpoint caller_address;  // UDP, callers' packets.
  endpoint target_address;  // Where targets connect.
  endpoint admin_address;   // HTTP.
  bool admin_beyond_loopback = false;
  std::string admin_token_file;       // Empty: no changes over the API.
  std::string data_folder;            // Empty: the instance has no disk.
  std::string log_folder;             // Empty: the standard error stream.
  std::uint32_t log_decisions = 500;  // Lines a second.
  milliseconds stop_within{10'000};
  std::vector<instance_settings> instances;  // All, this one too.
};

// What is wrong with a setting: its path and why.
struct settings_error {
  std::string path;
  std::string reason;
};

// Reads and checks settings; all errors at once. Looks at nothing but `json`.
std::variant<settings, std::vector<settings_error>> ParseSettings(
    std::string_view json);

// What is allowed but hardly meant.
std::vector<settings_error> SettingsWarnings(const settings& checked);

// The settings of this instance among all.
const instance_settings& OwnSettings(const settings& checked);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_SETTINGS_H_
