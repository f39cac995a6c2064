// The UDP socket of an entry instance. Receives and sends packets in batches of
// one system call each, without allocating memory per received packet.
#ifndef LAVENDERTACK_RUNTIME_PACKET_SOCKET_H_
#define LAVENDERTACK_RUNTIME_PACKET_SOCKET_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Common/ipv4.h"
#include "Runtime/fleet_adapter.h"

namespace lavendertack {

class packet_socket {
 public:
  // Packets per system call.
  static constexpr std::size_t kBatch = 32;

  explicit packet_socket(std::size_t max_packet_bytes);
  packet_socket(const packet_socket&) = delete;
  packet_socket& operator=(const packet_socket&) = delete;
  ~packet_socket();

  // Returns the reason when the socket can't be opened.
  std::optional<std::string> Open(const ipv4_endpoint& address);
  // Reads one batch and calls `handle` for each packet. Packets sent by
  // `handle` leave before Receive returns. True when more packets may be
  // waiting. A packet of one byte more than the maximum has been truncated.
  bool Receive(
      const std::function<void(std::span<std::uint8_t> packet)>& handle);
  // Forwards a packet of the current batch, preceded by `prefix`. Only for
  // calls from Receive's `handle`, which owns the bytes of `packet`.
  void SendReceived(const ipv4_endpoint& to, const target_prefix& prefix,
                    std::span<std::uint8_t> packet);
  // Sends a packet that this instance generated.
  void Send(const ipv4_endpoint& to, std::vector<std::uint8_t> packet);

  // The file descriptor, to poll for readability.
  int file() const { return file_; }
  // Packets that the kernel didn't accept.
  std::uint64_t unsent() const { return unsent_; }

 private:
  struct outgoing {
    sockaddr_in to{};
    target_prefix prefix{};
    std::span<std::uint8_t> received;
    std::vector<std::uint8_t> generated;
  };

  void Flush();

  std::size_t max_packet_bytes_;
  int file_ = -1;
  std::vector<std::uint8_t> buffer_;
  std::array<iovec, kBatch> in_parts_{};
  std::array<mmsghdr, kBatch> in_headers_{};
  std::vector<outgoing> outgoing_;
  std::array<std::array<iovec, 2>, kBatch> out_parts_{};
  std::array<mmsghdr, kBatch> out_headers_{};
  std::uint64_t unsent_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_PACKET_SOCKET_H_
