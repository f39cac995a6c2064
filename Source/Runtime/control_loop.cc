#include "Runtime/control_loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <zmq.hpp>

#include "Control/control_instance.h"
#include "Runtime/announcement_socket.h"
#include "Runtime/fleet_links.h"
#include "Runtime/fleet_queries.h"
#include "Runtime/http_server.h"
#include "Runtime/process_time.h"
#include "Runtime/query_port.h"
#include "Storage/record_log.h"

namespace lavendertack {
namespace {

// Time between two ticks of the instance.
constexpr milliseconds kTickInterval{25};
// Concurrent calls: enough for eight orders and the targets' reports.
constexpr unsigned kCallThreads = 24;
// A call without a result after this time is answered with 504.
constexpr milliseconds kCallTimeout{4000};
// Minimum time between two log lines about abandoned rounds.
constexpr milliseconds kRoundLineInterval{1000};
// Minimum time between two log lines about reports for unknown services.
constexpr milliseconds kUnknownServiceLineInterval{1000};
// Most log lines about targets' weights in this time; the others are counted.
constexpr milliseconds kWeightLineWindow{1000};
constexpr int kMaxWeightLines = 20;
// Time between two attempts to reopen the log after a disk error.
constexpr milliseconds kDiskRetryDelay{500};
// Limits of the agreement log. Few entries are kept, since each manifest entry
// holds a whole manifest, which is large. A peer that lags by more entries
// receives a snapshot.
constexpr log_limits kAgreementLogLimits{.kept_entries = 24,
                                         .rewrite_bytes = 256 << 10,
                                         .snapshot_interval = seconds(1)};

control_settings ControlSettings(const fleet_settings& from,
                                 bool has_stored_records) {
  const auto& role = std::get<control_role_settings>(from.role);
  control_settings result{.self = ControlName(from.self),
                          .data_centre = from.data_centre,
                          .seeds = ControlNames(from.seeds),
                          .bootstrap_voters = {},
                          .new_storage_id = {RandomNumber() | 1},
                          .seed = RandomNumber(),
                          .tolerated_losses = role.tolerated_losses,
                          .heartbeat_interval = from.heartbeat_interval,
                          .limits = kAgreementLogLimits,
                          .observe_targets = from.observe_targets};
  // An instance that was stopped during the bootstrap, before the first entry
  // was chosen, resumes it.
  if (role.bootstraps_fleet || has_stored_records) {
    result.bootstrap_voters = result.seeds;
    std::sort(result.bootstrap_voters.begin(), result.bootstrap_voters.end());
  }
  return result;
}

class control_loop {
 public:
  control_loop(const fleet_settings& settings, const fleet_adapter& adapter,
               settings_file* file, process_signals* signals)
      : settings_(settings),
        role_(std::get<control_role_settings>(settings.role)),
        adapter_(adapter),
        settings_file_(file),
        signals_(signals),
        log_(MakeEventLog(settings)),
        wake_file_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        call_queue_([this] { eventfd_write(wake_file_, 1); }, kCallTimeout),
        links_(&context_, settings.peer_port) {}

  ~control_loop() { close(wake_file_); }
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  std::optional<fleet_error> Start() {
    // First, because it fails while another process runs with this address.
    // Opening the log replaces the file, so that process would lose records.
    links_.Listen(settings_.self);
    if (auto error = OpenRecordLog()) return error;
    if (auto reason = announcements_.Open({settings_.self, {}})) {
      log_.Write("announcements_not_sent", {{"reason", *reason}});
    }
    call_server_ = std::make_unique<http_server>(
        endpoint{ToString(role_.calls.ip), role_.calls.port.value},
        http_limits{.body_bytes = adapter_.calls.max_body_bytes,
                    .threads = kCallThreads},
        [this](http_request request) {
          return call_queue_.SubmitAndWait(std::move(request));
        });
    OpenQueryPort(&queries_, settings_, &log_);
    return std::nullopt;
  }

