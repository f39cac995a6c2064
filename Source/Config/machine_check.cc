#include "Config/machine_check.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace lavendertack {
namespace {

struct own_address {
  std::string path;
  endpoint address;
  int type;  // SOCK_STREAM or SOCK_DGRAM.
};

std::vector<own_address> OwnAddresses(const settings& s) {
  return {{"caller_address", s.caller_address, SOCK_DGRAM},
          {"target_address", s.target_address, SOCK_STREAM},
          {"admin_address", s.admin_address, SOCK_STREAM},
          {"instances." + s.instance.value + ".peer_address",
           OwnSettings(s).peer_address, SOCK_STREAM}};
}

// The errno of a bind to `port` of the address; 0 when it succeeds. A listening
// socket that closed a moment ago doesn't count as taken.
int TryBind(const own_address& own, std::uint16_t port) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(port);
  if (inet_pton(AF_INET, own.address.ip.c_str(), &where.sin_addr) != 1) {
    return EADDRNOTAVAIL;
  }
  const int file = socket(AF_INET, own.type | SOCK_CLOEXEC, 0);
  if (file < 0) return errno;
  const int on = 1;
  if (own.type == SOCK_STREAM) {
    setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const int failed =
      bind(file, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
  const int error = failed == 0 ? 0 : errno;
  close(file);
  return error;
}

// A folder that doesn't exist yet must be creatable in the nearest one above.
std::optional<std::string> FolderFault(const std::string& folder) {
  std::error_code failed;
  std::filesystem::path path = std::filesystem::absolute(folder, failed);
  while (!std::filesystem::exists(path, failed) && path.has_relative_path()) {
    path = path.parent_path();
  }
  if (!std::filesystem::is_directory(path, failed)) {
    return path.string() + " is not a folder";
  }
  if (access(path.c_str(), W_OK | X_OK) != 0) {
    return path.string() + ": " + std::strerror(errno);
  }
  return std::nullopt;
}

}  // namespace

std::vector<settings_error> CheckMachine(const settings& checked) {
  std::vector<settings_error> errors;
  for (const own_address& own : OwnAddresses(checked)) {
    if (const int error = TryBind(own, 0); error == EADDRNOTAVAIL) {
      errors.push_back({own.path, own.address.ip + " is not on this machine"});
    } else if (error != 0) {
      errors.push_back(
          {own.path, own.address.ip + ": " + std::strerror(error)});
    }
  }
  if (!checked.data_folder.empty()) {
    if (auto fault = FolderFault(checked.data_folder)) {
      errors.push_back({"data_folder", "can't be written, " + *fault});
    }
  }
  if (!checked.log_folder.empty()) {
    if (auto fault = FolderFault(checked.log_folder)) {
      errors.push_back({"log_folder", "can't be written, " + *fault});
    }
  }
  if (!checked.admin_token_file.empty()) {
    auto token = ReadTokenFile(checked.admin_token_file);
    if (auto* error = std::get_if<settings_error>(&token)) {
      errors.push_back({"admin_token_file", error->path + " " + error->reason});
    }
  }
  return errors;
}

std::vector<settings_error> FindTakenAddresses(const settings& checked) {
  std::vector<settings_error> errors;
  for (const own_address& own : OwnAddresses(checked)) {
    const int error = TryBind(own, own.address.port);
    if (error == 0) continue;
    errors.push_back(
        {own.path,
         ToString(own.address) +
             (error == EADDRINUSE ? " is taken by another process"
                                  : std::string(": ") + std::strerror(error))});
  }
  return errors;
}

std::variant<std::string, settings_error> ReadTokenFile(
    const std::string& path) {
  struct stat about {};
  if (stat(path.c_str(), &about) != 0) {
    return settings_error{path, std::strerror(errno)};
  }
  if (!S_ISREG(about.st_mode)) return settings_error{path, "is not a file"};
  if ((about.st_mode & 0177) != 0) {
    return settings_error{path, "is open to others; its mode must be 0600"};
  }
  std::ifstream in(path);
  if (!in) return settings_error{path, std::strerror(errno)};
  std::string token((std::istreambuf_iterator<char>(in)),
                    std::istreambuf_iterator<char>());
  constexpr std::string_view kSpace = " \t\r\n";
  token.erase(0, token.find_first_not_of(kSpace));
  token.erase(token.find_last_not_of(kSpace) + 1);
  if (token.size() < kMinTokenBytes) {
    return settings_error{path, "holds less than 16 bytes"};
  }
  if (token.find_first_of(kSpace) != std::string::npos) {
    return settings_error{path, "holds more than one word"};
  }
  return token;
}

}  // namespace lavendertack
