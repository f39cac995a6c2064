#include "Config/host_check.h"

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

struct local_address {
  std::string path;
  endpoint address;
  int socket_type;  // SOCK_STREAM or SOCK_DGRAM.
};

std::vector<local_address> LocalAddresses(const settings& s) {
  return {{"caller_address", s.caller_address, SOCK_DGRAM},
          {"target_address", s.target_address, SOCK_STREAM},
          {"admin_address", s.admin_address, SOCK_STREAM},
          {"instances." + s.instance.value + ".peer_address",
           LocalInstance(s).peer_address, SOCK_STREAM}};
}

// Tries to bind a socket to `port` of the address and returns errno, or 0 on
// success. SO_REUSEADDR keeps a recently closed TCP connection in TIME_WAIT
// from being reported as an address in use.
int TryBind(const local_address& local, std::uint16_t port) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(port);
  if (inet_pton(AF_INET, local.address.ip.c_str(), &socket_address.sin_addr) !=
      1) {
    return EADDRNOTAVAIL;
  }
  const int fd = socket(AF_INET, local.socket_type | SOCK_CLOEXEC, 0);
  if (fd < 0) return errno;
  const int enabled = 1;
  if (local.socket_type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  }
  const int bind_result =
      bind(fd, reinterpret_cast<const sockaddr*>(&socket_address),
           sizeof(socket_address));
  const int error = bind_result == 0 ? 0 : errno;
  close(fd);
  return error;
}

// Returns why `folder` isn't writable, or nothing if it is. For a folder that
// doesn't exist yet, its nearest existing ancestor must be writable.
std::optional<std::string> FindFolderError(const std::string& folder) {
  std::error_code error;
  std::filesystem::path path = std::filesystem::absolute(folder, error);
  while (!std::filesystem::exists(path, error) && path.has_relative_path()) {
    path = path.parent_path();
  }
  if (!std::filesystem::is_directory(path, error)) {
    return path.string() + " is not a directory";
  }
  if (access(path.c_str(), W_OK | X_OK) != 0) {
    return path.string() + ": " + std::strerror(errno);
  }
  return std::nullopt;
}

}  // namespace

std::vector<settings_error> CheckSettingsOnHost(
    const settings& valid_settings) {
  std::vector<settings_error> errors;
  for (const local_address& local : LocalAddresses(valid_settings)) {
    if (const int error = TryBind(local, 0); error == EADDRNOTAVAIL) {
      errors.push_back({local.path, local.address.ip +
                                        " is not an address of this machine"});
    } else if (error != 0) {
      errors.push_back(
          {local.path, local.address.ip + ": " + std::strerror(error)});
    }
  }
  if (!valid_settings.data_folder.empty()) {
    if (auto folder_error = FindFolderError(valid_settings.data_folder)) {
      errors.push_back({"data_folder", "is not writable: " + *folder_error});
    }
  }
  if (!valid_settings.log_folder.empty()) {
    if (auto folder_error = FindFolderError(valid_settings.log_folder)) {
      errors.push_back({"log_folder", "is not writable: " + *folder_error});
    }
  }
  if (!valid_settings.admin_token_file.empty()) {
    auto token = ReadTokenFile(valid_settings.admin_token_file);
    if (auto* error = std::get_if<settings_error>(&token)) {
      errors.push_back({"admin_token_file", error->path + " " + error->reason});
    }
  }
  return errors;
}

std::vector<settings_error> FindAddressesInUse(const settings& valid_settings) {
  std::vector<settings_error> errors;
  for (const local_address& local : LocalAddresses(valid_settings)) {
    const int error = TryBind(local, local.address.port);
    if (error == 0) continue;
    errors.push_back(
        {local.path,
         ToString(local.address) +
             (error == EADDRINUSE ? " is in use by another process"
                                  : std::string(": ") + std::strerror(error))});
  }
  return errors;
}

std::variant<std::string, settings_error> ReadTokenFile(
    const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) {
    return settings_error{path, std::strerror(errno)};
  }
  if (!S_ISREG(status.st_mode)) return settings_error{path, "is not a file"};
  if ((status.st_mode & 0177) != 0) {
    return settings_error{
        path,
        "is accessible to other users; its mode must be 0600 or stricter"};
  }
  std::ifstream in(path);
  if (!in) return settings_error{path, std::strerror(errno)};
  std::string token((std::istreambuf_iterator<char>(in)),
                    std::istreambuf_iterator<char>());
  constexpr std::string_view kWhitespace = " \t\r\n";
  token.erase(0, token.find_first_not_of(kWhitespace));
  token.erase(token.find_last_not_of(kWhitespace) + 1);
  if (token.size() < kMinTokenBytes) {
    return settings_error{path, "contains a token of less than 16 bytes"};
  }
  if (token.find_first_of(kWhitespace) != std::string::npos) {
    return settings_error{path, "contains white space within the token"};
  }
  return token;
}

}  // namespace lavendertack
