#include "target.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <vector>
#include <zmq.hpp>

#include "Wire/lavendertack.pb.h"

DEFINE_string(name, "", "Name of the target.");
DEFINE_string(service, "",
              "Service of the target or of the flows of --mode=load.");
DEFINE_string(connect, "",
              "Target addresses of the instances, separated by commas.");
DEFINE_int32(slots, 2, "Announced maximum of concurrent requests.");
DEFINE_int32(connections, 2000, "Announced maximum of open flows.");
DEFINE_int32(service_ms, 20, "Mean service time of a request, in ms.");
DEFINE_int32(body_bytes, 64, "Minimum size of an answer's body, in bytes.");
DEFINE_int32(cold_ms, 0,
             "Time from the start until the target is ready, in ms.");
DEFINE_string(journal, "",
              "File to which a line is appended for each request and at exit.");

namespace standin {
namespace {

namespace wire = lavendertack::wire;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kAnnounceInterval{200};
constexpr std::size_t kMaxPartBytes = 16 << 10;

std::atomic<int> g_drain_requested{0};
std::atomic<int> g_stop_requested{0};

std::int64_t WallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A request and the index of the link on which it arrived.
struct running_request {
  std::size_t link;
  wire::run_order order;
};

// Announces itself to all instances and answers their requests after a random
// service time: exponentially distributed, at most ten times the mean.
class target {
 public:
  target() : context_(1), random_(std::random_device{}()) {
    std::stringstream list(FLAGS_connect);
    for (std::string address; std::getline(list, address, ',');) {
      zmq::socket_t socket(context_, zmq::socket_type::dealer);
      socket.set(zmq::sockopt::linger, 200);
      socket.connect("tcp://" + address);
      links_.push_back(std::move(socket));
    }
    if (!FLAGS_journal.empty()) journal_.open(FLAGS_journal, std::ios::app);
    boot_ = (static_cast<std::uint64_t>(random_()) << 32) | random_() | 1;
    started_ = steady::now();
  }

  int Run() {
    auto next_announce = steady::now();
    while (g_stop_requested == 0 || !running_.empty()) {
      std::vector<zmq::pollitem_t> items;
      for (auto& link : links_) items.push_back({link, 0, ZMQ_POLLIN, 0});
      try {
        zmq::poll(items, milliseconds(2));
      } catch (const zmq::error_t&) {
        // A signal interrupted poll(); its handler has set a flag.
      }
      for (std::size_t i = 0; i < links_.size(); ++i) Receive(i);
      FinishRequests();
      if (steady::now() >= next_announce) {
        next_announce = steady::now() + kAnnounceInterval;
        SendAnnouncements();
      }
    }
    SendAnnouncements();
    WriteJournal("end max_busy=" + std::to_string(max_busy_));
    return 0;
  }

 private:
  wire::target_state State() const {
    if (g_stop_requested != 0) return wire::LEAVING;
    if (g_drain_requested != 0) return wire::TARGET_DRAINING;
    const bool warm = steady::now() - started_ >= milliseconds(FLAGS_cold_ms);
    return warm ? wire::READY : wire::COLD;
  }

  void SendAnnouncements() {
    wire::target_message message;
    auto* announcement = message.mutable_announce();
    announcement->set_target(FLAGS_name);
    announcement->set_service(FLAGS_service);
    announcement->set_boot(boot_);
    announcement->set_state(State());
    announcement->set_slots(static_cast<std::uint32_t>(FLAGS_slots));
    announcement->set_connections(
        static_cast<std::uint32_t>(FLAGS_connections));
    announcement->set_reported_busy(
        static_cast<std::uint32_t>(running_.size()));
    for (std::size_t i = 0; i < links_.size(); ++i) Send(i, message);
  }

  void Send(std::size_t link, const wire::target_message& message) {
    const std::string bytes = message.SerializeAsString();
    links_[link].send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  }

  void Receive(std::size_t link) {
    zmq::message_t bytes;
    while (links_[link].recv(bytes, zmq::recv_flags::dontwait)) {
      wire::instance_message message;
      if (!message.ParseFromArray(bytes.data(),
                                  static_cast<int>(bytes.size()))) {
        continue;
      }
      if (message.has_run()) StartRequest(link, message.run());
    }
  }

  void StartRequest(std::size_t link, const wire::run_order& order) {
    WriteJournal("run " + order.service() + " " + std::to_string(order.flow()) +
                 " " + std::to_string(order.request()) + " " +
                 (order.repeatable() ? "repeatable" : "once"));
    std::exponential_distribution<double> service_ms(1.0 / FLAGS_service_ms);
    running_.emplace(
        steady::now() +
            std::chrono::microseconds(static_cast<std::int64_t>(
                1000 * std::min(service_ms(random_), 10.0 * FLAGS_service_ms))),
        running_request{link, order});
    max_busy_ = std::max(max_busy_, running_.size());
  }

  void FinishRequests() {
    while (!running_.empty() && running_.begin()->first <= steady::now()) {
      SendAnswer(running_.begin()->second);
      running_.erase(running_.begin());
    }
  }

  void SendAnswer(const running_request& done) {
    std::string body = FLAGS_service + ":" + std::to_string(done.order.flow()) +
                       ":" + std::to_string(done.order.request()) + ":" +
                       FLAGS_name + ":";
    if (body.size() < static_cast<std::size_t>(FLAGS_body_bytes)) {
      body.resize(static_cast<std::size_t>(FLAGS_body_bytes), 'x');
    }
    const std::size_t parts = (body.size() + kMaxPartBytes - 1) / kMaxPartBytes;
    for (std::size_t part = 0; part < parts; ++part) {
      wire::target_message message;
      auto* answer = message.mutable_answer();
      answer->set_attempt(done.order.attempt());
      answer->set_status(wire::DONE);
      answer->set_part(static_cast<std::uint32_t>(part));
      answer->set_parts(static_cast<std::uint32_t>(parts));
      answer->set_body(body.substr(part * kMaxPartBytes, kMaxPartBytes));
      Send(done.link, message);
    }
  }

  void WriteJournal(const std::string& line) {
    if (journal_) journal_ << WallClockMs() << " " << line << std::endl;
  }

  zmq::context_t context_;
  std::mt19937 random_;
  std::vector<zmq::socket_t> links_;  // One for each instance.
  // Running requests by the time at which they finish.
  std::multimap<steady::time_point, running_request> running_;
  std::ofstream journal_;
  std::uint64_t boot_ = 0;  // Random id of this run of the process.
  steady::time_point started_;
  std::size_t max_busy_ = 0;  // Maximum of concurrent requests so far.
};

}  // namespace

int RunTarget() {
  std::signal(SIGUSR1, [](int) { g_drain_requested = 1; });
  std::signal(SIGTERM, [](int) { g_stop_requested = 1; });
  return target().Run();
}

}  // namespace standin
