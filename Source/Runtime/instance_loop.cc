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

#include "Config/host_check.h"
#include "Node/node.h"
#include "Runtime/admin_api.h"
#include "Runtime/admin_server.h"
#include "Runtime/caller_socket.h"
#include "Runtime/decision_log.h"
#include "Runtime/metrics.h"
#include "Runtime/peer_links.h"
#include "Runtime/process_time.h"
#include "Runtime/request_queue.h"
#include "Runtime/target_links.h"
#include "Storage/record_log.h"
#include "Wire/codec.h"

namespace lavendertack {
namespace {

// Time between two ticks of the reducer.
constexpr milliseconds kTickInterval{10};
// Most callers' datagrams read per iteration of the loop, so that the other
// sockets are read in time.
constexpr std::size_t kDatagramsPerIteration = 256;

// Returns the milliseconds since the start of 2025, a number that increases
// with every start of the process.
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
        request_queue_([this] { eventfd_write(wake_file_, 1); }),
        peers_(&context_, settings),
        targets_(&context_, settings.target_address),
        decisions_(settings.log_decisions, LogLine) {}

  ~instance_loop() { close(wake_file_); }

  std::variant<std::monostate, instance_error> Start() {
    auto opened = callers_.Open(settings_.caller_address);
    if (auto* error = std::get_if<socket_error>(&opened)) {
      return instance_error{error->address + ": " + error->reason};
    }
    if (!settings_.data_folder.empty()) {
      if (auto error = OpenAgreementLog()) return *error;
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
                                            std::move(token), &request_queue_);
    return std::monostate{};
  }

  void Run(const std::atomic<int>& stop) {
    LOG(INFO) << "instance: " << settings_.instance << " is running";
    instant next_tick = Now();
    while (!ShouldExit(stop)) {
      Poll(next_tick);
      callers_.Receive(
          kDatagramsPerIteration,
          [this](const caller_address& from, std::string_view bytes) {
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
          [this](const std::string& fault) {
            CountDroppedMessage("peer", fault);
          });
      HandleAdminRequests();
      if (Now() >= next_tick) {
        Dispatch(node_tick{});
        decisions_.Tick(Now());
        next_tick = Now() + kTickInterval;
      }
      callers_.Flush();
    }
    Dispatch(exit_imminent{});
    callers_.Flush();
    AnswerPendingRequests();
    LOG(INFO) << "instance: " << settings_.instance << " stopped";
  }

 private:
  static void LogLine(const std::string& part, const std::string& text) {
    LOG(INFO) << part << ": " << text;
  }

  // Whether the loop must end. The first signal starts a graceful stop, the
  // second one stops immediately.
  bool ShouldExit(const std::atomic<int>& stop) {
    if (stop == 0) return false;
    if (!stop_deadline_) {
      stop_deadline_ = Now() + settings_.stop_within;
      LOG(INFO) << "instance: " << settings_.instance << " stops within "
                << settings_.stop_within.count() << " ms";
      Dispatch(leave_requested{});
    }
    return stop > 1 || Now() >= *stop_deadline_ || IsIdle();
  }

  // Whether all services are handed over and no ticket is pending.
  bool IsIdle() const { return pending_tickets_.empty() && node_.CanExit(); }

  // Answers the pending requests, which the loop no longer handles: tickets as
  // undecided, the others with 503.
  void AnswerPendingRequests() {
    for (auto& [id, answer] : pending_tickets_) {
      answer(DescribeOutcome(ticket_undecided{}));
    }
    pending_tickets_.clear();
    request_queue_.Close();
  }

  std::optional<instance_error> OpenAgreementLog() {
    std::error_code error_code;
    std::filesystem::create_directories(settings_.data_folder, error_code);
    if (error_code) {
      return instance_error{settings_.data_folder + ": " +
                            error_code.message()};
    }
    auto opened = agreement_log_.Open(settings_.data_folder + "/agreement.log");
    if (auto* error = std::get_if<storage_error>(&opened)) {
      return instance_error{error->path + ": " + error->reason};
    }
    const auto& found = std::get<opened_log>(opened);
    if (found.torn_bytes > 0) {
      LOG(WARNING) << "storage: removed " << found.torn_bytes
                   << " bytes of a torn record";
    }
    for (const std::string& bytes : found.records) {
      wire::stored_record record;
      if (!record.ParseFromString(bytes)) {
        return instance_error{"agreement.log: a record can't be read"};
      }
      node_.Restore(record);
    }
    if (found.rewrite_error) HandleStorageError(*found.rewrite_error);
    LOG(INFO) << "storage: " << found.records.size() << " records, entry "
              << node_.agreed_directory().applied();
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
      CountDroppedMessage("caller", error->field + " " + error->reason);
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
      CountDroppedMessage("target", error->field + " " + error->reason);
      return;
    }
    auto& body = std::get<target_message_body>(parsed);
    if (auto* announced = std::get_if<announcement>(&body)) {
      Dispatch(target_announcement_received{from, std::move(*announced)});
    } else {
      Dispatch(
          target_answer_received{from, std::get<run_answer>(std::move(body))});
    }
  }

