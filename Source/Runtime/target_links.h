// The ROUTER socket that targets connect to. Each connection has its own
// identity, which a later process at the same address doesn't inherit, so that
// a request can't reach another service's target.
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
  // Throws zmq::error_t when the address can't be bound.
  target_links(zmq::context_t* context, const endpoint& address);

  // Returns false when the message can't be queued: the target is no longer
  // connected, or its queue is full.
  bool Send(const target_connection& to, const std::string& bytes);
  // Reads all waiting messages.
  void Receive(
      const std::function<void(target_connection, std::string)>& handle);
  // The socket, to poll.
  zmq::socket_t& socket() { return router_; }

 private:
  zmq::socket_t router_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_TARGET_LINKS_H_
