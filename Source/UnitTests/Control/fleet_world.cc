#include "UnitTests/Control/fleet_world.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace lavendertack::testing {
namespace {

constexpr milliseconds kTick{25};
constexpr std::size_t kSeeds = 3;
const std::string kRecords = "data/control.log";

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
    decoded.routes[{{1}, {port}}] = {.shares = {{{std::string(1, letter)}, 1}},
                                     .priority = 0};
  }
  return decoded;
}

fleet_world::fleet_world(fleet_settings_of_test settings)
    : settings_(settings), random_(settings.seed) {
  for (std::size_t i = 0; i < settings.controls; ++i) AddMachine();
  for (std::size_t i = 0; i < settings.controls; ++i) Start(i);
  for (std::size_t i = 0; i < settings.entries; ++i) {
    entries_.push_back({.name = {"10.1.0." + std::to_string(i + 1)}});
    StartEntry(i);
  }
}

std::vector<instance_name> fleet_world::Seeds() const {
  std::vector<instance_name> seeds;
  for (std::size_t i = 0; i < std::min(kSeeds, settings_.controls); ++i) {
    seeds.push_back({"10.0.0." + std::to_string(i + 1)});
  }
  return seeds;
}

void fleet_world::Start(std::size_t i) {
  machine& one = machines_[i];
  if (one.instance != nullptr) return;
  one.records = std::make_unique<record_log>(one.disk->Hooks());
  std::variant<opened_log, storage_error> opened;
  try {
    opened = one.records->Open(kRecords);
  } catch (const power_failure&) {
    LosePower(i);
    return;
  }
  const auto* found = std::get_if<opened_log>(&opened);
  if (found == nullptr) throw fleet_violation("the log can't be opened");
  // A disk that was lost comes back without the right to found a fleet.
  const bool founds = one.life == 0 && i < settings_.controls;
  const bool may_found = founds || !found->records.empty();
  if (one.identity.value == 0 || !settings_.keeps_lost_identity) {
    one.identity = {random_() | 1};
  }
  one.instance = std::make_unique<control_instance>(
      control_settings{.self = one.name,
                       .data_centre = {"dc-" + std::to_string(i % 4)},
                       .seeds = Seeds(),
                       .bootstrap_voters =
                           may_found ? Seeds() : std::vector<instance_name>{},
                       .new_storage_id = one.identity,
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
      throw fleet_violation("a record can't be read");
    }
  }
  one.instance->Restore(records);
  one.storage_failed = found->rewrite_error.has_value();
  const std::uint64_t life = ++one.life;
  queue_.After(Delay(), [this, i, life] { TickControl(i, life); });
}

void fleet_world::StartEntry(std::size_t i) {
  entry_machine& one = entries_[i];
  one.applied = {};
  one.instance = std::make_unique<entry_instance>(
      entry_settings{.self = one.name,
                     .data_centre = {"dc-" + std::to_string(i % 4)},
                     .seeds = Seeds(),
                     .seed = random_(),
                     .stop_within = milliseconds(6000)});
  const std::uint64_t life = ++one.life;
  queue_.After(Delay(), [this, i, life] { TickEntry(i, life); });
}

void fleet_world::RestartEntry(std::size_t i) { StartEntry(i); }

std::size_t fleet_world::AddControl() {
  const std::size_t i = machines_.size();
  AddMachine();
  Start(i);
  return i;
}

void fleet_world::AddMachine() {
  machine& added = machines_.emplace_back();
  added.name = {"10.0.0." + std::to_string(machines_.size())};
  added.disk = std::make_unique<fake_disk>();
}

microseconds fleet_world::Delay() {
  return microseconds(1000 + static_cast<std::int64_t>(random_() % 8000));
}

void fleet_world::TickControl(std::size_t i, std::uint64_t life) {
  machine& one = machines_[i];
  if (one.instance == nullptr || one.life != life) return;
  if (Now() < one.frozen_until) {
    queue_.After(one.frozen_until - Now(),
                 [this, i, life] { TickControl(i, life); });
    return;
  }
  RetryStorage(i);
  if (one.instance == nullptr) return;
  Dispatch(i, control_tick{});
  queue_.After(kTick, [this, i, life] { TickControl(i, life); });
}

