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
// Calls that are handled at a time: eight orders, and targets' reports.
constexpr unsigned kCallThreads = 24;
// A call without outcome for so long is answered as unsure.
constexpr milliseconds kCallTimeout{4000};
// Time between two tries to write to a disk that failed.
constexpr milliseconds kStorageRetry{500};
// The log of entries in memory: manifests are large and come whole, so a peer
// that is further behind takes the whole state.
constexpr log_limits kLogLimits{.kept_entries = 24,
                                .rewrite_bytes = 256 << 10,
                                .snapshot_interval = seconds(1)};

control_settings ControlSettings(const fleet_settings& from,
                                 bool was_started_before) {
  const auto& role = std::get<control_addresses>(from.role);
  control_settings result{.self = ControlName(from.self),
                          .data_centre = from.data_centre,
                          .seeds = ControlNames(from.seeds),
                          .bootstrap_voters = {},
                          .new_storage_id = {RandomNumber() | 1},
                          .seed = RandomNumber(),
                          .tolerated_losses = role.tolerated_losses,
                          .heartbeat_interval = from.heartbeat_interval,
                          .limits = kLogLimits};
  // A founder that was stopped before the first entry goes on as one.
  if (role.founds_fleet || was_started_before) {
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
        role_(std::get<control_addresses>(settings.role)),
        adapter_(adapter),
        file_(file),
        signals_(signals),
        log_(MakeEventLog(settings)),
        wake_file_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        calls_([this] { eventfd_write(wake_file_, 1); }, kCallTimeout),
        links_(&context_, settings.peer_port) {}

  ~control_loop() { close(wake_file_); }
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  std::optional<fleet_error> Start() {
    if (auto error = OpenRecords()) return error;
    links_.Listen(settings_.self);
    server_ = std::make_unique<http_server>(
        endpoint{ToString(role_.calls.ip), role_.calls.port.value},
        http_limits{.body_bytes = adapter_.calls.max_body_bytes,
                    .threads = kCallThreads},
        [this](http_request request) {
          return calls_.Ask(std::move(request));
        });
    OpenQueries(&queries_, settings_, &log_);
    return std::nullopt;
  }

  void Run() {
    next_tick_ = Now();
    while (signals_->stop == 0) {
      links_.Wait({wake_file_, queries_.file()}, next_tick_);
      links_.Receive(Now(), [this](const link_id& link, auto message) {
        Dispatch(control_message_received{link, std::move(message)});
      });
      HandleCalls();
      queries_.AnswerAll([this](const std::string& path) {
        return AnswerControlQuery(
            {*control_, counts_, log_, links_, settings_.machine, Now()}, path);
      });
      if (Now() >= next_tick_) Tick();
    }
    log_.Write("stopping", {{"signals", signals_->stop.load()}});
    calls_.Close();
    queries_.Close();
    for (auto& [call, waiting] : waiting_) {
      waiting.answer(adapter_.calls.answer_order(
          waiting.request, order_outcome_unknown{"the instance stops"},
          waiting.is_read, control_->published(), role_.calls.port));
    }
    server_.reset();
    log_.Write("stopped", {{"role", "control"}});
    log_.Tick(Now());
  }

 private:
  struct waiting_call {
    http_request request;
    bool is_read = false;
    admin_queue::answer_function answer;
    instant asked;
  };

  std::string RecordsPath() const { return role_.data_folder + "/control.log"; }
  std::string TargetsPath() const { return role_.data_folder + "/targets.log"; }

  std::optional<fleet_error> OpenRecords() {
    std::error_code failed;
    std::filesystem::create_directories(role_.data_folder, failed);
    if (failed) {
      return fleet_error{role_.data_folder + ": " + failed.message()};
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
         {"founds_fleet", role_.founds_fleet},
         {"records", static_cast<std::int64_t>(found.records.size())},
         {"torn_bytes", static_cast<std::int64_t>(found.torn_bytes)},
         {"entry",
          static_cast<std::int64_t>(control_->agreed().chosen_index().value)},
         {"manifest", static_cast<std::int64_t>(
                          control_->published().published().version.value)}});
    if (found.rewrite_error) FailStorage(*found.rewrite_error);
    return std::nullopt;
  }

  // Without it the targets only take longer to be known again.
  void RestoreTargets() {
    auto opened = saved_targets_.Open(TargetsPath());
    if (const auto* error = std::get_if<storage_error>(&opened)) {
      log_.Write("targets_not_restored",
                 {{"file", error->path}, {"reason", error->reason}});
      return;
    }
    for (const std::string& bytes : std::get<opened_log>(opened).records) {
      wire::target_snapshot saved;
      if (saved.ParseFromString(bytes)) {
        control_->Restore(Now(), saved);
      } else {
        log_.Write("targets_not_restored",
                   {{"file", TargetsPath()}, {"reason", "unreadable record"}});
      }
    }
  }

  void Tick() {
    const instant now = Now();
    next_tick_ = now + kTickInterval;
    if (auto changed =
            file_->ReadChanged(now, signals_->reload.exchange(false), &log_)) {
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
    if (!storage_failed_ || now - *storage_failed_ < kStorageRetry) return;
    storage_failed_ = now;
    record_log records;
    auto opened = records.Open(RecordsPath());
    const auto* found = std::get_if<opened_log>(&opened);
    if (found == nullptr || found->rewrite_error) return;
    records_ = std::move(records);
    storage_failed_.reset();
    log_.Write("storage_restored", {{"file", RecordsPath()}});
    Dispatch(storage_restored{});
  }

  void FailStorage(const storage_error& error) {
    if (!storage_failed_) {
      log_.Write("storage_failed",
                 {{"file", error.path}, {"reason", error.reason}});
    }
    storage_failed_ = Now();
    tell_failure_ = true;
  }

  void HandleCalls() {
    eventfd_t ignored = 0;
    eventfd_read(wake_file_, &ignored);
    for (admin_queue::item& item : calls_.TakeAll()) HandleCall(&item);
  }

  void HandleCall(admin_queue::item* item) {
    control_call call = adapter_.calls.decode(item->request);
    if (const auto* refused = std::get_if<refused_call>(&call)) {
      ++counts_.refused_calls;
      log_.Write("call_refused", {{"method", item->request.method},
                                  {"path", item->request.path},
                                  {"status", refused->status},
                                  {"reason", refused->reason}});
      item->answer(adapter_.calls.answer_refused(*refused));
    } else if (auto* report = std::get_if<target_report_received>(&call)) {
      const target_phase phase = report->report.phase;
      Dispatch(std::move(*report));
      item->answer(adapter_.calls.answer_report(
          control_->CanConfirmReport(Now(), phase)));
    } else if (auto* ended = std::get_if<target_ended>(&call)) {
      Dispatch(std::move(*ended));
      item->answer(adapter_.calls.answer_report(
          control_->CanConfirmReport(Now(), target_phase::kGone)));
    } else {
      auto& order = std::get<published_order>(call);
      const operator_call id{++last_call_};
      waiting_[id] = {std::move(item->request),
                      std::holds_alternative<read_published>(order),
                      std::move(item->answer), Now()};
      waiting_[id].request.body.clear();
      Dispatch(operator_order_received{id, std::move(order)});
    }
  }

  void Dispatch(const control_event& event) {
    for (control_effect& effect : control_->Reduce(Now(), event)) {
      std::visit([this](auto& e) { Carry(e); }, effect);
    }
    if (std::exchange(tell_failure_, false)) Dispatch(storage_failed{});
  }

  // Until the reducer knows, nothing leaves that may rest on the lost record.
  bool IsStorageLost() const { return tell_failure_; }

  void Carry(const persist_record& effect) {
    if (storage_failed_) return;
    auto written = records_.Append(effect.record.SerializeAsString());
    if (const auto* error = std::get_if<storage_error>(&written)) {
      FailStorage(*error);
    }
  }
  void Carry(const rewrite_records& effect) {
    if (storage_failed_) return;
    std::vector<std::string> records;
    for (const wire::stored_record& record : effect.records) {
      records.push_back(record.SerializeAsString());
    }
    auto written = records_.Rewrite(records);
    if (const auto* error = std::get_if<storage_error>(&written)) {
      FailStorage(*error);
    }
  }
  void Carry(const bootstrap_blocked& effect) {
    log_.Write("founding_stuck", {{"control", effect.replica.value}});
  }
  void Carry(const answer_operator& effect) {
    auto it = waiting_.find(effect.call);
    if (it == waiting_.end()) return;
    const order_outcome outcome =
        IsStorageLost() ? order_outcome_unknown{"the disk takes no record"}
                        : effect.outcome;
    LogOrder(it->second.request, outcome);
    counts_.order_latency.Count(Now() - it->second.asked);
    it->second.answer(adapter_.calls.answer_order(
        it->second.request, outcome, it->second.is_read, control_->published(),
        role_.calls.port));
    waiting_.erase(it);
  }
  void Carry(const send_to_control& effect) {
    if (!IsStorageLost()) links_.Send(Now(), effect.to, effect.message);
  }
  void Carry(const send_to_follower& effect) {
    if (!IsStorageLost()) links_.Reply(effect.to, effect.message);
  }
  void Carry(const target_report_evaluated& effect) {
    const target_report& report = effect.report;
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
         {"outdated", effect.verdict == report_result::kOutdated}});
  }
  void Carry(const voters_planned& effect) {
    log_.Write("voters_planned", {{"removed", effect.change.removed.value},
                                  {"added", effect.change.added.value}});
  }
  void Carry(const state_published& effect) {
    std::string closed;
    for (const data_centre_name& name : effect.closed) {
      closed += (closed.empty() ? "" : ",") + name.value;
    }
    log_.Write("state_published",
               {{"entry", static_cast<std::int64_t>(effect.index.value)},
                {"manifest", static_cast<std::int64_t>(effect.version.value)},
                {"closed", closed}});
  }
  void Carry(const save_targets& effect) {
    if (storage_failed_) return;
    auto written = saved_targets_.Rewrite({effect.targets.SerializeAsString()});
    const auto* error = std::get_if<storage_error>(&written);
    if (error == nullptr) return;
    log_.Write("targets_not_saved",
               {{"file", error->path}, {"reason", error->reason}});
    // A log that failed takes nothing until it's opened anew.
    saved_targets_ = record_log();
    auto opened = saved_targets_.Open(TargetsPath());
    if (const auto* again = std::get_if<storage_error>(&opened)) {
      log_.Write("targets_not_saved",
                 {{"file", again->path}, {"reason", again->reason}});
    }
  }
  void Carry(const majority_changed& effect) {
    log_.Write("majority", {{"heard", effect.heard}});
  }
  void Carry(const follower_event& effect) { LogNote(&log_, effect); }

  void LogOrder(const http_request& request, const order_outcome& outcome) {
    std::string result = "done";
    std::string detail;
    if (const auto* other = std::get_if<order_redirected>(&outcome)) {
      result = "redirected";
      detail = other->to.value;
    } else if (const auto* unsure =
                   std::get_if<order_outcome_unknown>(&outcome)) {
      result = "unsure";
      detail = unsure->reason;
    }
    ++counts_.orders[result];
    log_.Write(
        "order",
        {{"method", request.method},
         {"path", request.path},
         {"result", result},
         {"detail", detail},
         {"entry",
          static_cast<std::int64_t>(control_->agreed().chosen_index().value)},
         {"manifest", static_cast<std::int64_t>(
                          control_->published().published().version.value)}});
  }

  const fleet_settings& settings_;
  const control_addresses& role_;
  const fleet_adapter& adapter_;
  settings_file* file_;
  process_signals* signals_;
  event_log log_;
  int wake_file_;
  admin_queue calls_;
  zmq::context_t context_;
  fleet_links links_;
  record_log records_;
  record_log saved_targets_;
  std::unique_ptr<control_instance> control_;
  control_counts counts_;
  query_port queries_;
  std::unique_ptr<http_server> server_;
  std::map<operator_call, waiting_call> waiting_;
  std::uint64_t last_call_ = 0;
  // When the disk last refused a record.
  std::optional<instant> storage_failed_;
  bool tell_failure_ = false;  // The reducer is still to be told.
  instant next_tick_;
};

}  // namespace

std::variant<std::monostate, fleet_error> RunControl(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals) {
  return RunLoop<control_loop>(settings, adapter, file, signals);
}

}  // namespace lavendertack
