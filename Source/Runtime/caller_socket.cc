#include "Runtime/caller_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>

#include "Common/ipv4.h"
#include "Wire/codec.h"

namespace lavendertack {
namespace {

// Receive buffer of the socket in the kernel, in bytes.
constexpr int kSocketBufferBytes = 4 << 20;

// Datagrams per system call.
constexpr std::size_t kBatchSize = 64;

}  // namespace

caller_address ToCallerAddress(const sockaddr_in& address) {
  return {ToString(ipv4_endpoint{{ntohl(address.sin_addr.s_addr)},
                                 {ntohs(address.sin_port)}})};
}

std::optional<sockaddr_in> ToSockaddr(const caller_address& address) {
  const auto parsed = ParseIpv4Endpoint(address.value);
  if (!parsed) return std::nullopt;
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(parsed->ip.value);
  result.sin_port = htons(parsed->port.value);
  return result;
}

caller_socket::~caller_socket() {
  if (file_ >= 0) close(file_);
}

std::variant<std::monostate, socket_error> caller_socket::Open(
    const endpoint& address) {
  const auto parsed = ToSockaddr(caller_address{ToString(address)});
  if (!parsed) return socket_error{ToString(address), "not an IPv4 address"};
  file_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (file_ < 0) return socket_error{ToString(address), std::strerror(errno)};
  setsockopt(file_, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  if (bind(file_, reinterpret_cast<const sockaddr*>(&*parsed),
           sizeof(*parsed)) != 0) {
    return socket_error{ToString(address), std::strerror(errno)};
  }
  return std::monostate{};
}

void caller_socket::Receive(
    std::size_t limit,
    const std::function<void(caller_address, std::string_view)>& handle) {
  // One byte more than allowed, to detect datagrams that are too long.
  std::array<std::array<char, kMaxDatagramBytes + 1>, kBatchSize> buffers;
  std::array<sockaddr_in, kBatchSize> from{};
  std::array<iovec, kBatchSize> iovecs{};
  std::array<mmsghdr, kBatchSize> headers{};
  for (std::size_t done = 0; done < limit; done += kBatchSize) {
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      iovecs[i] = {buffers[i].data(), buffers[i].size()};
      headers[i].msg_hdr = {.msg_name = &from[i],
                            .msg_namelen = sizeof(from[i]),
                            .msg_iov = &iovecs[i],
                            .msg_iovlen = 1};
    }
    const int count = recvmmsg(file_, headers.data(), kBatchSize, 0, nullptr);
    for (int i = 0; i < count; ++i) {
      const auto index = static_cast<std::size_t>(i);
      handle(ToCallerAddress(from[index]),
             std::string_view(buffers[index].data(), headers[index].msg_len));
    }
    if (count < static_cast<int>(kBatchSize)) return;
  }
}

void caller_socket::Send(const caller_address& to, std::string datagram) {
  const auto parsed = ToSockaddr(to);
  if (!parsed) return;
  batch_.push_back({*parsed, std::move(datagram)});
  if (batch_.size() == kBatchSize) Flush();
}

void caller_socket::Flush() {
  std::array<iovec, kBatchSize> iovecs{};
  std::array<mmsghdr, kBatchSize> headers{};
  for (std::size_t i = 0; i < batch_.size(); ++i) {
    outgoing& out = batch_[i];
    iovecs[i] = {out.datagram.data(), out.datagram.size()};
    headers[i].msg_hdr = {.msg_name = &out.to,
                          .msg_namelen = sizeof(out.to),
                          .msg_iov = &iovecs[i],
                          .msg_iovlen = 1};
  }
  // A datagram that can't be sent is skipped: the caller sends a request again
  // when its answer is lost.
  for (std::size_t sent = 0; sent < batch_.size();) {
    const int count = sendmmsg(file_, headers.data() + sent,
                               static_cast<unsigned>(batch_.size() - sent), 0);
    sent += count > 0 ? static_cast<std::size_t>(count) : 1;
  }
  batch_.clear();
}

}  // namespace lavendertack
