// The UDP socket that callers' packets arrive at and answers leave from.
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
  // Reads at most `limit` datagrams, many with one system call.
  void Receive(
      std::size_t limit,
      const std::function<void(caller_address, std::string_view)>& handle);
  // Puts a datagram into the batch that the next Flush sends.
  void Send(const caller_address& to, std::string datagram);
  void Flush();
  int file() const { return file_; }

 private:
  struct outgoing {
    sockaddr_in to{};
    std::string datagram;
  };

  int file_ = -1;
  std::vector<outgoing> batch_;
};

// "ip:port" of an IPv4 address, and back.
caller_address ToCallerAddress(const sockaddr_in& address);
std::optional<sockaddr_in> ToSockaddr(const caller_address& address);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_CALLER_SOCKET_H_
