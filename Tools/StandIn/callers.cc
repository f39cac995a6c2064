#include "callers.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <vector>

#include "Wire/lavendertack.pb.h"

DEFINE_string(instances, "",
              "Caller addresses of the instances, separated by commas.");
DEFINE_string(mix, "",
              "Comma-separated list of "
              "service/class/flows/repeatable(0|1)/think_ms entries.");
DEFINE_int32(seconds, 5, "Run time of the callers or of a load step, in s.");
DEFINE_int32(deadline_ms, 3000, "Deadline of a request, in ms.");
DEFINE_int32(resend_ms, 400,
             "Time until an unanswered packet is resent, in ms.");
DEFINE_bool(print_progress, false, "Accepted but has no effect.");

namespace standin {
namespace {

namespace wire = lavendertack::wire;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Flows with the same service, class and timing.
struct caller_workload {
  std::string service;
  std::string service_class;
  int flows = 0;
  bool repeatable = true;
  int think_ms = 0;  // Mean time between an answer and the next request.
};

enum class flow_step {
  kOpening,   // The opening packet isn't answered yet.
  kThinking,  // Waits until the next request is due.
  kActive     // A request isn't answered yet.
};

// A caller's flow; it has at most one open request.
struct flow {
  std::uint64_t id = 0;
  const caller_workload* workload = nullptr;
  flow_step step = flow_step::kOpening;
  std::string token;
  std::string target;         // Target that answered the previous request.
  std::uint64_t request = 0;  // Number of the newest request.
  std::string datagram;       // Newest packet, resent unchanged until answered.
  steady::time_point next_action;
  steady::time_point deadline;
  steady::time_point sent;
  // Received parts of the newest answer, by index.
  std::map<std::uint32_t, std::string> parts;
};

// Counts of the outcomes of all flows and requests.
struct outcome_counts {
  std::int64_t opened = 0, served = 0, outcome_unknown = 0, flow_lost = 0;
  // Refusals and unknown outcomes that also reported the loss of the flow.
  std::int64_t reopened = 0;
  // `moved` counts answers from a target other than the flow's previous one.
  std::int64_t not_run = 0, no_answer = 0, wrong_answer = 0, moved = 0;
  // Refusals and failures by kind and reason, such as "open: NO_TARGET".
  std::map<std::string, std::int64_t> reasons;
  std::map<std::string, std::int64_t> served_by_class;
  std::map<std::string, std::int64_t> served_by_target;
  std::map<std::string, std::vector<std::int64_t>> latency_us;
};

// Simulates the callers of all workloads over one UDP socket.
class caller_group {
 public:
  caller_group() : random_(std::random_device{}()) {
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    const int buffer = 4 << 20;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(socket_, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) != 0) {
      std::cerr << "can't bind a UDP socket: " << std::strerror(errno) << "\n";
    }
    std::stringstream list(FLAGS_instances);
    for (std::string text; std::getline(list, text, ',');) {
      sockaddr_in address{};
      const auto colon = text.rfind(':');
      address.sin_family = AF_INET;
      address.sin_port =
          htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
      if (inet_pton(AF_INET, text.substr(0, colon).c_str(),
                    &address.sin_addr) != 1) {
        std::cerr << "not a valid IPv4 address: " << text << "\n";
      }
      instances_.push_back(address);
    }
    std::stringstream mix(FLAGS_mix);
    for (std::string text; std::getline(mix, text, ',');) {
      std::stringstream fields(text);
      std::array<std::string, 5> field;
      for (auto& f : field) std::getline(fields, f, '/');
      workloads_.push_back({field[0], field[1], std::stoi(field[2]),
                            field[3] == "1", std::stoi(field[4])});
    }
  }
  caller_group(const caller_group&) = delete;
  caller_group& operator=(const caller_group&) = delete;
  ~caller_group() { close(socket_); }

