// The UDP socket that receives callers' packets and sends the answers.
#ifndef LAVENDERTACK_RUNTIME_CALLER_SOCKET_H_
#define LAVENDERTACK_RUNTIME_CALLER_SOCKET_H_

#include <netinet/in.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Config/settings.h"
#include "Traffic/messages.h"

namespace lavendertack {

// Why a socket can't be opened.
struct socket_error {
  std::string address;
  std::string reason;
};

class caller_socket {
 public:
  caller_socket() = default;
  caller_socket(const caller_socket&) = delete;
  caller_socket& operator=(const caller_socket&) = delete;
  ~caller_socket();

  std::variant<std::monostate, socket_error> Open(const endpoint& address);
  // Reads at most `limit` datagrams, rounded up to whole batches of one system
  // call each, and calls `handle` for each. A datagram of kMaxDatagramBytes + 1
  // bytes was longer than allowed and may be truncated.
  void Receive(
      std::size_t limit,
      const std::function<void(caller_address, std::string_view)>& handle);
  // Adds a datagram to the batch. A full batch is sent at once. Ignores an
  // address that isn't a valid "ip:port".
  void Send(const caller_address& to, std::string datagram);
  // Sends the batch.
  void Flush();
  // The file descriptor, to poll for readability.
  int file() const { return file_; }

 private:
  struct outgoing {
    sockaddr_in to{};
    std::string datagram;
  };

  int file_ = -1;
  std::vector<outgoing> batch_;
};

// Convert between an IPv4 socket address and its text "ip:port". ToSockaddr
// returns nothing for an invalid text.
caller_address ToCallerAddress(const sockaddr_in& address);
std::optional<sockaddr_in> ToSockaddr(const caller_address& address);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_CALLER_SOCKET_H_
