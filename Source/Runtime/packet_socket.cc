#include "Runtime/packet_socket.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "Runtime/socket_address.h"

namespace lavendertack {
namespace {

// Receive buffer of the socket in the kernel, in bytes: about one second of
// packets of a busy instance.
constexpr int kSocketBufferBytes = 2 << 20;

}  // namespace

packet_socket::packet_socket(std::size_t max_packet_bytes)
    : packet_buffer_bytes_(max_packet_bytes + 1),
      packet_buffers_(kBatchSize * packet_buffer_bytes_) {
  outgoing_.reserve(kBatchSize);
}

packet_socket::~packet_socket() {
  if (file_ >= 0) close(file_);
}

std::optional<std::string> packet_socket::Open(const ipv4_endpoint& address) {
  file_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (file_ < 0) return std::strerror(errno);
  setsockopt(file_, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  const sockaddr_in bind_address = ToSockaddr(address);
  if (bind(file_, reinterpret_cast<const sockaddr*>(&bind_address),
           sizeof(bind_address)) != 0) {
    return std::strerror(errno);
  }
  return std::nullopt;
}

bool packet_socket::Receive(
    const std::function<void(std::span<std::uint8_t>)>& handle) {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    in_iovecs_[i] = {packet_buffers_.data() + i * packet_buffer_bytes_,
                     packet_buffer_bytes_};
    in_headers_[i] = {};
    in_headers_[i].msg_hdr.msg_iov = &in_iovecs_[i];
    in_headers_[i].msg_hdr.msg_iovlen = 1;
  }
  const int count = recvmmsg(file_, in_headers_.data(), kBatchSize, 0, nullptr);
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    handle({packet_buffers_.data() + index * packet_buffer_bytes_,
            in_headers_[index].msg_len});
  }
  Flush();
  return count == static_cast<int>(kBatchSize);
}

void packet_socket::SendReceived(const ipv4_endpoint& to,
                                 const target_prefix& prefix,
                                 std::span<std::uint8_t> packet) {
  outgoing_.push_back({ToSockaddr(to), prefix, packet, {}});
}

void packet_socket::Send(const ipv4_endpoint& to,
                         std::vector<std::uint8_t> packet) {
  outgoing_.push_back({ToSockaddr(to), {}, {}, std::move(packet)});
}

void packet_socket::Flush() {
  for (std::size_t first = 0; first < outgoing_.size(); first += kBatchSize) {
    const std::size_t count = std::min(kBatchSize, outgoing_.size() - first);
    for (std::size_t i = 0; i < count; ++i) {
      outgoing& out = outgoing_[first + i];
      auto& iovecs = out_iovecs_[i];
      const bool is_generated = !out.generated.empty();
      iovecs[0] = {out.prefix.data(), is_generated ? 0 : out.prefix.size()};
      iovecs[1] = is_generated
                      ? iovec{out.generated.data(), out.generated.size()}
                      : iovec{out.received.data(), out.received.size()};
      out_headers_[i] = {};
      out_headers_[i].msg_hdr.msg_name = &out.to;
      out_headers_[i].msg_hdr.msg_namelen = sizeof(out.to);
      out_headers_[i].msg_hdr.msg_iov = iovecs.data();
      out_headers_[i].msg_hdr.msg_iovlen = iovecs.size();
    }
    // A packet that can't be sent is skipped: its sender retransmits it.
    for (std::size_t sent = 0; sent < count;) {
      const int done = sendmmsg(file_, out_headers_.data() + sent,
                                static_cast<unsigned>(count - sent), 0);
      if (done <= 0) ++unsent_;
      sent += done > 0 ? static_cast<std::size_t>(done) : 1;
    }
  }
  outgoing_.clear();
}

}  // namespace lavendertack