void fleet_world::RetryStorage(std::size_t i) {
  machine& one = machines_[i];
  if (!one.storage_failed || Now() < one.disk_full_until) return;
  auto records = std::make_unique<record_log>(one.disk->Hooks());
  std::variant<opened_log, storage_error> opened;
  try {
    opened = records->Open(kRecords);
  } catch (const power_failure&) {
    LosePower(i);
    return;
  }
  const auto* found = std::get_if<opened_log>(&opened);
  if (found == nullptr || found->rewrite_error) return;
  one.records = std::move(records);
  one.storage_failed = false;
  Dispatch(i, storage_restored{});
}

void fleet_world::TickEntry(std::size_t i, std::uint64_t life) {
  entry_machine& one = entries_[i];
  if (one.life != life) return;
  one.instance->Tick(Now());
  for (follow_request& request : one.instance->Requests(Now())) {
    if (auto to = FindControl(request.to)) {
      const link_id link{"entry " + std::to_string(i) + " " +
                         std::to_string(life) + " " + request.to.value};
      queue_.After(Delay(), [this, to, link, message = request.message] {
        Deliver(*to, link, message);
      });
    }
  }
  queue_.After(milliseconds(50), [this, i, life] { TickEntry(i, life); });
}

std::optional<std::size_t> fleet_world::FindControl(
    const instance_name& name) const {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].name == name) return i;
  }
  return std::nullopt;
}

bool fleet_world::IsCut(std::size_t from, std::size_t to) const {
  return cuts_.contains({from, to});
}

void fleet_world::Dispatch(std::size_t i, const control_event& event) {
  machine& one = machines_[i];
  try {
    auto effects = one.instance->Reduce(Now(), event);
    for (control_effect& effect : effects) {
      if (!Carry(i, &effect)) break;
    }
    if (one.storage_failed && !one.instance->agreed().has_failed_storage()) {
      Dispatch(i, storage_failed{});
    }
  } catch (const power_failure&) {
    LosePower(i);
  }
}

void fleet_world::LosePower(std::size_t i) {
  Kill(i);
  machines_[i].disk->PowerFailure(
      {.bytes = static_cast<unsynced_bytes>(random_() % 4),
       .names_last = random_() % 2 == 0});
  queue_.After(milliseconds(500 + static_cast<std::int64_t>(random_() % 2000)),
               [this, i] { Start(i); });
}

bool fleet_world::Write(std::size_t i,
                        const std::function<storage_result()>& write) {
  machine& one = machines_[i];
  if (one.storage_failed) return true;
  const storage_result result = write();
  if (!std::holds_alternative<storage_error>(result)) return true;
  one.storage_failed = true;
  return false;
}

// False when what follows may rest on a record that was lost.
bool fleet_world::Carry(std::size_t i, control_effect* effect) {
  machine& one = machines_[i];
  if (const auto* record = std::get_if<persist_record>(effect)) {
    return Write(i, [&] {
      return one.records->Append(record->record.SerializeAsString());
    });
  }
  if (const auto* rewrite = std::get_if<rewrite_records>(effect)) {
    std::vector<std::string> records;
    for (const auto& record : rewrite->records) {
      records.push_back(record.SerializeAsString());
    }
    return Write(i, [&] { return one.records->Rewrite(records); });
  }
  if (const auto* answer = std::get_if<answer_operator>(effect)) {
    auto it = one.calls.find(answer->call);
    if (it == one.calls.end()) return true;
    const outcome_function done = std::move(it->second);
    one.calls.erase(it);
    done(answer->outcome);
  } else if (auto* send = std::get_if<send_to_control>(effect)) {
    const auto to = FindControl(send->to);
    if (!to || IsCut(i, *to)) return true;
    const link_id link{"control " + std::to_string(i) + " " +
                       std::to_string(*to)};
    queue_.After(Delay(),
                 [this, i, to, link, message = std::move(send->message)] {
                   if (!IsCut(i, *to)) Deliver(*to, link, message);
                 });
  } else if (auto* reply = std::get_if<send_to_follower>(effect)) {
    queue_.After(Delay(),
                 [this, to = reply->to, message = std::move(reply->message)] {
                   DeliverReply(to, message);
                 });
  }
  return true;
}

void fleet_world::Deliver(std::size_t to, const link_id& link,
                          const wire::fleet_message& message) {
  machine& one = machines_[to];
  if (one.instance == nullptr) return;
  if (Now() < one.frozen_until) {
    queue_.After(one.frozen_until - Now(),
                 [this, to, link, message] { Deliver(to, link, message); });
    return;
  }
  Dispatch(to, control_message_received{link, message});
}

