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

DEFINE_string(instances, "", "Caller addresses of all instances, by comma.");
DEFINE_string(mix, "",
              "By comma: service/class/flows/repeatable(0|1)/think_ms.");
DEFINE_int32(seconds, 5, "How std::int64_t the crowd stays.");
DEFINE_int32(deadline_ms, 3000, "Deadline of a request.");
DEFINE_int32(resend_ms, 400, "A packet without answer is sent again.");
DEFINE_bool(print_progress, false, "Print a line each second.");

namespace standin {
namespace {

namespace wire = lavendertack::wire;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct kind_of_work {
  std::string service;
  std::string service_class;
  int flows = 0;
  bool repeatable = true;
  int think_ms = 0;
};

enum class step { kOpening, kThinking, kWaiting };

struct flow {
  std::uint64_t id = 0;
  const kind_of_work* work = nullptr;
  step at = step::kOpening;
  std::string token;
  std::string target;  // Where the last request ran.
  std::uint64_t request = 0;
  std::string datagram;  // Sent again byte for byte.
  steady::time_point next_action;
  steady::time_point give_up;
  steady::time_point sent;
  std::map<std::uint32_t, std::string> parts;
};

struct totals {
  std::int64_t opened = 0, served = 0, outcome_unknown = 0, flow_lost = 0;
  std::int64_t reopened = 0;  // Told so while the outcome was unknown.
  std::int64_t not_run = 0, no_answer = 0, wrong_answer = 0, moved = 0;
  std::map<std::string, std::int64_t> reasons;
  std::map<std::string, std::int64_t> served_by_class;
  std::map<std::string, std::int64_t> served_by_target;
  std::map<std::string, std::vector<std::int64_t>> latency_us;
};

class crowd {
 public:
  crowd() : random_(std::random_device{}()) {
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    const int buffer = 4 << 20;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(socket_, reinterpret_cast<sockaddr*>(&any), sizeof(any)) != 0) {
      std::cerr << "no socket: " << std::strerror(errno) << "\n";
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
        std::cerr << "no IPv4 address: " << text << "\n";
      }
      instances_.push_back(address);
    }
    std::stringstream mix(FLAGS_mix);
    for (std::string text; std::getline(mix, text, ',');) {
      std::stringstream fields(text);
      std::array<std::string, 5> field;
      for (auto& f : field) std::getline(fields, f, '/');
      work_.push_back({field[0], field[1], std::stoi(field[2]), field[3] == "1",
                       std::stoi(field[4])});
    }
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;
  ~crowd() { close(socket_); }

  int Run() {
    for (const kind_of_work& work : work_) {
      for (int i = 0; i < work.flows; ++i) NewFlow(work);
    }
    const auto end = steady::now() + std::chrono::seconds(FLAGS_seconds);
    while (steady::now() < end) {
      pollfd item{socket_, POLLIN, 0};
      poll(&item, 1, 1);
      Receive();
      Act();
    }
    Print();
    return totals_.wrong_answer == 0 ? 0 : 1;
  }

 private:
  void NewFlow(const kind_of_work& work) {
    flow f;
    f.id = random_();
    f.work = &work;
    f.next_action = steady::now() + milliseconds(random_() % 500);
    f.give_up = f.next_action + milliseconds(FLAGS_deadline_ms);
    wire::caller_packet packet;
    packet.set_flow(f.id);
    packet.set_service(work.service);
    packet.mutable_open();
    f.datagram = packet.SerializeAsString();
    flows_[f.id] = std::move(f);
  }