  void Run() {
    next_tick_ = Now();
    while (signals_->stop == 0) {
      links_.Wait({wake_file_, queries_.file()}, next_tick_);
      WithdrawAbandonedCalls();
      links_.Receive(Now(), [this](const link_id& link, auto message) {
        Dispatch(control_message_received{link, std::move(message)});
      });
      HandleCalls();
      queries_.AnswerAll([this](const std::string& path) {
        return AnswerControlQuery(
            {*control_, counts_, log_, links_, settings_.host_name, Now()},
            path);
      });
      if (Now() >= next_tick_) Tick();
    }
    log_.Write("stopping", {{"signals", signals_->stop.load()}});
    call_queue_.Close();
    queries_.Close();
    for (auto& [call, pending] : pending_calls_) {
      pending.answer(adapter_.calls.answer_order(
          pending.request, order_outcome_unknown{"the instance is stopping"},
          pending.is_read, control_->published(), role_.calls.port));
    }
    call_server_.reset();
    log_.Write("stopped", {{"role", "control"}});
    log_.Tick(Now());
  }

 private:
  struct pending_call {
    http_request request;
    bool is_read = false;
    bool is_evacuation = false;
    request_queue::answer_function answer;
    instant received_at;
  };

  std::string RecordsPath() const { return role_.data_folder + "/control.log"; }
  std::string TargetsPath() const { return role_.data_folder + "/targets.log"; }

  std::optional<fleet_error> OpenRecordLog() {
    std::error_code error_code;
    std::filesystem::create_directories(role_.data_folder, error_code);
    if (error_code) {
      return fleet_error{role_.data_folder + ": " + error_code.message()};
    }
    auto opened = records_.Open(RecordsPath());
    if (auto* error = std::get_if<storage_error>(&opened)) {
      return fleet_error{error->path + ": " + error->reason};
    }
    const auto& found = std::get<opened_log>(opened);
    control_ = std::make_unique<control_instance>(
        ControlSettings(settings_, !found.records.empty()),
        adapter_.decode_manifest);
    std::vector<wire::stored_record> records(found.records.size());
    for (std::size_t i = 0; i < records.size(); ++i) {
      if (!records[i].ParseFromString(found.records[i])) {
        return fleet_error{RecordsPath() + ": a record can't be read"};
      }
    }
    control_->Restore(records);
    RestoreTargets();
    log_.Write(
        "started",
        {{"role", "control"},
         {"targets",
          static_cast<std::int64_t>(control_->targets().targets().size())},
         {"calls", ToString(role_.calls)},
         {"data_centre", settings_.data_centre.value},
         {"founds_fleet", role_.bootstraps_fleet},
         {"records", static_cast<std::int64_t>(found.records.size())},
         {"torn_bytes", static_cast<std::int64_t>(found.torn_bytes)},
         {"entry",
          static_cast<std::int64_t>(control_->agreed().chosen_index().value)},
         {"manifest", static_cast<std::int64_t>(
                          control_->published().published().version.value)}});
    if (found.rewrite_error) HandleStorageError(*found.rewrite_error);
    return std::nullopt;
  }

  // Restores the saved targets. If that fails, each target becomes known again
  // with its next report.
  void RestoreTargets() {
    auto opened = saved_targets_.Open(TargetsPath());
    if (const auto* error = std::get_if<storage_error>(&opened)) {
      log_.Write("targets_not_restored",
                 {{"file", error->path}, {"reason", error->reason}});
      return;
    }
    for (const std::string& bytes : std::get<opened_log>(opened).records) {
      wire::target_snapshot saved;
      if (!saved.ParseFromString(bytes)) {
        log_.Write("targets_not_restored",
                   {{"file", TargetsPath()}, {"reason", "unreadable record"}});
      } else if (const auto skipped = control_->Restore(Now(), saved)) {
        log_.Write("targets_not_restored",
                   {{"file", TargetsPath()},
                    {"reason", "invalid targets in a record"},
                    {"targets", static_cast<std::int64_t>(skipped)}});
      }
    }
  }

  void Tick() {
    const instant now = Now();
    next_tick_ = now + kTickInterval;
    if (auto changed = settings_file_->ReadChanged(
            now, signals_->reload.exchange(false), &log_)) {
      Dispatch(seeds_changed{ControlNames(changed->seeds)});
    }
    RetryStorage(now);
    Dispatch(control_tick{});
    std::set<instance_name> controls = control_->peers().ControlNames();
    for (const auto& [name, storage] : control_->published().voters()) {
      controls.insert(name);
    }
    links_.Tick(now, controls);
    log_.Tick(now);
  }

