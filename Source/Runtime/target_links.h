// The ROUTER socket that targets connect to. A target's connection has an
// identity that no later process at the same address inherits, so a request
// can't reach another service's target.
#ifndef LAVENDERTACK_RUNTIME_TARGET_LINKS_H_
#define LAVENDERTACK_RUNTIME_TARGET_LINKS_H_

#include <functional>
#include <string>
#include <zmq.hpp>

#include "Config/settings.h"
#include "Traffic/messages.h"

namespace lavendertack {

class target_links {
 public:
  target_links(zmq::context_t* context, const endpoint& address);

  // False when the target isn't connected any more.
  bool Send(const target_connection& to, const std::string& bytes);
  void Receive(
      const std::function<void(target_connection, std::string)>& handle);
  zmq::socket_t& socket() { return router_; }

 private:
  zmq::socket_t router_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_TARGET_LINKS_H_