  void SendDatagram(const std::string& bytes) {
    const auto& to = instances_[random_() % instances_.size()];
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  void Act() {
    std::vector<std::uint64_t> ids;
    const auto now = steady::now();
    for (auto& [id, f] : flows_) {
      if (f.next_action <= now) ids.push_back(id);
    }
    for (std::uint64_t id : ids) {
      flow& f = flows_.at(id);
      if (f.at == step::kThinking) {
        StartRequest(&f);
      } else if (f.give_up <= now) {
        ++totals_.no_answer;
        Restart(&f);
      } else {
        SendDatagram(f.datagram);
        f.next_action = now + milliseconds(FLAGS_resend_ms);
      }
    }
  }

  void StartRequest(flow* f) {
    ++f->request;
    f->at = step::kWaiting;
    f->parts.clear();
    wire::caller_packet packet;
    packet.set_flow(f->id);
    packet.set_service(f->work->service);
    packet.set_token(f->token);
    auto* request = packet.mutable_request();
    request->set_number(f->request);
    request->set_service_class(f->work->service_class);
    request->set_repeatable(f->work->repeatable);
    request->set_deadline_ms(static_cast<std::uint32_t>(FLAGS_deadline_ms));
    f->datagram = packet.SerializeAsString();
    f->sent = steady::now();
    f->give_up = f->sent + milliseconds(FLAGS_deadline_ms);
    SendDatagram(f->datagram);
    f->next_action = f->sent + milliseconds(FLAGS_resend_ms);
  }

  void Think(flow* f, std::int64_t wait_ms) {
    f->at = step::kThinking;
    f->next_action = steady::now() + milliseconds(wait_ms);
  }

  void Restart(flow* f) {
    const kind_of_work* work = f->work;
    flows_.erase(f->id);
    NewFlow(*work);
  }

  void Receive() {
    std::array<char, 2048> buffer{};
    for (;;) {
      const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
      if (size < 0) return;
      wire::caller_answer answer;
      if (!answer.ParseFromArray(buffer.data(), static_cast<int>(size))) {
        ++totals_.wrong_answer;
        continue;
      }
      auto it = flows_.find(answer.flow());
      if (it != flows_.end()) Handle(&it->second, answer);
    }
  }

  void Handle(flow* f, const wire::caller_answer& answer) {
    if (answer.kind() == wire::OPENED) {
      if (f->at != step::kOpening) return;
      ++totals_.opened;
      f->token = answer.token();
      Think(f, static_cast<std::int64_t>(
                   random_() % static_cast<unsigned>(f->work->think_ms + 1)));
      return;
    }
    if (f->at == step::kOpening) {
      if (answer.request() != 0) return;
      ++totals_.not_run;
      ++totals_.reasons["open: " + wire::refusal_reason_Name(answer.reason())];
      f->next_action =
          steady::now() + milliseconds(std::max(answer.come_back_ms(), 50U));
      return;
    }
    if (f->at != step::kWaiting || answer.request() != f->request) return;
    if (!answer.token().empty()) f->token = answer.token();
    if (answer.kind() == wire::SERVED) {
      HandleServed(f, answer);
      return;
    }
    ++totals_.reasons[wire::answer_kind_Name(answer.kind()) + ": " +
                      wire::refusal_reason_Name(answer.reason())];
    if (answer.kind() == wire::FLOW_LOST) {
      ++totals_.flow_lost;
      Restart(f);
    } else if (answer.kind() == wire::OUTCOME_UNKNOWN) {
      ++totals_.outcome_unknown;
      if (answer.flow_lost()) {
        ++totals_.reopened;
        Restart(f);
        return;
      }
      Think(f, f->work->think_ms);
    } else if (answer.flow_lost()) {
      ++totals_.not_run;
      ++totals_.reopened;
      Restart(f);
    } else {
      ++totals_.not_run;
      Think(f,
            std::max<std::int64_t>(answer.come_back_ms(), f->work->think_ms));
    }
  }

  void HandleServed(flow* f, const wire::caller_answer& answer) {
    f->parts[answer.part()] = answer.body();
    if (f->parts.size() < answer.parts()) return;
    std::string body;
    for (const auto& [part, bytes] : f->parts) body += bytes;
    const std::string expected = f->work->service + ":" +
                                 std::to_string(f->id) + ":" +
                                 std::to_string(f->request) + ":";
    if (body.compare(0, expected.size(), expected) != 0 ||
        XXH64(body.data(), body.size(), 0) != answer.body_hash()) {
      ++totals_.wrong_answer;
    }
    const std::string target = body.substr(
        expected.size(), body.find(':', expected.size()) - expected.size());
    if (!f->target.empty() && f->target != target) ++totals_.moved;
    f->target = target;
    ++totals_.served;
    ++totals_.served_by_class[f->work->service_class];
    ++totals_.served_by_target[target];
    totals_.latency_us[f->work->service_class].push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(steady::now() -
                                                              f->sent)
            .count());
    Think(f, static_cast<std::int64_t>(
                 random_() % static_cast<unsigned>(2 * f->work->think_ms + 1)));
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
    std::cout << "{\"opened\": " << totals_.opened
              << ", \"served\": " << totals_.served
              << ", \"not_run\": " << totals_.not_run
              << ", \"outcome_unknown\": " << totals_.outcome_unknown
              << ", \"flow_lost\": " << totals_.flow_lost
              << ", \"reopened\": " << totals_.reopened
              << ", \"no_answer\": " << totals_.no_answer
              << ", \"moved\": " << totals_.moved
              << ", \"wrong_answer\": " << totals_.wrong_answer;
    PrintMap("reasons", totals_.reasons);
    PrintMap("served_by_class", totals_.served_by_class);
    PrintMap("served_by_target", totals_.served_by_target);
    std::map<std::string, std::int64_t> median;
    std::map<std::string, std::int64_t> high;
    for (auto& [name, values] : totals_.latency_us) {
      std::sort(values.begin(), values.end());
      median[name] = values[values.size() / 2];
      high[name] = values[values.size() * 99 / 100];
    }
    PrintMap("latency_p50_us", median);
    PrintMap("latency_p99_us", high);
    std::cout << "}" << std::endl;
  }

  int socket_ = -1;
  std::mt19937_64 random_;
  std::vector<sockaddr_in> instances_;
  std::vector<kind_of_work> work_;
  std::map<std::uint64_t, flow> flows_;
  totals totals_;
};

}  // namespace

int RunCallers() { return crowd().Run(); }

}  // namespace standin