  void RetryStorage(instant now) {
    if (!disk_failed_at_ || now - *disk_failed_at_ < kDiskRetryDelay) return;
    disk_failed_at_ = now;
    record_log records;
    auto opened = records.Open(RecordsPath());
    const auto* found = std::get_if<opened_log>(&opened);
    if (found == nullptr || found->rewrite_error) return;
    records_ = std::move(records);
    disk_failed_at_.reset();
    log_.Write("storage_restored", {{"file", RecordsPath()}});
    Dispatch(storage_restored{});
  }

  void HandleStorageError(const storage_error& error) {
    if (!disk_failed_at_) {
      log_.Write("storage_failed",
                 {{"file", error.path}, {"reason", error.reason}});
    }
    disk_failed_at_ = Now();
    disk_failure_pending_ = true;
  }

  // An order to close or open a data centre isn't carried out any more once its
  // operator has left: it may have sent later orders to other instances.
  void WithdrawAbandonedCalls() {
    std::vector<operator_call> abandoned;
    for (const auto& [call, pending] : pending_calls_) {
      if (pending.is_evacuation && pending.request.is_abandoned()) {
        abandoned.push_back(call);
      }
    }
    for (const operator_call call : abandoned) {
      Dispatch(operator_call_abandoned{call});
    }
  }

  void HandleCalls() {
    eventfd_t ignored = 0;
    eventfd_read(wake_file_, &ignored);
    for (request_queue::pending_request& pending : call_queue_.PopAll()) {
      HandleCall(&pending);
    }
  }

  void HandleCall(request_queue::pending_request* pending) {
    control_call call = adapter_.calls.decode(pending->request);
    if (const auto* refused = std::get_if<refused_call>(&call)) {
      ++counts_.refused_calls;
      log_.Write("call_refused", {{"method", pending->request.method},
                                  {"path", pending->request.path},
                                  {"status", refused->status},
                                  {"reason", refused->reason}});
      pending->answer(adapter_.calls.answer_refused(*refused));
    } else if (auto* report = std::get_if<target_report_received>(&call)) {
      Dispatch(*report);
      pending->answer(adapter_.calls.answer_report(
          control_->AnswerTo(Now(), report->report)));
    } else if (auto* ended = std::get_if<target_ended>(&call)) {
      if (pending->request.is_abandoned() ||
          !control_->IsTimely(Now(), pending->received_at)) {
        log_.Write("target_end_outdated", {{"target", ended->id.value}});
        pending->answer(adapter_.calls.answer_report(report_answer::kOutdated));
        return;
      }
      Dispatch(std::move(*ended));
      pending->answer(
          adapter_.calls.answer_report(control_->AnswerToEnd(Now())));
    } else {
      auto& order = std::get<published_order>(call);
      const operator_call id{++last_call_id_};
      pending_calls_[id] = {
          .request = std::move(pending->request),
          .is_read = std::holds_alternative<read_published>(order),
          .is_evacuation = std::holds_alternative<set_evacuation>(order),
          .answer = std::move(pending->answer),
          .received_at = pending->received_at};
      pending_calls_[id].request.body.clear();
      if (pending_calls_[id].is_evacuation &&
          pending_calls_[id].request.is_abandoned()) {
        Apply(answer_operator{id,
                              order_outcome_unknown{"the operator has left"}});
        return;
      }
      Dispatch(
          operator_order_received{id, std::move(order), pending->received_at});
    }
  }

  void Dispatch(const control_event& event) {
    for (control_effect& effect : control_->Reduce(Now(), event)) {
      std::visit([this](auto& e) { Apply(e); }, effect);
    }
    if (std::exchange(disk_failure_pending_, false)) Dispatch(storage_failed{});
  }

  // True from a failed write until the reducer has received storage_failed. In
  // the meantime no messages are sent and calls are answered with an unknown
  // outcome, since both may depend on the lost record.
  bool IsDiskFailurePending() const { return disk_failure_pending_; }

