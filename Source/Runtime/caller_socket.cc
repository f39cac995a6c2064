#include "Runtime/caller_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>

#include "Wire/codec.h"

namespace lavendertack {
namespace {

// Bytes that the kernel may hold for the socket.
constexpr int kSocketBufferBytes = 4 << 20;

std::optional<sockaddr_in> ToSockaddr(const std::string& ip,
                                      std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string ToText(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
  return std::string(ip.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

caller_socket::~caller_socket() {
  if (file_ >= 0) close(file_);
}

std::variant<std::monostate, socket_error> caller_socket::Open(
    const endpoint& address) {
  const auto where = ToSockaddr(address.ip, address.port);
  if (!where) return socket_error{ToString(address), "is no IPv4 address"};
  file_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (file_ < 0) return socket_error{ToString(address), std::strerror(errno)};
  setsockopt(file_, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  if (bind(file_, reinterpret_cast<const sockaddr*>(&*where), sizeof(*where)) !=
      0) {
    return socket_error{ToString(address), std::strerror(errno)};
  }
  return std::monostate{};
}

void caller_socket::Receive(
    int limit,
    const std::function<void(caller_address, std::string_view)>& handle) {
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  for (int i = 0; i < limit; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const ssize_t size =
        recvfrom(file_, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0) return;
    handle({ToText(from)},
           std::string_view(buffer.data(), static_cast<std::size_t>(size)));
  }
}

void caller_socket::Send(const caller_address& to, std::string_view datagram) {
  const auto colon = to.value.rfind(':');
  if (colon == std::string::npos) return;
  const auto where = ToSockaddr(
      to.value.substr(0, colon),
      static_cast<std::uint16_t>(std::atoi(to.value.c_str() + colon + 1)));
  if (!where) return;
  // A lost answer is asked for again by the caller.
  sendto(file_, datagram.data(), datagram.size(), 0,
         reinterpret_cast<const sockaddr*>(&*where), sizeof(*where));
}

}  // namespace lavendertack
