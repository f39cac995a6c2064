#include "Runtime/peer_links.h"

namespace lavendertack {
namespace {

// Messages queued per socket; further ones are dropped.
constexpr int kSocketQueueMessages = 4096;
// Larger messages close the sender's connection; those between
// kMaxPeerMessageBytes and this limit are dropped and counted.
constexpr std::int64_t kDisconnectMessageBytes = 4 * kMaxPeerMessageBytes;

}  // namespace

peer_links::peer_links(zmq::context_t* context, const settings& settings)
    : deployment_(settings.deployment),
      router_(*context, zmq::socket_type::router) {
  router_.set(zmq::sockopt::linger, 0);
  router_.set(zmq::sockopt::rcvhwm, kSocketQueueMessages);
  router_.set(zmq::sockopt::maxmsgsize, kDisconnectMessageBytes);
  for (const instance_settings& instance : settings.instances) {
    const std::string address = "tcp://" + ToString(instance.peer_address);
    if (instance.name == settings.instance) {
      router_.bind(address);
      continue;
    }
    zmq::socket_t dealer(*context, zmq::socket_type::dealer);
    dealer.set(zmq::sockopt::linger, 0);
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::sndhwm, kSocketQueueMessages);
    // First and longest time between two attempts to connect, in ms.
    dealer.set(zmq::sockopt::reconnect_ivl, 50);
    dealer.set(zmq::sockopt::reconnect_ivl_max, 500);
    dealer.connect(address);
    dealers_.emplace(instance.name, std::move(dealer));
  }
}

void peer_links::Send(const instance_name& to,
                      const wire::peer_message& message) {
  auto it = dealers_.find(to);
  if (it == dealers_.end()) return;
  const std::string bytes = message.SerializeAsString();
  if (it->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
    sent_bytes_ += bytes.size();
  }
}

std::optional<std::string> peer_links::FindFault(
    const wire::peer_message& message) const {
  if (message.deployment() != deployment_) return "another deployment";
  if (!dealers_.contains({message.from()})) return "unknown sender";
  return std::nullopt;
}

void peer_links::Receive(
    const std::function<void(wire::peer_message)>& handle,
    const std::function<void(const std::string& fault)>& drop) {
  zmq::message_t identity;
  while (router_.recv(identity, zmq::recv_flags::dontwait)) {
    zmq::message_t body;
    if (!identity.more() || !router_.recv(body)) continue;
    while (body.more() && router_.recv(body)) {
    }
    received_bytes_ += body.size();
    wire::peer_message message;
    if (body.size() > kMaxPeerMessageBytes) {
      drop("too large");
    } else if (!message.ParseFromArray(body.data(),
                                       static_cast<int>(body.size()))) {
      drop("malformed");
    } else if (auto fault = FindFault(message)) {
      drop(*fault);
    } else {
      handle(std::move(message));
    }
  }
}

}  // namespace lavendertack
