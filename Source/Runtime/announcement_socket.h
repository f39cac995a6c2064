// The UDP socket for announcements of control instances to entry instances. An
// announcement fits one datagram; one that is lost is repeated by its sender.
#ifndef LAVENDERTACK_RUNTIME_ANNOUNCEMENT_SOCKET_H_
#define LAVENDERTACK_RUNTIME_ANNOUNCEMENT_SOCKET_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Common/ipv4.h"
#include "Common/strong_type.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

class announcement_socket {
 public:
  announcement_socket() = default;
  announcement_socket(const announcement_socket&) = delete;
  announcement_socket& operator=(const announcement_socket&) = delete;
  ~announcement_socket();

  // Opens the socket at `address`; with port 0, for sending only. Returns the
  // reason when it can't be opened.
  std::optional<std::string> Open(const ipv4_endpoint& address);
  // Sends to the instance, whose name is its IPv4 address. Errors are ignored.
  void Send(const instance_name& to, port_number port,
            const wire::fleet_message& message);
  // Reads all waiting messages. Malformed ones are counted and dropped.
  void Receive(const std::function<void(const wire::fleet_message&)>& handle);

  // The file descriptor, to poll for readability; -1 unless the socket is open.
  int file() const { return file_; }
  std::uint64_t malformed() const { return malformed_; }

 private:
  int file_ = -1;
  std::uint64_t malformed_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ANNOUNCEMENT_SOCKET_H_
