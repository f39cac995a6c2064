#include "UnitTests/Control/fleet_simulation.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace lavendertack::testing {
namespace {

constexpr milliseconds kTickInterval{25};
constexpr std::size_t kSeedCount = 3;
const std::string kLogPath = "data/control.log";

}  // namespace

std::string TestManifest(std::uint64_t version, const std::string& content) {
  return std::to_string(version) + " " + content;
}

std::optional<manifest> DecodeTestManifest(const std::string& text) {
  std::istringstream in(text);
  manifest decoded;
  std::string content;
  if (!(in >> decoded.version.value)) return std::nullopt;
  in >> content;
  for (const char letter : content) {
    const auto port = static_cast<unsigned char>(letter);
    const service_name service{std::string(1, letter)};
    decoded.routes[{{1}, {port}}] = {.shares = {{service, 1}}, .priority = 0};
    decoded.services.push_back({.name = service});
  }
  return decoded;
}

fleet_simulation::fleet_simulation(const fleet_simulation_settings& settings)
    : settings_(settings), random_(settings.seed) {
  for (std::size_t i = 0; i < settings.controls; ++i) AddControlNode();
  for (std::size_t i = 0; i < settings.controls; ++i) Start(i);
  for (std::size_t i = 0; i < settings.entries; ++i) {
    entries_.push_back({.name = {"10.1.0." + std::to_string(i + 1)}});
    StartEntry(i);
  }
}

std::vector<instance_name> fleet_simulation::Seeds() const {
  std::vector<instance_name> seeds;
  for (std::size_t i = 0; i < std::min(kSeedCount, settings_.controls); ++i) {
    seeds.push_back({"10.0.0." + std::to_string(i + 1)});
  }
  return seeds;
}

void fleet_simulation::Start(std::size_t i) {
  control_node& node = controls_[i];
  if (node.instance != nullptr) return;
  node.records = std::make_unique<record_log>(node.disk->FileSystem());
  std::variant<opened_log, storage_error> opened;
  try {
    opened = node.records->Open(kLogPath);
  } catch (const power_failure&) {
    LosePower(i);
    return;
  }
  const auto* found = std::get_if<opened_log>(&opened);
  if (found == nullptr) throw invariant_violation("can't open the log file");
  // Only initial instances at their first start, and instances with log
  // records, may bootstrap the fleet. An instance that lost its disk may not.
  const bool is_initial_start = node.incarnation == 0 && i < settings_.controls;
  const bool may_bootstrap = is_initial_start || !found->records.empty();
  if (node.storage.value == 0 || !settings_.reuses_lost_storage_id) {
    node.storage = {random_() | 1};
  }
  node.instance = std::make_unique<control_instance>(
      control_settings{.self = node.name,
                       .data_centre = {"dc-" + std::to_string(i % 4)},
                       .seeds = Seeds(),
                       .bootstrap_voters = may_bootstrap
                                               ? Seeds()
                                               : std::vector<instance_name>{},
                       .new_storage_id = node.storage,
                       .seed = random_(),
                       .tolerated_losses = settings_.tolerated_losses,
                       .heartbeat_interval = milliseconds(1200),
                       .limits = {.kept_entries = 24,
                                  .rewrite_bytes = 4096,
                                  .snapshot_interval = seconds(1)}},
      DecodeTestManifest);
  std::vector<wire::stored_record> records(found->records.size());
  for (std::size_t r = 0; r < records.size(); ++r) {
    if (!records[r].ParseFromString(found->records[r])) {
      throw invariant_violation("a log record can't be decoded");
    }
  }
  node.instance->Restore(records);
  node.storage_failed = found->rewrite_error.has_value();
  const std::uint64_t incarnation = ++node.incarnation;
  queue_.ScheduleAfter(Delay(),
                       [this, i, incarnation] { TickControl(i, incarnation); });
}

void fleet_simulation::StartEntry(std::size_t i) {
  entry_node& node = entries_[i];
  node.applied = {};
  node.instance = std::make_unique<entry_instance>(
      entry_settings{.self = node.name,
                     .data_centre = {"dc-" + std::to_string(i % 4)},
                     .seeds = Seeds(),
                     .seed = random_(),
                     .stop_within = milliseconds(6000)});
  const std::uint64_t incarnation = ++node.incarnation;
  queue_.ScheduleAfter(Delay(),
                       [this, i, incarnation] { TickEntry(i, incarnation); });
}

void fleet_simulation::RestartEntry(std::size_t i) { StartEntry(i); }

