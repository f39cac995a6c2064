#include "Runtime/target_links.h"

namespace lavendertack {
namespace {

// Largest message of a target, in bytes. A larger one closes its connection.
constexpr std::int64_t kMaxMessageBytes = 1 << 20;

}  // namespace

target_links::target_links(zmq::context_t* context, const endpoint& address)
    : router_(*context, zmq::socket_type::router) {
  router_.set(zmq::sockopt::linger, 0);
  router_.set(zmq::sockopt::router_mandatory, true);
  router_.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  router_.bind("tcp://" + ToString(address));
}

bool target_links::Send(const target_connection& to, const std::string& bytes) {
  try {
    const auto sent =
        router_.send(zmq::buffer(to.value),
                     zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    if (!sent) return false;
    return router_.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  } catch (const zmq::error_t&) {
    return false;  // EHOSTUNREACH: the connection is closed.
  }
}

void target_links::Receive(
    const std::function<void(target_connection, std::string)>& handle) {
  zmq::message_t identity;
  while (router_.recv(identity, zmq::recv_flags::dontwait)) {
    zmq::message_t body;
    if (!identity.more() || !router_.recv(body)) continue;
    while (body.more() && router_.recv(body)) {
    }
    handle({identity.to_string()}, body.to_string());
  }
}

}  // namespace lavendertack
