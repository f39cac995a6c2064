#include "Runtime/fleet_links.h"

#include <algorithm>
#include <utility>

#include "Runtime/process_time.h"

namespace lavendertack {
namespace {

// Messages queued per socket; further ones are dropped.
constexpr int kSocketQueueMessages = 512;
// A connection that received nothing for this time is reopened. Normally
// several requests are answered within it.
constexpr milliseconds kReopenTimeout{1200};
// The timeout doubles with each reopening in a row, up to this many times.
constexpr int kMaxTimeoutDoublings = 2;
// Longest wait for the peer to acknowledge sent bytes.
constexpr int kTcpMaxRetransmitMs = 3000;

// How a connection is established. A host without power doesn't answer an
// attempt to connect, so the next attempt is made after `timeout_ms` and a
// random time from `pause_ms` to twice that.
struct connect_pace {
  int timeout_ms;
  int pause_ms;
};
// Short at first, because callers wait for the first update after an outage of
// the whole fleet.
constexpr connect_pace kFirstConnectPace{.timeout_ms = 80, .pause_ms = 20};
// For connections that were reopened because nothing was received, also to
// instances that are so far away that the first timeout is too short.
constexpr connect_pace kReopenConnectPace{.timeout_ms = 400, .pause_ms = 100};

void ConfigureSocket(zmq::socket_t* socket) {
  socket->set(zmq::sockopt::linger, 0);
  socket->set(zmq::sockopt::rcvhwm, kSocketQueueMessages);
  socket->set(zmq::sockopt::sndhwm, kSocketQueueMessages);
  socket->set(zmq::sockopt::maxmsgsize,
              static_cast<std::int64_t>(kMaxFleetMessageBytes));
  socket->set(zmq::sockopt::tcp_maxrt, kTcpMaxRetransmitMs);
}

}  // namespace

fleet_links::fleet_links(zmq::context_t* context, port_number peer_port)
    : context_(context), peer_port_(peer_port) {}

void fleet_links::Listen(ipv4_address self) {
  zmq::socket_t listener(*context_, zmq::socket_type::router);
  ConfigureSocket(&listener);
  listener.bind("tcp://" + ToString(ipv4_endpoint{self, peer_port_}));
  listener_ = std::move(listener);
}

zmq::socket_t fleet_links::Connect(const instance_name& control, bool reopen) {
  const connect_pace& pace = reopen ? kReopenConnectPace : kFirstConnectPace;
  zmq::socket_t socket(*context_, zmq::socket_type::dealer);
  ConfigureSocket(&socket);
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::connect_timeout, pace.timeout_ms);
  socket.set(zmq::sockopt::reconnect_ivl, pace.pause_ms);
  socket.connect("tcp://" + control.value + ":" +
                 std::to_string(peer_port_.value));
  return socket;
}

bool fleet_links::Send(instant now, const instance_name& control,
                       const wire::fleet_message& message) {
  auto it = connections_.find(control);
  if (it == connections_.end()) {
    if (!ParseIpv4(control.value)) return false;
    it = connections_.emplace(control, connection{Connect(control, false), now})
             .first;
  }
  const std::string bytes = message.SerializeAsString();
  if (!it->second.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
    return false;
  }
  sent_bytes_ += bytes.size();
  return true;
}

void fleet_links::Reply(const link_id& to, const wire::fleet_message& message) {
  if (!listener_ || to.value.empty()) return;
  const std::string bytes = message.SerializeAsString();
  if (!listener_->send(zmq::buffer(to.value),
                       zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
    return;
  }
  if (listener_->send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
    sent_bytes_ += bytes.size();
  }
}

std::optional<wire::fleet_message> fleet_links::Parse(
    const zmq::message_t& body) {
  received_bytes_ += body.size();
  wire::fleet_message message;
  if (message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return message;
  }
  ++malformed_;
  return std::nullopt;
}

void fleet_links::Receive(
    instant now,
    const std::function<void(const link_id&, wire::fleet_message)>& handle) {
  zmq::message_t identity;
  while (listener_ && listener_->recv(identity, zmq::recv_flags::dontwait)) {
    zmq::message_t body;
    if (!identity.more() || !listener_->recv(body)) continue;
    while (body.more() && listener_->recv(body)) {
    }
    if (auto message = Parse(body)) {
      handle({identity.to_string()}, *std::move(message));
    }
  }
  std::vector<wire::fleet_message> messages;
  for (auto& [name, link] : connections_) {
    zmq::message_t body;
    while (link.socket.recv(body, zmq::recv_flags::dontwait)) {
      link.last_received_at = now;
      link.consecutive_reopens = 0;
      if (auto message = Parse(body)) messages.push_back(*std::move(message));
    }
  }
  // Handled after the loop, since a handler may open connections.
  for (wire::fleet_message& message : messages) handle({}, std::move(message));
}

void fleet_links::Tick(instant now, const std::set<instance_name>& controls) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (!controls.contains(it->first)) {
      it = connections_.erase(it);
      continue;
    }
    // The timeout grows, since frequent reconnecting would only add to the load
    // of a slow control instance.
    const int doublings =
        std::min(it->second.consecutive_reopens, kMaxTimeoutDoublings);
    if (now - it->second.last_received_at > kReopenTimeout * (1 << doublings)) {
      ++reopened_;
      it->second = {Connect(it->first, true), now,
                    it->second.consecutive_reopens + 1};
    }
    ++it;
  }
}

void fleet_links::Wait(std::initializer_list<int> files, instant until) {
  std::vector<zmq::pollitem_t> items;
  if (listener_) items.push_back({*listener_, 0, ZMQ_POLLIN, 0});
  for (auto& [name, link] : connections_) {
    items.push_back({link.socket, 0, ZMQ_POLLIN, 0});
  }
  for (const int file : files) items.push_back({nullptr, file, ZMQ_POLLIN, 0});
  const auto wait =
      std::max(milliseconds(0), std::chrono::ceil<milliseconds>(until - Now()));
  try {
    zmq::poll(items.data(), items.size(), wait);
  } catch (const zmq::error_t& error) {
    if (error.num() != EINTR) throw;
  }
}

}  // namespace lavendertack