void fleet_world::DeliverReply(const link_id& to,
                               const wire::fleet_message& message) {
  std::istringstream words(to.value);
  std::string kind;
  std::size_t i = 0;
  words >> kind >> i;
  if (kind == "control") {
    std::size_t answering = 0;
    words >> answering;
    if (!IsCut(answering, i)) Deliver(i, {}, message);
    return;
  }
  std::uint64_t life = 0;
  words >> life;
  if (entries_[i].life == life) DeliverToEntry(i, message);
}

void fleet_world::DeliverToEntry(std::size_t to,
                                 const wire::fleet_message& message) {
  entry_machine& one = entries_[to];
  one.instance->Receive(Now(), message);
  const log_index applied = one.instance->follower().applied();
  if (applied < one.applied) {
    throw fleet_violation("an entry instance went back");
  }
  one.applied = applied;
}

void fleet_world::Order(std::size_t i, const published_order& order,
                        outcome_function done) {
  machine& one = machines_[i];
  if (one.instance == nullptr || Now() < one.frozen_until) {
    done(order_outcome_unknown{"down"});
    return;
  }
  const operator_call call{++next_call_};
  one.calls[call] = std::move(done);
  Dispatch(i, operator_order_received{call, order});
}

void fleet_world::Publish(std::size_t i, std::uint64_t version,
                          const std::string& content) {
  const std::string text = TestManifest(version, content);
  sent_[version].insert(text);
  Order(i, publish_manifest{{version}, text},
        [this, version](const order_outcome& outcome) {
          const auto* done = std::get_if<order_done>(&outcome);
          if (done == nullptr) return;
          ++acknowledged_count_;
          if (done->version.value < version) {
            throw fleet_violation("acknowledged, yet an older one is newest");
          }
          newest_acknowledged_ = std::max(newest_acknowledged_, version);
        });
}

bool fleet_world::PublishUntilDone(std::uint64_t version, milliseconds within) {
  const instant end = Now() + within;
  for (std::size_t i = 0; Now() < end; ++i) {
    Publish(i % machines_.size(), version, "abc");
    Run(milliseconds(400));
    if (newest_acknowledged_ >= version) return true;
  }
  return false;
}

void fleet_world::Read(std::size_t i) {
  const std::uint64_t least = newest_acknowledged_;
  Order(i, read_published{}, [this, i, least](const order_outcome& outcome) {
    if (!std::holds_alternative<order_done>(outcome)) return;
    const published_state& state = machines_[i].instance->published();
    CheckRead(least, state.published().version.value, state.text());
  });
}

void fleet_world::CheckRead(std::uint64_t least, std::uint64_t version,
                            const std::string& text) {
  ++read_count_;
  if (version < least) {
    throw fleet_violation("read back " + std::to_string(version) + " after " +
                          std::to_string(least) + " was acknowledged");
  }
  if (version == 0) return;
  if (!sent_[version].contains(text)) {
    throw fleet_violation("what is read back was never sent");
  }
  const auto [it, added] = read_back_.try_emplace(version, text);
  if (!added && it->second != text) {
    throw fleet_violation("two contents of one version were read back");
  }
}

void fleet_world::Report(std::size_t i, const target_report& report) {
  if (IsUp(i)) Dispatch(i, target_report_received{report});
}

void fleet_world::Kill(std::size_t i) {
  machine& one = machines_[i];
  one.instance.reset();
  one.calls.clear();
  one.frozen_until = {};
}

void fleet_world::FailPower(std::size_t i) {
  machines_[i].disk->FailPowerAfter(random_() % 6);
}

void fleet_world::WipeAndStart(std::size_t i) {
  Kill(i);
  machines_[i].disk->Clear();
  Start(i);
}

void fleet_world::Freeze(std::size_t i, milliseconds time) {
  machines_[i].frozen_until = Now() + time;
}

void fleet_world::FillDisk(std::size_t i, milliseconds time) {
  machine& one = machines_[i];
  one.disk->FullAfter(random_() % 200);
  one.disk_full_until = Now() + time;
  queue_.After(time, [this, i] {
    machines_[i].disk->FullAfter(std::uint64_t{1} << 40);
  });
}

void fleet_world::Cut(const std::set<std::size_t>& group, bool one_way) {
  for (std::size_t a = 0; a < machines_.size(); ++a) {
    for (std::size_t b = 0; b < machines_.size(); ++b) {
      if (group.contains(a) == group.contains(b)) continue;
      if (group.contains(a) || !one_way) cuts_.insert({a, b});
    }
  }
}

}  // namespace lavendertack::testing
