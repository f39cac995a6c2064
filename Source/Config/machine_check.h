// Checks of settings against the machine that is to run them.
#ifndef LAVENDERTACK_CONFIG_MACHINE_CHECK_H_
#define LAVENDERTACK_CONFIG_MACHINE_CHECK_H_

#include <string>
#include <variant>
#include <vector>

#include "Config/settings.h"

namespace lavendertack {

// Finds addresses that aren't on this machine, folders that can't be written
// and a token file that can't be trusted. Leaves nothing behind.
std::vector<settings_error> CheckMachine(const settings& checked);

// Finds addresses of this instance that another process holds.
std::vector<settings_error> FindTakenAddresses(const settings& checked);

// Shortest token of the administration API, in bytes.
inline constexpr std::size_t kMinTokenBytes = 16;

// Reads the token that changes need. The file must be a regular one of mode
// 0600 or stricter; white space around the token isn't part of it.
std::variant<std::string, settings_error> ReadTokenFile(
    const std::string& path);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_MACHINE_CHECK_H_
