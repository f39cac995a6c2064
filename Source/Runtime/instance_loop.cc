#include "Runtime/instance_loop.h"

#include <glog/logging.h>
#include <google/protobuf/stubs/logging.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <optional>
#include <zmq.hpp>

#include "Config/machine_check.h"
#include "Node/node.h"
#include "Runtime/admin_api.h"
#include "Runtime/admin_queue.h"
#include "Runtime/admin_server.h"
#include "Runtime/caller_socket.h"
#include "Runtime/decision_log.h"
#include "Runtime/metrics.h"
#include "Runtime/peer_links.h"
#include "Runtime/process_time.h"
#include "Runtime/target_links.h"
#include "Storage/record_log.h"
#include "Wire/codec.h"

namespace lavendertack {
namespace {

// Time between two ticks of the reducer.
constexpr milliseconds kTickInterval{10};
// Datagrams read before other sockets get their turn.
constexpr std::size_t kDatagramsPerTurn = 256;

// Milliseconds since the start of 2025: rises with every start.
std::uint64_t NewIncarnation() {
  constexpr milliseconds kStartOf2025{1735689600000};
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      (std::chrono::duration_cast<milliseconds>(now) - kStartOf2025).count());
}

node_settings NodeSettings(const settings& from) {
  node_settings result{.self = from.instance,
                       .data_centre = {},
                       .deployment = from.deployment,
                       .replica = false,
                       .members = {},
                       .incarnation = 0,
                       .seed = RandomNumber()};
  for (const instance_settings& instance : from.instances) {
    result.members.push_back({.name = instance.name,
                              .data_centre = instance.data_centre,
                              .replica = instance.replica,
                              .last_heartbeat_at = std::nullopt,
                              .last_heartbeat = {}});
    if (instance.name == from.instance) {
      result.data_centre = instance.data_centre;
      result.replica = instance.replica;
    }
  }
  result.incarnation = NewIncarnation();
  return result;
}

class instance_loop {
 public:
  explicit instance_loop(const settings& settings)
      : settings_(settings),
        node_(NodeSettings(settings)),
        wake_file_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        admin_queue_([this] { eventfd_write(wake_file_, 1); }),
        peers_(&context_, settings),
        targets_(&context_, settings.target_address),
        decisions_(settings.log_decisions, WriteLine) {}

  ~instance_loop() { close(wake_file_); }

  std::variant<std::monostate, instance_error> Start() {
    auto opened = callers_.Open(settings_.caller_address);
    if (auto* error = std::get_if<socket_error>(&opened)) {
      return instance_error{error->address + ": " + error->reason};
    }
    if (!settings_.data_folder.empty()) {
      if (auto error = OpenLog()) return *error;
    }
    std::string token;
    if (!settings_.admin_token_file.empty()) {
      auto read = ReadTokenFile(settings_.admin_token_file);
      if (auto* error = std::get_if<settings_error>(&read)) {
        return instance_error{error->path + " " + error->reason};
      }
      token = std::get<std::string>(std::move(read));
    }
    admin_ = std::make_unique<admin_server>(settings_.admin_address,
                                            std::move(token), &admin_queue_);
    return std::monostate{};
  }

  void Run(const std::atomic<int>& stop) {
    LOG(INFO) << "instance: " << settings_.instance << " serves";
    instant next_tick = Now();
    while (!IsOver(stop)) {
      Poll(next_tick);
      callers_.Receive(kDatagramsPerTurn, [this](const caller_address& from,
                                                 std::string_view bytes) {
        HandleDatagram(from, bytes);
      });
      targets_.Receive(
          [this](const target_connection& from, const std::string& bytes) {
            HandleTargetMessage(from, bytes);
          });
      peers_.Receive(
          [this](wire::peer_message message) {
            Dispatch(peer_message_received{std::move(message)});
          },
          [this](const std::string& fault) { Drop("peer", fault); });
      HandleAdmin();
      if (Now() >= next_tick) {
        Dispatch(node_tick{});
        decisions_.Tick(Now());
        next_tick = Now() + kTickInterval;
      }
      callers_.Flush();
    }
    CloseAdmin();
    LOG(INFO) << "instance: " << settings_.instance << " ends";
  }

 private:
  static void WriteLine(const std::string& part, const std::string& text) {
    LOG(INFO) << part << ": " << text;
  }

