// Settings of one instance: a JSON file, checked as a whole before anything
// starts.
#ifndef LAVENDERTACK_CONFIG_SETTINGS_H_
#define LAVENDERTACK_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/strong_type.h"

namespace lavendertack {

// An IPv4 address and a port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;
};

std::string ToString(const endpoint& e);

struct instance_settings {
  instance_name name;
  data_centre_name data_centre;
  endpoint peer_address;  // Where other instances connect.
  bool replica = false;   // Votes on tickets; needs a data folder.
};

struct settings {
  std::string deployment;
  instance_name instance;
  endpoint caller_address;                   // UDP, callers' packets.
  endpoint target_address;                   // Where targets connect.
  endpoint admin_address;                    // HTTP.
  std::string data_folder;                   // Empty: the instance has no disk.
  std::vector<instance_settings> instances;  // All, this one too.
};

// What is wrong with a setting: its path and why.
struct settings_error {
  std::string path;
  std::string reason;
};

// Reads and checks settings; all errors at once.
std::variant<settings, std::vector<settings_error>> ParseSettings(
    std::string_view json);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_SETTINGS_H_
