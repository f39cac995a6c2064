// The UDP socket of an entry instance: reads and sends many packets with one
// system call and keeps no memory for each.
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
  // Packets in one system call.
  static constexpr std::size_t kBatch = 32;

  explicit packet_socket(std::size_t max_packet_bytes);
  packet_socket(const packet_socket&) = delete;
  packet_socket& operator=(const packet_socket&) = delete;
  ~packet_socket();

  // The reason when it can't be opened.
  std::optional<std::string> Open(const ipv4_endpoint& address);
  // Reads one batch and hands each packet over; true when more may wait. What
  // is sent meanwhile leaves before the next read.
  bool Receive(
      const std::function<void(std::span<std::uint8_t> packet)>& handle);
  // `packet` must be one that Receive hands over just now.
  void SendReceived(const ipv4_endpoint& to, const target_prefix& prefix,
                    std::span<std::uint8_t> packet);
  void Send(const ipv4_endpoint& to, std::vector<std::uint8_t> packet);

  int file() const { return file_; }
  std::uint64_t unsent() const { return unsent_; }

 private:
  struct outgoing {
    sockaddr_in to{};
    target_prefix prefix{};
    std::span<std::uint8_t> received;
    std::vector<std::uint8_t> own;
  };

  void Flush();

  std::size_t max_packet_bytes_;
  int file_ = -1;
  std::vector<std::uint8_t> buffer_;
  std::array<iovec, kBatch> parts_{};
  std::array<mmsghdr, kBatch> headers_{};
  std::vector<outgoing> batch_;
  std::array<std::array<iovec, 2>, kBatch> out_parts_{};
  std::array<mmsghdr, kBatch> out_headers_{};
  std::uint64_t unsent_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_PACKET_SOCKET_H_
