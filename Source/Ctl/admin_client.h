// Client of the administration API of several instances. When an instance
// doesn't reply, the identical request is sent to the next one.
#ifndef LAVENDERTACK_CTL_ADMIN_CLIENT_H_
#define LAVENDERTACK_CTL_ADMIN_CLIENT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace lavendertack {

// A request to the administration API.
struct admin_call {
  std::string method;
  std::string path;
  std::string body;
  std::string token;  // Empty: no Authorization header.
};
// A reply as received, before its body is parsed.
struct http_reply {
  unsigned status = 0;
  std::string body;
};
// No usable reply was received. `what` lists the addresses tried and their
// errors.
struct admin_unreachable {
  std::string what;
};
// Sends one request to one address (ip:port) and returns the reply.
using admin_transport =
    std::function<std::variant<http_reply, admin_unreachable>(
        const std::string& address, const admin_call& call)>;

// A reply whose body is a JSON object.
struct admin_reply {
  unsigned status = 0;
  nlohmann::json body;
};

class admin_client {
 public:
  admin_client(std::vector<std::string> addresses, std::string token,
               admin_transport transport);

  // Sends the request to one address after the other, to each at most twice,
  // until one replies. A reply that leaves the outcome unknown (503, 504) is
  // returned only when no address gives another one.
  std::variant<admin_reply, admin_unreachable> Send(
      const std::string& method, const std::string& path,
      const std::string& body = "") const;
  // Sends a GET request to one address, once.
  std::variant<admin_reply, admin_unreachable> SendTo(
      const std::string& address, const std::string& path) const;

  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  std::variant<admin_reply, admin_unreachable> SendOnce(
      const std::string& address, const admin_call& call) const;

  std::vector<std::string> addresses_;
  std::string token_;
  admin_transport transport_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_ADMIN_CLIENT_H_
