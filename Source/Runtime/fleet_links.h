// ZeroMQ connections between the instances of a fleet. Every control instance
// listens on one socket; followers are answered over the connection that they
// opened. Messages to an unreachable instance are dropped.
#ifndef LAVENDERTACK_RUNTIME_FLEET_LINKS_H_
#define LAVENDERTACK_RUNTIME_FLEET_LINKS_H_

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "Common/ipv4.h"
#include "Control/control_instance.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// Largest message between instances, in bytes; a larger one closes its
// connection. An operator's order must fit.
inline constexpr std::size_t kMaxFleetMessageBytes = 4 << 20;

class fleet_links {
 public:
  // `peer_port` is the port at which control instances listen.
  fleet_links(zmq::context_t* context, port_number peer_port);

  // Accepts connections at `self` and the peer port. Throws zmq::error_t on
  // failure.
  void Listen(ipv4_address self);

  // Sends to a control instance, whose name is its IPv4 address. Connects first
  // if there is no connection. Returns false if the message was dropped because
  // the connection isn't established or its queue is full.
  bool Send(instant now, const instance_name& control,
            const wire::fleet_message& message);
  // Sends over a connection that another instance opened.
  void Reply(const link_id& to, const wire::fleet_message& message);
  // Reads all waiting messages. `link` is empty for a message over a connection
  // that this instance opened. Malformed messages are counted and dropped.
  void Receive(instant now,
               const std::function<void(const link_id& link,
                                        wire::fleet_message message)>& handle);
  // Reopens connections that received nothing for too long, and closes those to
  // instances that aren't in `controls`.
  void Tick(instant now, const std::set<instance_name>& controls);

  // Blocks until a message is waiting, one of the file descriptors `files` is
  // readable, or the time is `until`.
  void Wait(std::initializer_list<int> files, instant until);

  // Counts since the start.
  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t received_bytes() const { return received_bytes_; }
  std::uint64_t malformed() const { return malformed_; }
  std::uint64_t reopened() const { return reopened_; }

 private:
  struct connection {
    zmq::socket_t socket;
    instant last_received_at;     // Time of opening if nothing was received.
    int consecutive_reopens = 0;  // Since the last received message.
  };

  // `reopen`: an earlier connection to it received nothing for too long.
  zmq::socket_t Connect(const instance_name& control, bool reopen);
  std::optional<wire::fleet_message> Parse(const zmq::message_t& body);

  zmq::context_t* context_;
  port_number peer_port_;
  std::optional<zmq::socket_t> listener_;
  std::map<instance_name, connection> connections_;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  std::uint64_t malformed_ = 0;
  std::uint64_t reopened_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_FLEET_LINKS_H_
