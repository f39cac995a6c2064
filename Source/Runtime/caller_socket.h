// The UDP socket that callers' packets arrive at and answers leave from.
#ifndef LAVENDERTACK_RUNTIME_CALLER_SOCKET_H_
#define LAVENDERTACK_RUNTIME_CALLER_SOCKET_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

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
  // Reads at most `limit` datagrams.
  void Receive(
      int limit,
      const std::function<void(caller_address, std::string_view)>& handle);
  void Send(const caller_address& to, std::string_view datagram);
  int file() const { return file_; }

 private:
  int file_ = -1;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_CALLER_SOCKET_H_
