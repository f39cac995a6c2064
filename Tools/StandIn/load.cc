#include "load.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Wire/lavendertack.pb.h"

DECLARE_string(instances);
DECLARE_string(service);
DECLARE_int32(seconds);
DEFINE_int32(window, 64, "Load: maximum number of unanswered packets.");
DEFINE_int32(load_flows, 100000, "Load: maximum number of flows to open.");

namespace standin {
namespace {

namespace wire = lavendertack::wire;
using steady = std::chrono::steady_clock;

// All unanswered packets count as lost if no answer arrives within this time.
constexpr int kLossTimeoutMs = 200;

sockaddr_in ParseAddress(const std::string& text) {
  sockaddr_in address{};
  const auto colon = text.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int BindLoopbackSocket(sockaddr_in* bound) {
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  *bound = ParseAddress("127.0.0.1:0");
  socklen_t size = sizeof(*bound);
  if (bind(fd, reinterpret_cast<sockaddr*>(bound), size) != 0) return -1;
  getsockname(fd, reinterpret_cast<sockaddr*>(bound), &size);
  return fd;
}

// A target that callers reach without an instance in between. It answers each
// packet from a thread of its own.
class direct_target {
 public:
  direct_target() : socket_(BindLoopbackSocket(&address_)) {
    thread_ = std::thread([this] { Run(); });
  }
  direct_target(const direct_target&) = delete;
  direct_target& operator=(const direct_target&) = delete;
  ~direct_target() {
    stop_ = true;
    thread_.join();
    close(socket_);
  }
  const sockaddr_in& address() const { return address_; }

 private:
  void Run() {
    std::array<char, 2048> buffer{};
    while (!stop_) {
      pollfd poll_item{socket_, POLLIN, 0};
      if (poll(&poll_item, 1, 20) <= 0) continue;
      sockaddr_in from{};
      socklen_t size = sizeof(from);
      const ssize_t read = recvfrom(socket_, buffer.data(), buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&from), &size);
      wire::caller_packet packet;
      if (read < 0 ||
          !packet.ParseFromArray(buffer.data(), static_cast<int>(read))) {
        continue;
      }
      wire::caller_answer answer;
      answer.set_flow(packet.flow());
      answer.set_kind(packet.has_open() ? wire::OPENED : wire::ALIVE);
      answer.set_token("token");
      const std::string bytes = answer.SerializeAsString();
      sendto(socket_, bytes.data(), bytes.size(), 0,
             reinterpret_cast<sockaddr*>(&from), size);
    }
  }

  sockaddr_in address_{};
  int socket_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// A flow that its target has accepted.
struct open_flow {
  std::uint64_t id = 0;
  std::string token;
};

// Result of Open() or KeepAlive().
struct load_result {
  double per_second = 0;  // Accepted packets per second.
  std::int64_t lost = 0;  // Packets without an answer.
  std::int64_t refused = 0;
};

// Sends packets to one address, at most --window unanswered ones at a time.
class load_generator {
 public:
  explicit load_generator(const sockaddr_in& to) : to_(to) {
    sockaddr_in local{};
    socket_ = BindLoopbackSocket(&local);
    const int buffer = 4 << 20;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
  }
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;
  ~load_generator() { close(socket_); }

  // Opens flows until --load_flows are open or --seconds have passed.
  load_result Open() {
    return RunClosedLoop([this] {
      if (flows_.size() >= static_cast<std::size_t>(FLAGS_load_flows)) {
        return false;
      }
      wire::caller_packet packet;
      packet.set_flow(random_());
      packet.set_service(FLAGS_service);
      packet.mutable_open();
      Send(packet);
      return true;
    });
  }

  // Sends keep-alive packets of the open flows for --seconds.
  load_result KeepAlive() {
    if (flows_.empty()) return {};
    return RunClosedLoop([this] {
      const open_flow& f = flows_[next_++ % flows_.size()];
      wire::caller_packet packet;
      packet.set_flow(f.id);
      packet.set_service(FLAGS_service);
      packet.set_token(f.token);
      packet.mutable_keep_alive();
      Send(packet);
      return true;
    });
  }

  std::size_t flows() const { return flows_.size(); }

 private:
  // Calls `send_next` to send each packet, until it returns false because none
  // is left or until --seconds have passed.
  template <typename SendNext>
  load_result RunClosedLoop(const SendNext& send_next) {
    load_result result;
    std::int64_t answers = 0;
    int in_flight = 0;
    const auto start = steady::now();
    const auto end = start + std::chrono::seconds(FLAGS_seconds);
    bool has_more = true;
    while (steady::now() < end && (has_more || in_flight > 0)) {
      while (has_more && in_flight < FLAGS_window) {
        has_more = send_next();
        in_flight += has_more ? 1 : 0;
      }
      pollfd poll_item{socket_, POLLIN, 0};
      if (poll(&poll_item, 1, kLossTimeoutMs) <= 0) {
        result.lost += in_flight;
        in_flight = 0;
        continue;
      }
      for (wire::caller_answer answer; Receive(&answer);) {
        in_flight = std::max(0, in_flight - 1);
        if (answer.kind() == wire::OPENED) {
          flows_.push_back({answer.flow(), answer.token()});
        }
        const bool accepted =
            answer.kind() == wire::OPENED || answer.kind() == wire::ALIVE;
        answers += accepted ? 1 : 0;
        result.refused += accepted ? 0 : 1;
      }
    }
    const std::chrono::duration<double> elapsed = steady::now() - start;
    result.per_second = static_cast<double>(answers) / elapsed.count();
    return result;
  }

  bool Receive(wire::caller_answer* answer) {
    std::array<char, 2048> buffer{};
    const ssize_t size =
        recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return size >= 0 &&
           answer->ParseFromArray(buffer.data(), static_cast<int>(size));
  }

  void Send(const wire::caller_packet& packet) {
    const std::string bytes = packet.SerializeAsString();
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to_), sizeof(to_));
  }

  sockaddr_in to_;
  int socket_ = -1;
  std::mt19937_64 random_{std::random_device{}()};
  std::vector<open_flow> flows_;
  std::size_t next_ = 0;
};

void Print(const char* step, const load_result& direct,
           const load_result& through) {
  std::cout << step << ": direct " << direct.per_second << "/s, through "
            << through.per_second << "/s, ratio "
            << through.per_second / direct.per_second << ", lost "
            << through.lost << ", refused " << through.refused << std::endl;
}

}  // namespace

int RunLoad() {
  const direct_target target;
  load_generator direct(target.address());
  load_generator through(ParseAddress(FLAGS_instances));
  const load_result direct_open = direct.Open();
  const load_result through_open = through.Open();
  Print("new flows", direct_open, through_open);
  const load_result direct_packets = direct.KeepAlive();
  const load_result through_packets = through.KeepAlive();
  Print("packets", direct_packets, through_packets);
  std::cout << "open flows: " << through.flows() << std::endl;
  return through_packets.per_second > 0 ? 0 : 1;
}

}  // namespace standin
