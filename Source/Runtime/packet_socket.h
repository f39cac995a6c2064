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
  static constexpr std::size_t kBatchSize = 32;

  explicit packet_socket(std::size_t max_packet_bytes);
  packet_socket(const packet_socket&) = delete;
  packet_socket& operator=(const packet_socket&) = delete;
  ~packet_socket();

  // Returns the reason when the socket can't be opened.
  std::optional<std::string> Open(const ipv4_endpoint& address);
  // Reads one batch, calls `handle` for each packet and then sends all queued
  // packets. Returns true when more packets may be waiting. A packet of one
  // byte more than the maximum was longer than allowed and may be truncated.
  bool Receive(
      const std::function<void(std::span<std::uint8_t> packet)>& handle);
  // Queues a packet, preceded by `prefix`. Its bytes must stay valid until the
  // queue is sent: those passed to `handle` are valid until Receive returns.
  void SendReceived(const ipv4_endpoint& to, const target_prefix& prefix,
                    std::span<std::uint8_t> packet);
  // Queues a packet that this instance generated.
  void Send(const ipv4_endpoint& to, std::vector<std::uint8_t> packet);

  // Sends all queued packets.
  void Flush();

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

  // One byte more than the largest packet, to detect datagrams that are too
  // long.
  std::size_t packet_buffer_bytes_;
  int file_ = -1;
  std::vector<std::uint8_t> packet_buffers_;
  std::array<iovec, kBatchSize> in_iovecs_{};
  std::array<mmsghdr, kBatchSize> in_headers_{};
  std::vector<outgoing> outgoing_;
  std::array<std::array<iovec, 2>, kBatchSize> out_iovecs_{};
  std::array<mmsghdr, kBatchSize> out_headers_{};
  std::uint64_t unsent_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_PACKET_SOCKET_H_