  int Run() {
    for (const caller_workload& workload : workloads_) {
      for (int i = 0; i < workload.flows; ++i) OpenFlow(workload);
    }
    const auto end = steady::now() + std::chrono::seconds(FLAGS_seconds);
    while (steady::now() < end) {
      pollfd poll_item{socket_, POLLIN, 0};
      poll(&poll_item, 1, 1);
      Receive();
      SendDuePackets();
    }
    Print();
    return counts_.wrong_answer == 0 ? 0 : 1;
  }

 private:
  void OpenFlow(const caller_workload& workload) {
    flow f;
    f.id = random_();
    f.workload = &workload;
    f.next_action = steady::now() + milliseconds(random_() % 500);
    f.deadline = f.next_action + milliseconds(FLAGS_deadline_ms);
    wire::caller_packet packet;
    packet.set_flow(f.id);
    packet.set_service(workload.service);
    packet.mutable_open();
    f.datagram = packet.SerializeAsString();
    flows_[f.id] = std::move(f);
  }

  void SendDatagram(const std::string& bytes) {
    const auto& to = instances_[random_() % instances_.size()];
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  void SendDuePackets() {
    std::vector<std::uint64_t> ids;
    const auto now = steady::now();
    for (auto& [id, f] : flows_) {
      if (f.next_action <= now) ids.push_back(id);
    }
    for (std::uint64_t id : ids) {
      flow& f = flows_.at(id);
      if (f.step == flow_step::kThinking) {
        StartRequest(&f);
      } else if (f.deadline <= now) {
        ++counts_.no_answer;
        ReopenFlow(&f);
      } else {
        SendDatagram(f.datagram);
        f.next_action = now + milliseconds(FLAGS_resend_ms);
      }
    }
  }

  void StartRequest(flow* f) {
    ++f->request;
    f->step = flow_step::kActive;
    f->parts.clear();
    wire::caller_packet packet;
    packet.set_flow(f->id);
    packet.set_service(f->workload->service);
    packet.set_token(f->token);
    auto* request = packet.mutable_request();
    request->set_number(f->request);
    request->set_service_class(f->workload->service_class);
    request->set_repeatable(f->workload->repeatable);
    request->set_deadline_ms(static_cast<std::uint32_t>(FLAGS_deadline_ms));
    f->datagram = packet.SerializeAsString();
    f->sent = steady::now();
    f->deadline = f->sent + milliseconds(FLAGS_deadline_ms);
    SendDatagram(f->datagram);
    f->next_action = f->sent + milliseconds(FLAGS_resend_ms);
  }

  void ScheduleNextRequest(flow* f, std::int64_t wait_ms) {
    f->step = flow_step::kThinking;
    f->next_action = steady::now() + milliseconds(wait_ms);
  }

  void ReopenFlow(flow* f) {
    const caller_workload* workload = f->workload;
    flows_.erase(f->id);
    OpenFlow(*workload);
  }

  void Receive() {
    std::array<char, 2048> buffer{};
    for (;;) {
      const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
      if (size < 0) return;
      wire::caller_answer answer;
      if (!answer.ParseFromArray(buffer.data(), static_cast<int>(size))) {
        ++counts_.wrong_answer;
        continue;
      }
      auto it = flows_.find(answer.flow());
      if (it != flows_.end()) HandleAnswer(&it->second, answer);
    }
  }

  void HandleAnswer(flow* f, const wire::caller_answer& answer) {
    if (answer.kind() == wire::OPENED) {
      if (f->step != flow_step::kOpening) return;
      ++counts_.opened;
      f->token = answer.token();
      ScheduleNextRequest(
          f, static_cast<std::int64_t>(
                 random_() % static_cast<unsigned>(f->workload->think_ms + 1)));
      return;
    }
    if (f->step == flow_step::kOpening) {
      if (answer.request() != 0) return;
      ++counts_.not_run;
      ++counts_.reasons["open: " + wire::refusal_reason_Name(answer.reason())];
      f->next_action =
          steady::now() + milliseconds(std::max(answer.come_back_ms(), 50U));
      return;
    }
    if (f->step != flow_step::kActive || answer.request() != f->request) return;
    if (!answer.token().empty()) f->token = answer.token();
    if (answer.kind() == wire::SERVED) {
      HandleServed(f, answer);
      return;
    }
    ++counts_.reasons[wire::answer_kind_Name(answer.kind()) + ": " +
                      wire::refusal_reason_Name(answer.reason())];
    if (answer.kind() == wire::FLOW_LOST) {
      ++counts_.flow_lost;
      ReopenFlow(f);
    } else if (answer.kind() == wire::OUTCOME_UNKNOWN) {
      ++counts_.outcome_unknown;
      if (answer.flow_lost()) {
        ++counts_.reopened;
        ReopenFlow(f);
        return;
      }
      ScheduleNextRequest(f, f->workload->think_ms);
    } else if (answer.flow_lost()) {
      ++counts_.not_run;
      ++counts_.reopened;
      ReopenFlow(f);
    } else {
      ++counts_.not_run;
      ScheduleNextRequest(f, std::max<std::int64_t>(answer.come_back_ms(),
                                                    f->workload->think_ms));
    }
  }

  void HandleServed(flow* f, const wire::caller_answer& answer) {
    f->parts[answer.part()] = answer.body();
    if (f->parts.size() < answer.parts()) return;
    std::string body;
    for (const auto& [part, bytes] : f->parts) body += bytes;
    const std::string expected = f->workload->service + ":" +
                                 std::to_string(f->id) + ":" +
                                 std::to_string(f->request) + ":";
    if (body.compare(0, expected.size(), expected) != 0 ||
        XXH64(body.data(), body.size(), 0) != answer.body_hash()) {
      ++counts_.wrong_answer;
    }
    const std::string target = body.substr(
        expected.size(), body.find(':', expected.size()) - expected.size());
    if (!f->target.empty() && f->target != target) ++counts_.moved;
    f->target = target;
    ++counts_.served;
    ++counts_.served_by_class[f->workload->service_class];
    ++counts_.served_by_target[target];
    counts_.latency_us[f->workload->service_class].push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(steady::now() -
                                                              f->sent)
            .count());
    ScheduleNextRequest(
        f,
        static_cast<std::int64_t>(
            random_() % static_cast<unsigned>(2 * f->workload->think_ms + 1)));
  }

