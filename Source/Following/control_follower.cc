#include "Following/control_follower.h"

#include <algorithm>
#include <iterator>

#include "Common/hash.h"
#include "Following/target_codec.h"
#include "Forwarding/demand.h"

namespace lavendertack {
namespace {

// A control instance counts as unreachable after this many request intervals
// without an update.
constexpr int kReachableIntervals = 3;
// Time between two requests while a data centre is suspected to be cut off.
constexpr milliseconds kSuspicionInterval{250};
// Control instances send an update twice a second. If those of a data centre
// send none for this long, the others are asked about the data centre.
constexpr milliseconds kUpdateSilence{700};
// There are several events within this time, so a longer gap means that the
// process was suspended.
constexpr milliseconds kSuspensionThreshold{1000};
// Reports relayed by a control instance stay valid for this long after it was
// lost or restarted: its targets back off before they report to another control
// instance.
constexpr milliseconds kReportRetention{10'000};
// Time without an update after which a control instance is logged as lost and
// its reports begin to expire.
constexpr milliseconds kControlLostTimeout{5000};
// A control instance that isn't a seed is removed when it has sent no update
// and no other instance has listed it for this long.
constexpr milliseconds kControlRetention{30'000};
// Targets that ended, or that no control instance reports, are kept for this
// time, as long as a connection may last.
constexpr milliseconds kTargetRetention{70'000};
// Maximum time to wait for the other control instances once the first one has
// sent all its targets.
constexpr milliseconds kMaxSyncWait{1000};
// Time between two requests to an unreachable control instance. Shorter than
// the interval in the settings, because callers wait for the first update when
// all control instances were lost.
constexpr milliseconds kRetryInterval{100};
// Number of unanswered requests to a control instance after which the interval
// in the settings applies even if it is unreachable.
constexpr int kMaxRetryRequests = 30;
// Time for which the source of the published state may leave the follower
// behind a newer state before another control instance is asked. It doubles
// with each change of the source, as the state may just need long to arrive.
constexpr milliseconds kStateWait{1000};
constexpr int kMaxStateWaitDoublings = 3;
// Maximum number of followed control instances.
constexpr std::size_t kMaxControls = 16;

}  // namespace

control_follower::control_follower(follower_settings settings)
    : settings_(std::move(settings)) {
  SetSeeds(instant{}, settings_.seeds);
}

void control_follower::SetSeeds(instant now,
                                const std::vector<instance_name>& seeds) {
  settings_.seeds = seeds;
  for (const instance_name& name : seeds) {
    if (name != settings_.self) controls_[name].last_listed = now;
  }
}

void control_follower::AddControlName(instant now,
                                      const instance_name& control) {
  if (control == settings_.self) return;
  if (controls_.size() >= kMaxControls && !controls_.contains(control)) return;
  controls_[control].last_listed = now;
}

bool control_follower::HandleAnnouncement(instant now,
                                          const instance_name& control) {
  AddControlName(now, control);
  auto it = controls_.find(control);
  if (it == controls_.end() || IsReachable(now, control)) return false;
  it->second.last_request.reset();
  return true;
}

std::set<instance_name> control_follower::ControlNames() const {
  std::set<instance_name> names;
  for (const auto& [name, control] : controls_) names.insert(name);
  return names;
}

bool control_follower::IsReachable(instant now,
                                   const instance_name& name) const {
  auto it = controls_.find(name);
  return it != controls_.end() && it->second.last_update &&
         now - *it->second.last_update <
             kReachableIntervals * settings_.follow_interval;
}

std::vector<follower_event> control_follower::Apply(
    instant now, const instance_name& from, const wire::update& update) {
  std::vector<follower_event> events;
  DetectSuspension(now);
  if (!controls_.contains(from) && controls_.size() >= kMaxControls) {
    return events;
  }
  if (!IsReachable(now, from)) events.emplace_back(control_found{from});
  followed_control& control = controls_[from];
  control.last_update = now;
  state_.targets.RecordContact(now, from);
  control.unanswered_requests = 0;
  control.last_listed = now;
  control.reports_expiring = false;
  control.data_centre = {update.data_centre()};
  control.current = update.current();
  for (const std::string& name : update.controls()) AddControlName(now, {name});
  ApplyState(now, from, update, &events);
  ReviewStateSource(now, from);
  ApplyTargets(now, from, update, &events);
  for (const wire::demand_record& row : update.demand()) {
    state_.demand[{row.service()}][{row.data_centre()}] = row.requests_per_s();
  }
  return events;
}

void control_follower::ApplyState(instant now, const instance_name& from,
                                  const wire::update& update,
                                  std::vector<follower_event>* events) {
  followed_control& control = controls_[from];
  control.closed.clear();
  for (const std::string& name : update.closed_data_centres()) {
    control.closed.insert({name});
  }
  control.closed_index = {update.state_to()};
  const log_index from_index{update.state_from()};
  const log_index to_index{update.state_to()};
  const bool is_applicable = update.whole_state() || from_index <= applied_;
  if (update.has_state() && is_applicable && to_index > applied_) {
    if (update.whole_state()) state_.routes.clear();
    for (const wire::route_record& record : update.routes()) {
      const ipv4_endpoint address{{record.ip()},
                                  {static_cast<std::uint16_t>(record.port())}};
      if (record.removed()) {
        state_.routes.erase(address);
      } else {
        state_.routes[address] = DecodeRoute(record);
      }
    }
    state_.priorities = PrioritiesOf(state_.routes);
    applied_ = to_index;
    version_ = {update.manifest_version()};
    cold_start_ = milliseconds(update.cold_start_ms());
    state_.has_manifest = version_.value > 0;
    behind_since_.reset();
    source_changes_ = 0;
    events->emplace_back(state_followed{
        from, version_, applied_,
        static_cast<std::size_t>(update.routes_size()), update.whole_state()});
  }
  UpdateClosed(now);
}

void control_follower::InitializeStateSource() {
  if (state_source_ || controls_.empty()) return;
  // Differs between followers, so that each control instance serves some.
  const std::uint64_t choice =
      StableHash(settings_.self.value) % controls_.size();
  state_source_ =
      std::next(controls_.begin(), static_cast<std::ptrdiff_t>(choice))->first;
}

void control_follower::ReviewStateSource(instant now,
                                         const instance_name& from) {
  followed_control& control = controls_[from];
  if (settings_.is_control || control.closed_index <= applied_) return;
  if (!behind_since_) behind_since_ = now;
  if (!state_source_ || from == *state_source_) return;
  const auto source = controls_.find(*state_source_);
  // A source that has answered may be sending the state.
  const bool is_source_usable = source != controls_.end() &&
                                source->second.last_update &&
                                (source->second.current || !control.current);
  const milliseconds wait =
      kStateWait * (1 << std::min(source_changes_, kMaxStateWaitDoublings));
  if (is_source_usable && now - *behind_since_ < wait) return;
  state_source_ = from;
  behind_since_ = now;
  ++source_changes_;
  control.last_request.reset();  // Due with the next call of `Requests`.
}

// A data centre counts as closed when at least one of the reachable control
// instances with the newest published state reports it as closed.
void control_follower::UpdateClosed(instant now) {
  log_index newest;
  for (const auto& [name, control] : controls_) {
    if (IsReachable(now, name)) newest = std::max(newest, control.closed_index);
  }
  if (newest.value == 0) return;
  state_.closed.clear();
  for (const auto& [name, control] : controls_) {
    if (!IsReachable(now, name) || control.closed_index != newest) continue;
    state_.closed.insert(control.closed.begin(), control.closed.end());
  }
}

void control_follower::ApplyTargets(instant now, const instance_name& from,
                                    const wire::update& update,
                                    std::vector<follower_event>* events) {
  followed_control& control = controls_[from];
  if (update.target_epoch() == 0) return;
  if (control.target_epoch != update.target_epoch()) {
    if (update.targets_from() != 0) return;  // A full update will follow.
    // The control instance has restarted and lost its earlier reports.
    if (control.target_epoch != 0) {
      state_.targets.ExpireSource(from, now + kReportRetention);
    }
    control.target_epoch = update.target_epoch();
    control.target_revision = 0;
  }
  if (update.targets_from() > control.target_revision) return;
  for (const wire::target_record& record : update.peer_targets()) {
    ApplyTarget(now, from, record, events);
  }
  for (const wire::target_record& record : update.targets()) {
    ApplyTarget(now, from, record, events);
  }
  control.target_revision =
      std::max<std::uint64_t>(control.target_revision, update.targets_to());
  control.has_sent_all_targets = true;
  if (!first_sync_at_) first_sync_at_ = now;
}

void control_follower::ApplyTarget(instant now, const instance_name& from,
                                   const wire::target_record& record,
                                   std::vector<follower_event>* events) {
  auto report = DecodeTarget(record);
  if (!report) {
    events->emplace_back(target_record_refused{from, {record.id()}});
    return;
  }
  LimitRestoredReport(now, &*report);
  if (auto change = state_.targets.Apply(now, from, *report)) {
    events->emplace_back(*std::move(change));
  }
}

void control_follower::LimitRestoredReport(instant now,
                                           target_report* report) const {
  if (!report->restored || report->phase != target_phase::kReady) return;
  if (!first_sync_at_ || now - *first_sync_at_ < kReportRetention) return;
  if (state_.targets.Find(report->id) != nullptr) return;
  report->phase = target_phase::kDraining;
  // Any report of the target itself is newer.
  report->version.sequence = 0;
}

std::vector<follow_request> control_follower::Requests(
    instant now, const std::map<service_name, requests_per_s>& demand,
    const unanswered_report& unanswered, const outcome_report& outcomes,
    bool asks_often) {
  std::vector<follow_request> requests;
  InitializeStateSource();
  const std::set<data_centre_name> silent = SilentDataCentres(now);
  for (auto& [name, control] : controls_) {
    const bool is_retry = !IsReachable(now, name) &&
                          control.unanswered_requests < kMaxRetryRequests;
    milliseconds interval = settings_.follow_interval;
    if (is_retry) {
      interval = kRetryInterval;
    } else if (asks_often) {
      interval = std::min(interval, kSuspicionInterval);
    }
    if (unanswered.empty() && outcomes.empty() && control.last_request &&
        now - *control.last_request < interval) {
      continue;
    }
    control.last_request = now;
    ++control.unanswered_requests;
    wire::fleet_message message;
    message.set_from(settings_.self.value);
    auto* follow = message.mutable_follow();
    follow->set_name(settings_.self.value);
    follow->set_data_centre(settings_.data_centre.value);
    follow->set_control(settings_.is_control);
    follow->set_applied(applied_.value);
    follow->set_without_state(name != *state_source_);
    follow->set_wants_peer_targets(!settings_.is_control && !first_sync_at_);
    follow->set_target_epoch(control.target_epoch);
    follow->set_target_revision(control.target_revision);
    for (const auto& [service, rate] : demand) {
      if (rate < kMinDemand) continue;
      auto* row = follow->add_demand();
      row->set_service(service.value);
      row->set_requests_per_s(static_cast<float>(rate));
    }
    for (const auto& [tag, packets] : unanswered) {
      auto* row = follow->add_unanswered();
      row->set_tag(tag.value);
      row->set_packets(packets);
    }
    for (const data_centre_name& data_centre : silent) {
      follow->add_silent_data_centres(data_centre.value);
    }
    EncodeOutcomes(outcomes, follow);
    requests.push_back({name, std::move(message)});
  }
  return requests;
}

void control_follower::DetectSuspension(instant now) {
  if (last_event_at_ && now - *last_event_at_ > kSuspensionThreshold) {
    state_.targets.IgnoreSilence(now);
  }
  last_event_at_ = now;
}

std::set<data_centre_name> control_follower::SilentDataCentres(
    instant now) const {
  std::set<data_centre_name> silent;
  if (settings_.is_control) return silent;
  for (const auto& [name, control] : controls_) {
    if (control.last_update) silent.insert(control.data_centre);
  }
  for (const auto& [name, control] : controls_) {
    if (control.last_update && now - *control.last_update < kUpdateSilence) {
      silent.erase(control.data_centre);
    }
  }
  silent.erase(settings_.data_centre);
  return silent;
}

void control_follower::RequestNotSent(const instance_name& to) {
  auto it = controls_.find(to);
  if (it == controls_.end() || !it->second.last_request) return;
  it->second.last_request.reset();
  --it->second.unanswered_requests;
}

std::vector<follower_event> control_follower::Tick(instant now) {
  std::vector<follower_event> events;
  DetectSuspension(now);
  bool any_reachable = false;
  for (const auto& [name, control] : controls_) {
    any_reachable = any_reachable || IsReachable(now, name);
  }
  for (auto it = controls_.begin(); it != controls_.end();) {
    auto& [name, control] = *it;
    const bool is_seed =
        std::find(settings_.seeds.begin(), settings_.seeds.end(), name) !=
        settings_.seeds.end();
    if (control.last_update && !IsReachable(now, name) &&
        !control.reports_expiring) {
      const auto silent = now - *control.last_update;
      // While no control instance is reachable, nothing expires: an outdated
      // list of targets is better than none.
      if (any_reachable && silent > kControlLostTimeout) {
        control.reports_expiring = true;
        // All its targets are requested again when it returns.
        control.target_epoch = 0;
        control.target_revision = 0;
        control.has_sent_all_targets = false;
        state_.targets.ExpireSource(name, now + kReportRetention);
        events.emplace_back(control_lost{
            name, std::chrono::duration_cast<milliseconds>(silent)});
      }
    }
    const instant last_mention =
        std::max(control.last_listed, control.last_update.value_or(instant{}));
    if (!is_seed && any_reachable && now - last_mention > kControlRetention) {
      state_.targets.ExpireSource(name, now);
      it = controls_.erase(it);
    } else {
      ++it;
    }
  }
  if (any_reachable) {
    for (target_change& change : state_.targets.ReviewAddresses(now)) {
      events.emplace_back(std::move(change));
    }
    state_.targets.Forget(now, kTargetRetention);
  }
  return events;
}

bool control_follower::IsSynced(instant now) const {
  return IsSynced(now, kMaxSyncWait);
}

bool control_follower::IsSynced(instant now, milliseconds max_wait) const {
  if (!state_.has_manifest || !first_sync_at_) return false;
  if (now - *first_sync_at_ >= max_wait) return true;
  return std::all_of(controls_.begin(), controls_.end(), [](const auto& entry) {
    return entry.second.has_sent_all_targets;
  });
}

}  // namespace lavendertack