std::size_t fleet_simulation::AddControl() {
  const std::size_t i = controls_.size();
  AddControlNode();
  Start(i);
  return i;
}

void fleet_simulation::AddControlNode() {
  control_node& added = controls_.emplace_back();
  added.name = {"10.0.0." + std::to_string(controls_.size())};
  added.disk = std::make_unique<fake_disk>();
}

microseconds fleet_simulation::Delay() {
  return microseconds(1000 + static_cast<std::int64_t>(random_() % 8000));
}

microseconds fleet_simulation::TransferTime(std::size_t from, std::size_t to,
                                            std::size_t bytes) {
  const microseconds latency = Delay();
  if (settings_.link_bytes_per_s == 0) return latency;
  const microseconds length(static_cast<std::int64_t>(
      bytes * 1'000'000 / settings_.link_bytes_per_s));
  instant& sent_until = controls_[from].sent_until;
  sent_until = std::max(Now(), sent_until) + length;
  // A message is received while it is sent, unless another one is received.
  instant& received_until = controls_[to].received_until;
  received_until = std::max(sent_until + latency, received_until + length);
  return received_until - Now();
}

void fleet_simulation::TickControl(std::size_t i, std::uint64_t incarnation) {
  control_node& node = controls_[i];
  if (node.instance == nullptr || node.incarnation != incarnation) return;
  if (Now() < node.paused_until) {
    queue_.ScheduleAfter(node.paused_until - Now(), [this, i, incarnation] {
      TickControl(i, incarnation);
    });
    return;
  }
  RetryStorage(i);
  if (node.instance == nullptr) return;
  Dispatch(i, control_tick{});
  queue_.ScheduleAfter(kTickInterval,
                       [this, i, incarnation] { TickControl(i, incarnation); });
}

void fleet_simulation::RetryStorage(std::size_t i) {
  control_node& node = controls_[i];
  if (!node.storage_failed || Now() < node.disk_full_until) return;
  auto records = std::make_unique<record_log>(node.disk->FileSystem());
  std::variant<opened_log, storage_error> opened;
  try {
    opened = records->Open(kLogPath);
  } catch (const power_failure&) {
    LosePower(i);
    return;
  }
  const auto* found = std::get_if<opened_log>(&opened);
  if (found == nullptr || found->rewrite_error) return;
  node.records = std::move(records);
  node.storage_failed = false;
  Dispatch(i, storage_restored{});
}

void fleet_simulation::TickEntry(std::size_t i, std::uint64_t incarnation) {
  entry_node& node = entries_[i];
  if (node.incarnation != incarnation) return;
  node.instance->Tick(Now());
  for (follow_request& request : node.instance->Requests(Now())) {
    if (auto to = FindControl(request.to)) {
      if (!IsReachable(i, *to)) continue;
      const link_id link{"entry " + std::to_string(i) + " " +
                         std::to_string(incarnation) + " " + request.to.value};
      queue_.ScheduleAfter(Delay(),
                           [this, to, link, message = request.message] {
                             Deliver(*to, link, message);
                           });
    }
  }
  queue_.ScheduleAfter(milliseconds(50),
                       [this, i, incarnation] { TickEntry(i, incarnation); });
}

std::optional<std::size_t> fleet_simulation::FindControl(
    const instance_name& name) const {
  for (std::size_t i = 0; i < controls_.size(); ++i) {
    if (controls_[i].name == name) return i;
  }
  return std::nullopt;
}

bool fleet_simulation::IsBlocked(std::size_t from, std::size_t to) const {
  return blocked_links_.contains({from, to});
}

bool fleet_simulation::IsReachable(std::size_t entry,
                                   std::size_t control) const {
  const auto isolated = reachable_by_entry_.find(entry);
  return isolated == reachable_by_entry_.end() ||
         isolated->second.contains(control);
}

void fleet_simulation::Dispatch(std::size_t i, const control_event& event) {
  control_node& node = controls_[i];
  try {
    auto effects = node.instance->Reduce(Now(), event);
    for (control_effect& effect : effects) {
      if (!Apply(i, &effect)) break;
    }
    if (node.storage_failed && !node.instance->agreed().has_failed_storage()) {
      Dispatch(i, storage_failed{});
    }
  } catch (const power_failure&) {
    LosePower(i);
  }
}

void fleet_simulation::LosePower(std::size_t i) {
  Kill(i);
  controls_[i].disk->PowerFailure(
      {.bytes = static_cast<unsynced_bytes>(random_() % 4),
       .folder_changes_persisted = random_() % 2 == 0});
  queue_.ScheduleAfter(
      milliseconds(500 + static_cast<std::int64_t>(random_() % 2000)),
      [this, i] { Start(i); });
}