  void Apply(const persist_record& effect) {
    if (disk_failed_at_) return;
    auto written = records_.Append(effect.record.SerializeAsString());
    if (const auto* error = std::get_if<storage_error>(&written)) {
      HandleStorageError(*error);
    }
  }
  void Apply(const rewrite_records& effect) {
    if (disk_failed_at_) return;
    std::vector<std::string> records;
    for (const wire::stored_record& record : effect.records) {
      records.push_back(record.SerializeAsString());
    }
    auto written = records_.Rewrite(records);
    if (const auto* error = std::get_if<storage_error>(&written)) {
      HandleStorageError(*error);
    }
  }
  void Apply(const bootstrap_blocked& effect) {
    log_.Write("founding_stuck", {{"control", effect.replica.value}});
  }
  void Apply(const round_abandoned& effect) {
    if (last_round_line_at_ &&
        Now() - *last_round_line_at_ < kRoundLineInterval) {
      return;
    }
    last_round_line_at_ = Now();
    const round_counts& rounds = control_->agreed().rounds();
    log_.Write(
        "round_abandoned",
        {{"entry", static_cast<std::int64_t>(effect.index.value)},
         {"phase", ToString(effect.step)},
         {"reason", effect.preempted ? "preempted" : "timed_out"},
         {"answers", static_cast<std::int64_t>(effect.answers)},
         {"value_bytes", static_cast<std::int64_t>(effect.value_bytes)},
         {"phase_ms", effect.phase_length.count()},
         {"started", static_cast<std::int64_t>(rounds.started)},
         {"timed_out", static_cast<std::int64_t>(rounds.timed_out)},
         {"preempted", static_cast<std::int64_t>(rounds.preempted)},
         {"late_answers", static_cast<std::int64_t>(rounds.late_answers)}});
  }
  void Apply(const answer_operator& effect) {
    auto it = pending_calls_.find(effect.call);
    if (it == pending_calls_.end()) return;
    const order_outcome outcome =
        IsDiskFailurePending()
            ? order_outcome_unknown{"a record couldn't be written to disk"}
            : effect.outcome;
    const microseconds waited = Now() - it->second.received_at;
    LogOrder(it->second.request, outcome, waited);
    counts_.order_latency.Observe(waited);
    it->second.answer(adapter_.calls.answer_order(
        it->second.request, outcome, it->second.is_read, control_->published(),
        role_.calls.port));
    pending_calls_.erase(it);
  }
  void Apply(const send_to_control& effect) {
    if (!IsDiskFailurePending()) links_.Send(Now(), effect.to, effect.message);
  }
  void Apply(const send_to_follower& effect) {
    if (!IsDiskFailurePending()) links_.Reply(effect.to, effect.message);
  }
  void Apply(const send_to_entry& effect) {
    announcements_.Send(effect.to, settings_.peer_port, effect.message);
  }
  void Apply(const target_report_evaluated& effect) {
    const target_report& report = effect.report;
    if (effect.result == report_result::kUnknownService) {
      ++counts_.reports_of_unknown_services;
      LogUnknownService(report);
      return;
    }
    ++counts_.reports[report.phase];
    log_.Write(
        "target_reported",
        {{"target", report.id.value},
         {"phase", ToString(report.phase)},
         {"service", report.service.value},
         {"address", ToString(report.address)},
         {"started_ms", static_cast<std::int64_t>(report.version.started_ms)},
         {"sequence", static_cast<std::int64_t>(report.version.sequence)},
         {"cold_left_ms", report.cold_left.count()},
         {"unanswered", report.unanswered},
         {"outdated", effect.result == report_result::kOutdated}});
  }
  void Apply(const voters_planned& effect) {
    log_.Write("voters_planned", {{"removed", effect.change.removed.value},
                                  {"added", effect.change.added.value}});
  }
  void Apply(const state_published& effect) {
    std::string closed;
    for (const data_centre_name& name : effect.closed) {
      closed += (closed.empty() ? "" : ",") + name.value;
    }
    log_.Write("state_published",
               {{"entry", static_cast<std::int64_t>(effect.index.value)},
                {"manifest", static_cast<std::int64_t>(effect.version.value)},
                {"closed", closed}});
  }
  void Apply(const save_targets& effect) {
    if (disk_failed_at_) return;
    auto written = saved_targets_.Rewrite({effect.targets.SerializeAsString()});
    const auto* error = std::get_if<storage_error>(&written);
    if (error == nullptr) return;
    log_.Write("targets_not_saved",
               {{"file", error->path}, {"reason", error->reason}});
    // A record log accepts no writes after an error until it is reopened.
    saved_targets_ = record_log();
    auto opened = saved_targets_.Open(TargetsPath());
    if (const auto* reopen_error = std::get_if<storage_error>(&opened)) {
      log_.Write("targets_not_saved", {{"file", reopen_error->path},
                                       {"reason", reopen_error->reason}});
    }
  }
  void Apply(const majority_changed& effect) {
    log_.Write("majority", {{"heard", effect.majority_reachable}});
  }
  void Apply(const target_weight_changed& effect) {
    const weight_change& change = effect.change;
    const instant now = Now();
    ++counts_.weight_changes[change.finding];
    if (now - weight_lines_since_ >= kWeightLineWindow) {
      weight_lines_since_ = now;
      weight_lines_ = 0;
    }
    if (++weight_lines_ > kMaxWeightLines) return;
    log_.Write("target_weight",
               {{"target", change.id.value},
                {"service", change.service.value},
                {"finding", ToString(change.finding)},
                {"from_percent", static_cast<std::int64_t>(change.from.value)},
                {"to_percent", static_cast<std::int64_t>(change.to.value)},
                {"requests", static_cast<std::int64_t>(change.requests)},
                {"slow", static_cast<std::int64_t>(change.slow)},
                {"failed", static_cast<std::int64_t>(change.failed)},
                {"usual_bad_percent",
                 static_cast<std::int64_t>(change.usual_share * 100)}});
  }
  void Apply(const follower_event& effect) { LogFollowerEvent(&log_, effect); }

