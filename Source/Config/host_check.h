// Checks of settings against the machine that the instance is to run on.
#ifndef LAVENDERTACK_CONFIG_HOST_CHECK_H_
#define LAVENDERTACK_CONFIG_HOST_CHECK_H_

#include <string>
#include <variant>
#include <vector>

#include "Config/settings.h"

namespace lavendertack {

// Returns an error for each address that isn't on this machine, each folder
// that isn't writable, and a token file that ReadTokenFile refuses. Creates no
// files and keeps no sockets open.
std::vector<settings_error> CheckSettingsOnHost(const settings& valid_settings);

// Returns an error for each address of this instance that is already in use.
std::vector<settings_error> FindAddressesInUse(const settings& valid_settings);

// Minimum length of the administration API's token, in bytes.
inline constexpr std::size_t kMinTokenBytes = 16;

// Reads the token that authorises changes over the administration API. `path`
// must be a regular file of mode 0600 or stricter. White space around the token
// is removed; white space within the token is an error.
std::variant<std::string, settings_error> ReadTokenFile(
    const std::string& path);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_HOST_CHECK_H_