  template <typename Map>
  static void PrintMap(const char* name, const Map& map) {
    std::cout << ", \"" << name << "\": {";
    const char* comma = "";
    for (const auto& [key, value] : map) {
      std::cout << comma << "\"" << key << "\": " << value;
      comma = ", ";
    }
    std::cout << "}";
  }

  void Print() {
    std::cout << "{\"opened\": " << counts_.opened
              << ", \"served\": " << counts_.served
              << ", \"not_run\": " << counts_.not_run
              << ", \"outcome_unknown\": " << counts_.outcome_unknown
              << ", \"flow_lost\": " << counts_.flow_lost
              << ", \"reopened\": " << counts_.reopened
              << ", \"no_answer\": " << counts_.no_answer
              << ", \"moved\": " << counts_.moved
              << ", \"wrong_answer\": " << counts_.wrong_answer;
    PrintMap("reasons", counts_.reasons);
    PrintMap("served_by_class", counts_.served_by_class);
    PrintMap("served_by_target", counts_.served_by_target);
    std::map<std::string, std::int64_t> median;
    std::map<std::string, std::int64_t> p99;
    for (auto& [name, values] : counts_.latency_us) {
      std::sort(values.begin(), values.end());
      median[name] = values[values.size() / 2];
      p99[name] = values[values.size() * 99 / 100];
    }
    PrintMap("latency_p50_us", median);
    PrintMap("latency_p99_us", p99);
    std::cout << "}" << std::endl;
  }

  int socket_ = -1;
  std::mt19937_64 random_;
  std::vector<sockaddr_in> instances_;
  std::vector<caller_workload> workloads_;
  std::map<std::uint64_t, flow> flows_;
  outcome_counts counts_;
};

}  // namespace

int RunCallers() { return caller_group().Run(); }

}  // namespace standin