  void LogUnknownService(const target_report& report) {
    const instant now = Now();
    if (now - last_unknown_service_line_ < kUnknownServiceLineInterval) return;
    last_unknown_service_line_ = now;
    log_.Write("target_report_refused",
               {{"target", report.id.value},
                {"service", report.service.value},
                {"address", ToString(report.address)},
                {"reason", "unknown service"},
                {"total", static_cast<std::int64_t>(
                              counts_.reports_of_unknown_services)}});
  }

  void LogOrder(const http_request& request, const order_outcome& outcome,
                microseconds waited) {
    std::string result = "done";
    std::string detail;
    if (const auto* redirect = std::get_if<order_redirected>(&outcome)) {
      result = "redirected";
      detail = redirect->to.value;
    } else if (const auto* unknown =
                   std::get_if<order_outcome_unknown>(&outcome)) {
      result = "unsure";
      detail = unknown->reason;
    }
    ++counts_.orders[result];
    log_.Write(
        "order",
        {{"method", request.method},
         {"path", request.path},
         {"result", result},
         {"detail", detail},
         {"waited_ms",
          std::chrono::duration_cast<milliseconds>(waited).count()},
         {"entry",
          static_cast<std::int64_t>(control_->agreed().chosen_index().value)},
         {"manifest", static_cast<std::int64_t>(
                          control_->published().published().version.value)}});
  }

  const fleet_settings& settings_;
  const control_role_settings& role_;
  const fleet_adapter& adapter_;
  settings_file* settings_file_;
  process_signals* signals_;
  event_log log_;
  int wake_file_;
  request_queue call_queue_;
  zmq::context_t context_;
  fleet_links links_;
  announcement_socket announcements_;
  record_log records_;
  record_log saved_targets_;
  std::unique_ptr<control_instance> control_;
  control_counts counts_;
  query_port queries_;
  std::unique_ptr<http_server> call_server_;
  std::map<operator_call, pending_call> pending_calls_;
  std::uint64_t last_call_id_ = 0;
  // Time of the last disk error; empty while the disk works.
  std::optional<instant> disk_failed_at_;
  // A disk error that the reducer hasn't received yet.
  bool disk_failure_pending_ = false;
  std::optional<instant> last_round_line_at_;
  // Start of the current window of weight lines, and the changes in it.
  instant weight_lines_since_;
  int weight_lines_ = 0;
  instant last_unknown_service_line_;
  instant next_tick_;
};

}  // namespace

std::variant<std::monostate, fleet_error> RunControl(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals) {
  return RunLoop<control_loop>(settings, adapter, file, signals);
}

}  // namespace lavendertack
