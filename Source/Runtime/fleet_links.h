// ZeroMQ links of a fleet: every control instance has one socket that others
// connect to; followers are answered over the connection that they opened.
// A message to an instance that can't be reached is dropped.
#ifndef LAVENDERTACK_RUNTIME_FLEET_LINKS_H_
#define LAVENDERTACK_RUNTIME_FLEET_LINKS_H_

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

class fleet_links {
 public:
  // Control instances listen at `peer_port`.
  fleet_links(zmq::context_t* context, port_number peer_port);

  // Takes connections at the address; throws zmq::error_t.
  void Listen(ipv4_address self);

  void Send(instant now, const instance_name& control,
            const wire::fleet_message& message);
  void Reply(const link_id& to, const wire::fleet_message& message);
  // Reads every message that is there. `link` is empty for an answer of a
  // control instance. Malformed ones are counted.
  void Receive(instant now,
               const std::function<void(const link_id& link,
                                        wire::fleet_message message)>& handle);
  // Opens connections anew that carried nothing for long, and closes those to
  // instances that aren't among `controls`.
  void Tick(instant now, const std::set<instance_name>& controls);

  // Returns when a message waits, one of `files` can be read, or at `until`.
  void Wait(std::initializer_list<int> files, instant until);

  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t received_bytes() const { return received_bytes_; }
  std::uint64_t malformed() const { return malformed_; }
  std::uint64_t reopened() const { return reopened_; }

 private:
  struct connection {
    zmq::socket_t socket;
    instant heard;     // When it was opened, or last carried something.
    int reopened = 0;  // Times since it last carried something.
  };

  zmq::socket_t Connect(const instance_name& control);
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
