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
DEFINE_int32(window, 64, "Load: packets under way at a time.");
DEFINE_int32(load_flows, 100000, "Load: most flows opened.");

namespace standin {
namespace {

namespace wire = lavendertack::wire;
using steady = std::chrono::steady_clock;

// A packet without answer for so long counts as lost.
constexpr int kLostMs = 200;

sockaddr_in Address(const std::string& text) {
  sockaddr_in address{};
  const auto colon = text.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int LoopbackSocket(sockaddr_in* bound) {
  const int file = socket(AF_INET, SOCK_DGRAM, 0);
  *bound = Address("127.0.0.1:0");
  socklen_t size = sizeof(*bound);
  if (bind(file, reinterpret_cast<sockaddr*>(bound), size) != 0) return -1;
  getsockname(file, reinterpret_cast<sockaddr*>(bound), &size);
  return file;
}

// A target that callers reach directly: reads a packet, answers it.
class direct_target {
 public:
  direct_target() : file_(LoopbackSocket(&address_)) {
    thread_ = std::thread([this] { Run(); });
  }
  direct_target(const direct_target&) = delete;
  direct_target& operator=(const direct_target&) = delete;
  ~direct_target() {
    stop_ = true;
    thread_.join();
    close(file_);
  }
  const sockaddr_in& address() const { return address_; }

 private:
  void Run() {
    std::array<char, 2048> buffer{};
    while (!stop_) {
      pollfd item{file_, POLLIN, 0};
      if (poll(&item, 1, 20) <= 0) continue;
      sockaddr_in from{};
      socklen_t size = sizeof(from);
      const ssize_t read = recvfrom(file_, buffer.data(), buffer.size(), 0,
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
      sendto(file_, bytes.data(), bytes.size(), 0,
             reinterpret_cast<sockaddr*>(&from), size);
    }
  }

  sockaddr_in address_{};
  int file_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

struct open_flow {
  std::uint64_t id = 0;
  std::string token;
};

struct rate {
  double per_second = 0;
  std::int64_t lost = 0;
  std::int64_t refused = 0;
};

class loader {
 public:
  explicit loader(const sockaddr_in& to) : to_(to) {
    sockaddr_in own{};
    file_ = LoopbackSocket(&own);
    const int buffer = 4 << 20;
    setsockopt(file_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
  }
  loader(const loader&) = delete;
  loader& operator=(const loader&) = delete;
  ~loader() { close(file_); }

  rate Open() {
    return Loop([this] {
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

  rate KeepAlive() {
    if (flows_.empty()) return {};
    return Loop([this] {
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
  template <typename SendNext>
  rate Loop(const SendNext& send_next) {
    rate result;
    std::int64_t answers = 0;
    int under_way = 0;
    const auto start = steady::now();
    const auto end = start + std::chrono::seconds(FLAGS_seconds);
    bool more = true;
    while (steady::now() < end && (more || under_way > 0)) {
      while (more && under_way < FLAGS_window) {
        more = send_next();
        under_way += more ? 1 : 0;
      }
      pollfd item{file_, POLLIN, 0};
      if (poll(&item, 1, kLostMs) <= 0) {
        result.lost += under_way;
        under_way = 0;
        continue;
      }
      for (wire::caller_answer answer; Receive(&answer);) {
        under_way = std::max(0, under_way - 1);
        if (answer.kind() == wire::OPENED) {
          flows_.push_back({answer.flow(), answer.token()});
        }
        const bool good =
            answer.kind() == wire::OPENED || answer.kind() == wire::ALIVE;
        answers += good ? 1 : 0;
        result.refused += good ? 0 : 1;
      }
    }
    const std::chrono::duration<double> took = steady::now() - start;
    result.per_second = static_cast<double>(answers) / took.count();
    return result;
  }

  bool Receive(wire::caller_answer* answer) {
    std::array<char, 2048> buffer{};
    const ssize_t size =
        recv(file_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return size >= 0 &&
           answer->ParseFromArray(buffer.data(), static_cast<int>(size));
  }

  void Send(const wire::caller_packet& packet) {
    const std::string bytes = packet.SerializeAsString();
    sendto(file_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to_), sizeof(to_));
  }

  sockaddr_in to_;
  int file_ = -1;
  std::mt19937_64 random_{std::random_device{}()};
  std::vector<open_flow> flows_;
  std::size_t next_ = 0;
};

void Print(const char* what, const rate& direct, const rate& through) {
  std::cout << what << ": direct " << direct.per_second << "/s, through "
            << through.per_second << "/s, ratio "
            << through.per_second / direct.per_second << ", lost "
            << through.lost << ", refused " << through.refused << std::endl;
}

}  // namespace

int RunLoad() {
  const direct_target direct;
  loader baseline(direct.address());
  loader through(Address(FLAGS_instances));
  const rate direct_open = baseline.Open();
  const rate through_open = through.Open();
  Print("new flows", direct_open, through_open);
  const rate direct_packets = baseline.KeepAlive();
  const rate through_packets = through.KeepAlive();
  Print("packets", direct_packets, through_packets);
  std::cout << "open flows: " << through.flows() << std::endl;
  return through_packets.per_second > 0 ? 0 : 1;
}

}  // namespace standin