bool fleet_simulation::Write(std::size_t i,
                             const std::function<storage_result()>& write) {
  control_node& node = controls_[i];
  if (node.storage_failed) return true;
  const storage_result result = write();
  if (!std::holds_alternative<storage_error>(result)) return true;
  node.storage_failed = true;
  return false;
}

bool fleet_simulation::Apply(std::size_t i, control_effect* effect) {
  control_node& node = controls_[i];
  if (const auto* record = std::get_if<persist_record>(effect)) {
    return Write(i, [&] {
      return node.records->Append(record->record.SerializeAsString());
    });
  }
  if (const auto* rewrite = std::get_if<rewrite_records>(effect)) {
    std::vector<std::string> records;
    for (const auto& record : rewrite->records) {
      records.push_back(record.SerializeAsString());
    }
    return Write(i, [&] { return node.records->Rewrite(records); });
  }
  if (const auto* answer = std::get_if<answer_operator>(effect)) {
    auto it = node.calls.find(answer->call);
    if (it == node.calls.end()) return true;
    const outcome_callback done = std::move(it->second);
    node.calls.erase(it);
    done(answer->outcome);
  } else if (auto* send = std::get_if<send_to_control>(effect)) {
    const auto to = FindControl(send->to);
    if (!to || IsBlocked(i, *to)) return true;
    const link_id link{"control " + std::to_string(i) + " " +
                       std::to_string(*to)};
    const std::size_t bytes = send->message.ByteSizeLong();
    control_bytes_ += bytes;
    const microseconds time = TransferTime(i, *to, bytes);
    queue_.ScheduleAfter(
        time, [this, i, to, link,
               message = ConvertForOlderBuilds(i, *to, send->message)] {
          if (!IsBlocked(i, *to)) Deliver(*to, link, message);
        });
  } else if (auto* reply = std::get_if<send_to_follower>(effect)) {
    queue_.ScheduleAfter(
        Delay(), [this, to = reply->to, message = std::move(reply->message)] {
          DeliverReply(to, message);
        });
  }
  return true;
}

wire::fleet_message fleet_simulation::ConvertForOlderBuilds(
    std::size_t from, std::size_t to, wire::fleet_message message) const {
  const auto& older = settings_.older_builds;
  if (!message.has_agreement() ||
      (!older.contains(from) && !older.contains(to))) {
    return message;
  }
  wire::agreement_message* body = message.mutable_agreement();
  if (body->has_prepare()) {
    body->mutable_prepare()->clear_held();
    body->mutable_prepare()->clear_transfer_ms();
  } else if (body->has_promise()) {
    body->mutable_promise()->clear_knows_references();
  } else if (body->has_reject()) {
    body->mutable_reject()->clear_wait_ms();
  } else if (body->has_accept_again() || body->has_chosen_again()) {
    body->clear_body();
  }
  return message;
}

void fleet_simulation::Deliver(std::size_t to, const link_id& link,
                               const wire::fleet_message& message) {
  control_node& node = controls_[to];
  if (node.instance == nullptr) return;
  if (Now() < node.paused_until) {
    queue_.ScheduleAfter(node.paused_until - Now(), [this, to, link, message] {
      Deliver(to, link, message);
    });
    return;
  }
  Dispatch(to, control_message_received{link, message});
}

void fleet_simulation::DeliverReply(const link_id& to,
                                    const wire::fleet_message& message) {
  std::istringstream words(to.value);
  std::string kind;
  std::size_t i = 0;
  words >> kind >> i;
  if (kind == "control") {
    std::size_t sender = 0;
    words >> sender;
    if (!IsBlocked(sender, i)) Deliver(i, {}, message);
    return;
  }
  std::uint64_t incarnation = 0;
  std::string control;
  words >> incarnation >> control;
  if (!IsReachable(i, *FindControl({control}))) return;
  if (entries_[i].incarnation == incarnation) DeliverToEntry(i, message);
}

void fleet_simulation::DeliverToEntry(std::size_t to,
                                      const wire::fleet_message& message) {
  entry_node& node = entries_[to];
  if (message.update().has_state()) ++state_update_count_;
  node.instance->Receive(Now(), message);
  const log_index applied = node.instance->follower().applied();
  if (applied < node.applied) {
    throw invariant_violation(
        "the published state of an entry instance went back to an older log "
        "index");
  }
  node.applied = applied;
}

