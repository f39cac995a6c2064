// ZeroMQ sockets between the instances: one ROUTER socket that all other
// instances connect to, and one DEALER socket to each of them. Messages to a
// peer are dropped, not queued, while it can't be reached.
#ifndef LAVENDERTACK_RUNTIME_PEER_LINKS_H_
#define LAVENDERTACK_RUNTIME_PEER_LINKS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <zmq.hpp>

#include "Config/settings.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Largest message between instances, in bytes.
inline constexpr std::size_t kMaxPeerMessageBytes = 4 << 20;

class peer_links {
 public:
  peer_links(zmq::context_t* context, const settings& settings);

  // Sends a message to an instance; ignores one that isn't in the settings.
  void Send(const instance_name& to, const wire::peer_message& message);
  // Reads all waiting messages. `drop` is called with the fault for messages
  // that are malformed, too large, of another deployment or from an unknown
  // sender.
  void Receive(const std::function<void(wire::peer_message)>& handle,
               const std::function<void(const std::string& fault)>& drop);
  // The socket that receives all messages, to poll.
  zmq::socket_t& socket() { return router_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t received_bytes() const { return received_bytes_; }

 private:
  // Returns the fault that makes a message invalid, or nothing.
  std::optional<std::string> FindFault(const wire::peer_message& message) const;

  std::string deployment_;
  zmq::socket_t router_;
  std::map<instance_name, zmq::socket_t> dealers_;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_PEER_LINKS_H_