  // The first signal starts a graceful stop, the second one ends at once.
  bool IsOver(const std::atomic<int>& stop) {
    if (stop == 0) return false;
    if (!stop_until_) {
      stop_until_ = Now() + settings_.stop_within;
      LOG(INFO) << "instance: " << settings_.instance << " stops within "
                << settings_.stop_within.count() << " ms";
      Dispatch(leave_requested{});
    }
    return stop > 1 || Now() >= *stop_until_ || IsIdle();
  }

  // Every service is handed over, and no operator waits.
  bool IsIdle() const { return waiting_.empty() && node_.HasLeft(); }

  // Nobody waits for an answer that can't come any more.
  void CloseAdmin() {
    for (auto& [id, answer] : waiting_) {
      answer(DescribeOutcome(ticket_undecided{}));
    }
    waiting_.clear();
    admin_queue_.Close();
  }

  std::optional<instance_error> OpenLog() {
    std::error_code failed;
    std::filesystem::create_directories(settings_.data_folder, failed);
    if (failed) {
      return instance_error{settings_.data_folder + ": " + failed.message()};
    }
    auto opened = log_.Open(settings_.data_folder + "/agreement.log");
    if (auto* error = std::get_if<storage_error>(&opened)) {
      return instance_error{error->path + ": " + error->reason};
    }
    const auto& found = std::get<opened_log>(opened);
    if (found.torn_bytes > 0) {
      LOG(WARNING) << "storage: cut " << found.torn_bytes << " torn bytes";
    }
    for (const std::string& bytes : found.records) {
      wire::stored_record record;
      if (!record.ParseFromString(bytes)) {
        return instance_error{"agreement.log: a record can't be read"};
      }
      node_.Restore(record);
    }
    if (found.rewrite_error) FailStorage(*found.rewrite_error);
    LOG(INFO) << "storage: " << found.records.size() << " records, entry "
              << node_.agreed().applied();
    return std::nullopt;
  }

  void Poll(instant next_tick) {
    const auto wait = std::max(
        milliseconds(0), std::chrono::ceil<milliseconds>(next_tick - Now()));
    std::array<zmq::pollitem_t, 4> items{
        {{peers_.socket(), 0, ZMQ_POLLIN, 0},
         {targets_.socket(), 0, ZMQ_POLLIN, 0},
         {nullptr, callers_.file(), ZMQ_POLLIN, 0},
         {nullptr, wake_file_, ZMQ_POLLIN, 0}}};
    try {
      zmq::poll(items.data(), items.size(), wait);
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) throw;
    }
  }

  void HandleDatagram(const caller_address& from, std::string_view bytes) {
    auto parsed = ParseCallerPacket(bytes);
    if (const auto* error = std::get_if<wire_error>(&parsed)) {
      Drop("caller", error->field + " " + error->reason);
      return;
    }
    metrics_.CountPacket();
    Dispatch(caller_packet_received{
        from, std::get<caller_packet>(std::move(parsed))});
  }

  void HandleTargetMessage(const target_connection& from,
                           const std::string& bytes) {
    auto parsed = ParseTargetMessage(bytes);
    if (const auto* error = std::get_if<wire_error>(&parsed)) {
      Drop("target", error->field + " " + error->reason);
      return;
    }
    auto& body = std::get<target_body>(parsed);
    if (auto* what = std::get_if<announcement>(&body)) {
      Dispatch(target_announced{from, std::move(*what)});
    } else {
      Dispatch(target_answered{from, std::get<run_answer>(std::move(body))});
    }
  }

  void HandleAdmin() {
    eventfd_t ignored = 0;
    eventfd_read(wake_file_, &ignored);
    for (admin_queue::item& item : admin_queue_.TakeAll()) {
      const http_request& request = item.request;
      if (request.method == "GET") {
        item.answer(AnswerQuery(View(), request.path));
      } else if (request.path == "/v1/tickets") {
        SubmitTicket(std::move(item));
      } else {
        item.answer({404, "{\"error\":\"no such path\"}\n"});
      }
    }
  }

  admin_view View() const {
    return {.state = node_,
            .decisions = decisions_,
            .counts = metrics_,
            .totals = {.peer_bytes_sent = peers_.sent_bytes(),
                       .peer_bytes_received = peers_.received_bytes(),
                       .decisions_logged = decisions_.written(),
                       .decisions_left_out = decisions_.left_out()},
            .now = Now(),
            .stopping = stop_until_.has_value()};
  }

  void Drop(const std::string& source, const std::string& fault) {
    metrics_.CountDropped(source, fault);
    LOG_EVERY_N(WARNING, 1000) << source << ": message dropped, " << fault;
  }