operator_call fleet_simulation::SubmitOrder(std::size_t i,
                                            const published_order& order,
                                            outcome_callback done) {
  control_node& node = controls_[i];
  const operator_call call{++next_call_};
  if (node.instance == nullptr) {
    done(order_outcome_unknown{"down"});
    return call;
  }
  node.calls[call] = std::move(done);
  if (Now() >= node.paused_until) {
    Dispatch(i, operator_order_received{call, order});
    return call;
  }
  // The thread that reads the call runs some time after the event loop.
  const milliseconds late(static_cast<std::int64_t>(random_() % 600));
  queue_.ScheduleAfter(
      node.paused_until - Now() + late,
      [this, i, call, order, incarnation = node.incarnation] {
        if (!IsUp(i) || controls_[i].incarnation != incarnation) return;
        Dispatch(i, operator_order_received{call, order});
      });
  return call;
}

void fleet_simulation::AbandonCall(std::size_t i, operator_call call) {
  Dispatch(i, operator_call_abandoned{call});
}

void fleet_simulation::Publish(std::size_t i, std::uint64_t version,
                               const std::string& content) {
  const std::string text = TestManifest(version, content);
  sent_texts_[version].insert(text);
  SubmitOrder(
      i, publish_manifest{{version}, text},
      [this, version](const order_outcome& outcome) {
        const auto* done = std::get_if<order_done>(&outcome);
        if (done == nullptr) return;
        ++acknowledged_count_;
        if (done->version.value < version) {
          throw invariant_violation(
              "a manifest was acknowledged, but an older one is the newest");
        }
        newest_acknowledged_ = std::max(newest_acknowledged_, version);
      });
}

bool fleet_simulation::PublishUntilDone(std::uint64_t version,
                                        milliseconds within) {
  const instant end = Now() + within;
  for (std::size_t i = 0; Now() < end; ++i) {
    Publish(i % controls_.size(), version, "abc");
    Run(milliseconds(400));
    if (newest_acknowledged_ >= version) return true;
  }
  return false;
}

void fleet_simulation::Read(std::size_t i) {
  const std::uint64_t min_version = newest_acknowledged_;
  SubmitOrder(
      i, read_published{},
      [this, i, min_version](const order_outcome& outcome) {
        if (!std::holds_alternative<order_done>(outcome)) return;
        const published_state& state = controls_[i].instance->published();
        CheckRead(min_version, state.published().version.value, state.text());
      });
}

void fleet_simulation::CheckRead(std::uint64_t min_version,
                                 std::uint64_t version,
                                 const std::string& text) {
  ++read_count_;
  if (version < min_version) {
    throw invariant_violation("read version " + std::to_string(version) +
                              " after version " + std::to_string(min_version) +
                              " was acknowledged");
  }
  if (version == 0) return;
  if (!sent_texts_[version].contains(text)) {
    throw invariant_violation("a read returned a manifest that was never sent");
  }
  const auto [it, added] = read_texts_.try_emplace(version, text);
  if (!added && it->second != text) {
    throw invariant_violation(
        "reads returned two different manifests of one version");
  }
}

void fleet_simulation::Report(std::size_t i, const target_report& report) {
  if (IsUp(i)) Dispatch(i, target_report_received{report});
}

void fleet_simulation::Kill(std::size_t i) {
  control_node& node = controls_[i];
  node.instance.reset();
  node.calls.clear();
  node.paused_until = {};
}

void fleet_simulation::FailPower(std::size_t i) {
  controls_[i].disk->FailPowerAfter(random_() % 6);
}

void fleet_simulation::WipeAndStart(std::size_t i) {
  Kill(i);
  controls_[i].disk->Clear();
  Start(i);
}

void fleet_simulation::Pause(std::size_t i, milliseconds time) {
  controls_[i].paused_until = Now() + time;
}

void fleet_simulation::FillDisk(std::size_t i, milliseconds time) {
  control_node& node = controls_[i];
  node.disk->LimitFreeBytes(random_() % 200);
  node.disk_full_until = Now() + time;
  queue_.ScheduleAfter(time, [this, i] {
    controls_[i].disk->LimitFreeBytes(std::uint64_t{1} << 40);
  });
}

void fleet_simulation::Partition(const std::set<std::size_t>& group,
                                 bool one_way) {
  for (std::size_t a = 0; a < controls_.size(); ++a) {
    for (std::size_t b = 0; b < controls_.size(); ++b) {
      if (group.contains(a) == group.contains(b)) continue;
      if (group.contains(a) || !one_way) blocked_links_.insert({a, b});
    }
  }
}

}  // namespace lavendertack::testing
