#include "Following/control_follower.h"

#include <algorithm>

#include "Following/target_codec.h"
#include "Forwarding/demand.h"

namespace lavendertack {
namespace {

// A control instance that is silent for so long isn't believed to be there:
// three requests without an answer.
constexpr int kLostAfterRequests = 3;
// A lost control instance, or one that starts anew, is believed for so long on
// the targets that it heard: they report elsewhere only after growing waits.
constexpr milliseconds kClaimsAfterLoss{10'000};
// Silence after which a control instance counts as lost in the log and its
// word begins to run out.
constexpr milliseconds kLostAfter{5000};
// A control instance that nobody names for so long is forgotten.
constexpr milliseconds kForgetControl{30'000};
// Targets that are over are remembered as long as a connection may last.
constexpr milliseconds kForgetTarget{70'000};
// Waits so long for the other control instances after the first one told all.
constexpr milliseconds kSyncOthers{1000};
// Time between two requests to a control instance that doesn't answer: after a
// loss of all, callers wait for the first answer.
constexpr milliseconds kFindInterval{100};
// So many of them, and then no more often than one that answers.
constexpr int kFindTries = 30;
// Most control instances that are followed.
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
    if (name != settings_.self) controls_[name].listed = now;
  }
}

void control_follower::AddControlName(instant now,
                                      const instance_name& control) {
  if (control == settings_.self) return;
  if (controls_.size() >= kMaxControls && !controls_.contains(control)) return;
  controls_[control].listed = now;
}

std::set<instance_name> control_follower::ControlNames() const {
  std::set<instance_name> names;
  for (const auto& [name, control] : controls_) names.insert(name);
  return names;
}

bool control_follower::IsReachable(instant now,
                                   const instance_name& name) const {
  auto it = controls_.find(name);
  return it != controls_.end() && it->second.heard &&
         now - *it->second.heard <
             kLostAfterRequests * settings_.follow_interval;
}

std::vector<follower_event> control_follower::Apply(
    instant now, const instance_name& from, const wire::update& update) {
  std::vector<follower_event> notes;
  if (!controls_.contains(from) && controls_.size() >= kMaxControls) {
    return notes;
  }
  if (!IsReachable(now, from)) notes.emplace_back(control_found{from});
  followed_control& control = controls_[from];
  control.heard = now;
  control.listed = now;
  control.claims_dropped = false;
  control.data_centre = {update.data_centre()};
  control.current = update.current();
  for (const std::string& name : update.controls()) AddControlName(now, {name});
  ApplyState(now, from, update, &notes);
  ApplyTargets(now, from, update, &notes);
  for (const wire::demand_record& row : update.demand()) {
    state_.demand[{row.service()}][{row.data_centre()}] = row.requests_per_s();
  }
  return notes;
}

void control_follower::ApplyState(instant now, const instance_name& from,
                                  const wire::update& update,
                                  std::vector<follower_event>* notes) {
  followed_control& control = controls_[from];
  control.closed.clear();
  for (const std::string& name : update.closed_data_centres()) {
    control.closed.insert({name});
  }
  control.closed_index = {update.state_to()};
  const log_index from_index{update.state_from()};
  const log_index to_index{update.state_to()};
  const bool fits = update.whole_state() || from_index <= applied_;
  if (update.has_state() && fits && to_index > applied_) {
    if (update.whole_state()) state_.routes.clear();
    for (const wire::route_record& record : update.routes()) {
      const ipv4_endpoint at{{record.ip()},
                             {static_cast<std::uint16_t>(record.port())}};
      if (record.removed()) {
        state_.routes.erase(at);
      } else {
        state_.routes[at] = DecodeRoute(record);
      }
    }
    state_.priorities = PrioritiesOf(state_.routes);
    applied_ = to_index;
    version_ = {update.manifest_version()};
    cold_start_ = milliseconds(update.cold_start_ms());
    state_.has_manifest = version_.value > 0;
    notes->emplace_back(state_followed{
        from, version_, applied_,
        static_cast<std::size_t>(update.routes_size()), update.whole_state()});
  }
  UpdateClosed(now);
}

// A data centre is out when the newest state known says so, or when one of the
// control instances that hold that state still keeps it out.
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
                                    std::vector<follower_event>* notes) {
  followed_control& control = controls_[from];
  if (update.target_epoch() == 0) return;
  if (control.target_epoch != update.target_epoch()) {
    if (update.targets_from() != 0) return;  // It will send all.
    // The control instance has started anew; what it said before is lost to it.
    if (control.target_epoch != 0) {
      state_.targets.ExpireSource(from, now + kClaimsAfterLoss);
    }
    control.target_epoch = update.target_epoch();
    control.target_revision = 0;
  }
  if (update.targets_from() > control.target_revision) return;
  for (const wire::target_record& record : update.targets()) {
    auto report = DecodeTarget(record);
    if (!report) {
      notes->emplace_back(target_record_refused{from, {record.id()}});
      continue;
    }
    if (auto change = state_.targets.Apply(now, from, *report)) {
      notes->emplace_back(*std::move(change));
    }
  }
  control.target_revision =
      std::max<std::uint64_t>(control.target_revision, update.targets_to());
  control.synced = true;
  if (!first_sync_) first_sync_ = now;
}

std::vector<follow_request> control_follower::Requests(
    instant now, const std::map<service_name, requests_per_s>& demand) {
  std::vector<follow_request> requests;
  for (auto& [name, control] : controls_) {
    const bool finding =
        !IsReachable(now, name) && control.unanswered < kFindTries;
    const milliseconds interval =
        finding ? kFindInterval : settings_.follow_interval;
    if (control.asked && now - *control.asked < interval) continue;
    control.asked = now;
    ++control.unanswered;
    wire::fleet_message message;
    message.set_from(settings_.self.value);
    auto* follow = message.mutable_follow();
    follow->set_name(settings_.self.value);
    follow->set_data_centre(settings_.data_centre.value);
    follow->set_control(settings_.is_control);
    follow->set_applied(applied_.value);
    follow->set_target_epoch(control.target_epoch);
    follow->set_target_revision(control.target_revision);
    for (const auto& [service, rate] : demand) {
      if (rate < kMinDemand) continue;
      auto* row = follow->add_demand();
      row->set_service(service.value);
      row->set_requests_per_s(static_cast<float>(rate));
    }
    requests.push_back({name, std::move(message)});
  }
  return requests;
}

std::vector<follower_event> control_follower::Tick(instant now) {
  std::vector<follower_event> notes;
  bool hears_any = false;
  for (const auto& [name, control] : controls_) {
    hears_any = hears_any || IsReachable(now, name);
  }
  for (auto it = controls_.begin(); it != controls_.end();) {
    auto& [name, control] = *it;
    const bool is_seed =
        std::find(settings_.seeds.begin(), settings_.seeds.end(), name) !=
        settings_.seeds.end();
    if (control.heard && !IsReachable(now, name) && !control.claims_dropped) {
      const auto silent = now - *control.heard;
      // Alone, the last that was known is better than nothing.
      if (hears_any && silent > kLostAfter) {
        control.claims_dropped = true;
        // Whatever it says when it's back, it says from the start.
        control.target_epoch = 0;
        control.target_revision = 0;
        control.synced = false;
        state_.targets.ExpireSource(name, now + kClaimsAfterLoss);
        notes.emplace_back(control_lost{
            name, std::chrono::duration_cast<milliseconds>(silent)});
      }
    }
    const instant last =
        std::max(control.listed, control.heard.value_or(instant{}));
    if (!is_seed && hears_any && now - last > kForgetControl) {
      state_.targets.ExpireSource(name, now);
      it = controls_.erase(it);
    } else {
      ++it;
    }
  }
  if (hears_any) state_.targets.Forget(now, kForgetTarget);
  return notes;
}

bool control_follower::IsSynced(instant now) const {
  if (!state_.has_manifest || !first_sync_) return false;
  if (now - *first_sync_ >= kSyncOthers) return true;
  return std::all_of(controls_.begin(), controls_.end(),
                     [](const auto& each) { return each.second.synced; });
}

}  // namespace lavendertack