  void SubmitTicket(admin_queue::item item) {
    auto parsed = ParseTicket(item.request.body);
    if (auto* errors = std::get_if<std::vector<ticket_error>>(&parsed)) {
      item.answer(DescribeTicketErrors(*errors));
      return;
    }
    const admin_request id{++admin_requests_};
    waiting_[id] = std::move(item.answer);
    Dispatch(ticket_submitted{id, std::get<change_ticket>(parsed)});
  }

  void Dispatch(const node_event& event) {
    for (node_effect& effect : node_.Reduce(Now(), event)) {
      std::visit([this](auto& e) { Carry(e); }, effect);
    }
    if (std::exchange(storage_failed_now_, false)) Dispatch(storage_failed{});
    std::vector<target_connection> gone = std::exchange(unreachable_, {});
    for (target_connection& connection : gone) {
      Dispatch(target_unreachable{std::move(connection)});
    }
  }

  // Until the reducer knows, nothing leaves that may rest on the lost record.
  void FailStorage(const storage_error& error) {
    LOG(ERROR) << "storage: " << error.path << ": " << error.reason;
    storage_failed_now_ = true;
  }

  void Carry(const send_answer& effect) {
    metrics_.CountAnswer(effect.answer);
    for (std::string& datagram : EncodeAnswer(effect.answer)) {
      callers_.Send(effect.to, std::move(datagram));
    }
  }
  void Carry(const send_run& effect) {
    if (!targets_.Send(effect.to, EncodeRunOrder(effect.order))) {
      unreachable_.push_back(effect.to);
    }
  }
  void Carry(const send_cancel& effect) {
    targets_.Send(effect.to, EncodeCancel(effect.attempt));
  }
  void Carry(const send_peer& effect) {
    if (storage_failed_now_) return;
    peers_.Send(effect.to, effect.message);
  }
  void Carry(const persist_record& effect) {
    if (settings_.data_folder.empty() || storage_failed_now_) return;
    auto written = log_.Append(effect.record.SerializeAsString());
    if (const auto* error = std::get_if<storage_error>(&written)) {
      FailStorage(*error);
    }
  }
  void Carry(const rewrite_records& effect) {
    if (settings_.data_folder.empty() || storage_failed_now_) return;
    std::vector<std::string> records;
    for (const wire::stored_record& record : effect.records) {
      records.push_back(record.SerializeAsString());
    }
    auto written = log_.Rewrite(records);
    if (const auto* error = std::get_if<storage_error>(&written)) {
      FailStorage(*error);
    }
  }
  void Carry(const answer_ticket& effect) {
    auto it = waiting_.find(effect.request);
    if (it == waiting_.end()) return;
    it->second(DescribeOutcome(storage_failed_now_ ? ticket_undecided{}
                                                   : effect.outcome));
    waiting_.erase(it);
  }
  void Carry(const request_ended& effect) {
    if (effect.kind != answer_kind::kServed) return;
    metrics_.CountLatency(effect.service_class, effect.took);
  }
  // No operators' request makes one yet.
  void Carry(const answer_replica_change&) {}
  void Carry(log_line& effect) { decisions_.Add(Now(), std::move(effect)); }

  const settings& settings_;
  zmq::context_t context_;
  node node_;
  int wake_file_;
  admin_queue admin_queue_;
  peer_links peers_;
  target_links targets_;
  caller_socket callers_;
  record_log log_;
  std::unique_ptr<admin_server> admin_;
  std::map<admin_request, admin_queue::answer_function> waiting_;
  std::uint64_t admin_requests_ = 0;
  bool storage_failed_now_ = false;  // The reducer is still to be told.
  decision_log decisions_;
  metrics metrics_;
  std::optional<instant> stop_until_;  // Set once it has been told to stop.
  std::vector<target_connection> unreachable_;
};

}  // namespace

std::variant<std::monostate, instance_error> RunInstance(
    const settings& settings, const std::atomic<int>& stop) {
  // The library would log a line for each text that isn't UTF-8; such
  // messages are counted instead.
  google::protobuf::SetLogHandler(nullptr);
  try {
    instance_loop loop(settings);
    auto started = loop.Start();
    if (std::holds_alternative<instance_error>(started)) return started;
    loop.Run(stop);
  } catch (const std::exception& error) {
    return instance_error{error.what()};
  }
  return std::monostate{};
}

}  // namespace lavendertack
