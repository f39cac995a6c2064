#include "Runtime/announcement_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "Runtime/socket_address.h"

namespace lavendertack {
namespace {

// Longest announcement: a name and a few bytes of framing.
constexpr std::size_t kMaxBytes = 512;
// Most datagrams per call, so that the other sockets are read in time.
constexpr int kMaxPerCall = 64;

}  // namespace

announcement_socket::~announcement_socket() {
  if (file_ >= 0) close(file_);
}

std::optional<std::string> announcement_socket::Open(
    const ipv4_endpoint& address) {
  file_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (file_ < 0) return std::strerror(errno);
  const sockaddr_in bind_address = ToSockaddr(address);
  if (bind(file_, reinterpret_cast<const sockaddr*>(&bind_address),
           sizeof(bind_address)) != 0) {
    return std::strerror(errno);
  }
  return std::nullopt;
}

void announcement_socket::Send(const instance_name& to, port_number port,
                               const wire::fleet_message& message) {
  const auto ip = ParseIpv4(to.value);
  if (!ip || file_ < 0) return;
  const sockaddr_in address = ToSockaddr({*ip, port});
  const std::string bytes = message.SerializeAsString();
  sendto(file_, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void announcement_socket::Receive(
    const std::function<void(const wire::fleet_message&)>& handle) {
  std::array<char, kMaxBytes + 1> buffer{};
  for (int i = 0; file_ >= 0 && i < kMaxPerCall; ++i) {
    const ssize_t size = recv(file_, buffer.data(), buffer.size(), 0);
    if (size < 0) return;
    wire::fleet_message message;
    if (static_cast<std::size_t>(size) > kMaxBytes ||
        !message.ParseFromArray(buffer.data(), static_cast<int>(size)) ||
        !message.has_announcement()) {
      ++malformed_;
      continue;
    }
    handle(message);
  }
}

}  // namespace lavendertack