  void HandleAdminRequests() {
    eventfd_t ignored = 0;
    eventfd_read(wake_file_, &ignored);
    for (request_queue::pending_request& pending : request_queue_.PopAll()) {
      const http_request& request = pending.request;
      if (request.method == "GET") {
        pending.answer(AnswerQuery(View(), request.path));
      } else if (request.path == "/v1/tickets") {
        SubmitTicket(std::move(pending));
      } else {
        pending.answer({404, "{\"error\":\"no such path\"}\n"});
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
            .stopping = stop_deadline_.has_value()};
  }

  void CountDroppedMessage(const std::string& source,
                           const std::string& fault) {
    metrics_.CountDropped(source, fault);
    LOG_EVERY_N(WARNING, 1000) << source << ": message dropped, " << fault;
  }

  void SubmitTicket(request_queue::pending_request pending) {
    auto parsed = ParseTicket(pending.request.body);
    if (auto* errors = std::get_if<std::vector<ticket_error>>(&parsed)) {
      pending.answer(DescribeTicketErrors(*errors));
      return;
    }
    const admin_request_id id{++last_admin_request_};
    pending_tickets_[id] = std::move(pending.answer);
    Dispatch(ticket_submitted{id, std::get<change_ticket>(parsed)});
  }

  void Dispatch(const node_event& event) {
    for (node_effect& effect : node_.Reduce(Now(), event)) {
      std::visit([this](auto& e) { Apply(e); }, effect);
    }
    if (std::exchange(disk_failure_pending_, false)) Dispatch(storage_failed{});
    std::vector<target_connection> unreachable =
        std::exchange(unreachable_targets_, {});
    for (target_connection& connection : unreachable) {
      Dispatch(target_disconnected{std::move(connection)});
    }
  }

  // Records the failure for the reducer. Until the reducer has received it,
  // nothing is sent that may depend on the lost record.
  void HandleStorageError(const storage_error& error) {
    LOG(ERROR) << "storage: " << error.path << ": " << error.reason;
    disk_failure_pending_ = true;
  }

  void Apply(const send_answer& effect) {
    metrics_.CountAnswer(effect.answer);
    for (std::string& datagram : EncodeAnswer(effect.answer)) {
      callers_.Send(effect.to, std::move(datagram));
    }
  }
  void Apply(const send_run& effect) {
    if (!targets_.Send(effect.to, EncodeRunOrder(effect.order))) {
      unreachable_targets_.push_back(effect.to);
    }
  }
  void Apply(const send_cancel& effect) {
    targets_.Send(effect.to, EncodeCancel(effect.attempt));
  }
  void Apply(const send_peer_message& effect) {
    if (disk_failure_pending_) return;
    peers_.Send(effect.to, effect.message);
  }
  void Apply(const persist_record& effect) {
    if (settings_.data_folder.empty() || disk_failure_pending_) return;
    auto written = agreement_log_.Append(effect.record.SerializeAsString());
    if (const auto* error = std::get_if<storage_error>(&written)) {
      HandleStorageError(*error);
    }
  }
  void Apply(const rewrite_records& effect) {
    if (settings_.data_folder.empty() || disk_failure_pending_) return;
    std::vector<std::string> records;
    for (const wire::stored_record& record : effect.records) {
      records.push_back(record.SerializeAsString());
    }
    auto written = agreement_log_.Rewrite(records);
    if (const auto* error = std::get_if<storage_error>(&written)) {
      HandleStorageError(*error);
    }
  }
  void Apply(const answer_ticket& effect) {
    auto it = pending_tickets_.find(effect.request);
    if (it == pending_tickets_.end()) return;
    it->second(DescribeOutcome(disk_failure_pending_ ? ticket_undecided{}
                                                     : effect.outcome));
    pending_tickets_.erase(it);
  }
  void Apply(const request_ended& effect) {
    if (effect.kind != answer_kind::kServed) return;
    metrics_.ObserveLatency(effect.service_class, effect.took);
  }
  // Ignored: the administration API has no request that changes replicas.
  void Apply(const answer_replica_change&) {}
  void Apply(log_line& effect) { decisions_.Add(Now(), std::move(effect)); }

  const settings& settings_;
  zmq::context_t context_;
  node node_;
  int wake_file_;
  request_queue request_queue_;
  peer_links peers_;
  target_links targets_;
  caller_socket callers_;
  record_log agreement_log_;
  std::unique_ptr<admin_server> admin_;
  std::map<admin_request_id, request_queue::answer_function> pending_tickets_;
  std::uint64_t last_admin_request_ = 0;
  // A storage error that the reducer hasn't received yet.
  bool disk_failure_pending_ = false;
  decision_log decisions_;
  metrics metrics_;
  std::optional<instant> stop_deadline_;  // Set by the first signal to stop.
  std::vector<target_connection> unreachable_targets_;
};

}  // namespace

std::variant<std::monostate, instance_error> RunInstance(
    const settings& settings, const std::atomic<int>& stop) {
  // Turns off protobuf's log, which has a line for each string that isn't valid
  // UTF-8. Such messages are counted instead.
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
