// Asks the administration API of one of several instances. A request is sent
// again, byte for byte, to the next instance when one gives no answer.
#ifndef LAVENDERTACK_CTL_ADMIN_CLIENT_H_
#define LAVENDERTACK_CTL_ADMIN_CLIENT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace lavendertack {

struct admin_call {
  std::string method;
  std::string path;
  std::string body;
  std::string token;
};
struct http_reply {
  unsigned status = 0;
  std::string body;
};
// No usable answer; what was tried and what came of it.
struct admin_unreachable {
  std::string what;
};
// One try at one address.
using admin_transport =
    std::function<std::variant<http_reply, admin_unreachable>(
        const std::string& address, const admin_call& call)>;

struct admin_reply {
  unsigned status = 0;
  nlohmann::json body;
};

class admin_client {
 public:
  admin_client(std::vector<std::string> addresses, std::string token,
               admin_transport transport);

  // Asks one address after the other, each at most twice, until one answers.
  // An answer that leaves the outcome open (503, 504) counts as none while
  // another address is left.
  std::variant<admin_reply, admin_unreachable> Ask(
      const std::string& method, const std::string& path,
      const std::string& body = "") const;
  // Asks one address once.
  std::variant<admin_reply, admin_unreachable> AskOne(
      const std::string& address, const std::string& path) const;

  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  std::variant<admin_reply, admin_unreachable> Try(
      const std::string& address, const admin_call& call) const;

  std::vector<std::string> addresses_;
  std::string token_;
  admin_transport transport_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_ADMIN_CLIENT_H_
