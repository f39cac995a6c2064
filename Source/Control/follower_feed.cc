#include "Control/follower_feed.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Following/target_codec.h"
#include "Forwarding/demand.h"

namespace lavendertack {
namespace {

// A follower that sent no request for this long is removed.
constexpr milliseconds kFollowerTimeout{5000};
// Changes that a follower hasn't acknowledged for this long are sent again.
constexpr milliseconds kResendAfter{700};
// Rate at which a follower is assumed to receive published state. The time for
// it is added to kResendAfter.
constexpr std::uint64_t kStateBytesPerMs = 100;
// Minimum time between two pushes to the same follower, so that a quick series
// of manifests is sent as a few combined differences.
constexpr milliseconds kPushInterval{50};
// The list of control instances is most of an update without changes. It is
// sent again when it has changed, and at this interval: followers keep the
// names of silent control instances for 30 s after they were last listed.
constexpr milliseconds kControlsInterval{5000};
// The demand for a service is sent again only if it changed by more than this
// fraction of the larger value.
constexpr double kDemandChange = 0.15;

}  // namespace

feed_update follower_feed::MakeUpdate(instant now, const link_id& to,
                                      follower_state* follower,
                                      const feed_content& content) {
  feed_update reply{to, {}};
  reply.message.set_from(content.self.value);
  auto* update = reply.message.mutable_update();
  update->set_data_centre(content.data_centre.value);
  update->set_current(content.current);
  AddControls(now, content, follower, update);
  for (const data_centre_name& name : content.closed) {
    update->add_closed_data_centres(name.value);
  }
  const published_state& published = content.published;
  const log_index last_changed_index = published.last_changed_index();
  update->set_state_to(last_changed_index.value);
  if (follower->announced_state < last_changed_index.value) {
    follower->announced_state = last_changed_index.value;
    follower->last_push_at = now;
  }
  if (!follower->control && follower->wants_state &&
      last_changed_index.value > follower->state.sent_to()) {
    update->set_has_state(true);
    const log_index from{follower->state.sent_to()};
    update->set_state_from(from.value);
    update->set_manifest_version(published.published().version.value);
    update->set_cold_start_ms(static_cast<std::uint32_t>(
        LongestColdStart(published.published()).count()));
    if (auto changes = published.RoutesSince(from)) {
      for (const route_change& change : *changes) {
        *update->add_routes() = EncodeRoute(change);
      }
    } else {
      update->set_whole_state(true);
      for (const auto& [at, route] : published.published().routes) {
        *update->add_routes() = EncodeRoute({at, &route});
      }
    }
    follower->state.MarkSent(now, last_changed_index.value);
    follower->state_transfer = milliseconds(
        static_cast<std::int64_t>(update->ByteSizeLong() / kStateBytesPerMs));
    follower->last_push_at = now;
  }
  const std::uint64_t revision = content.targets.revision();
  update->set_target_epoch(content.target_epoch);
  update->set_targets_from(follower->targets.sent_to());
  update->set_targets_to(revision);
  for (const registered_target* target :
       content.targets.ChangesSince(follower->targets.sent_to())) {
    *update->add_targets() = EncodeTarget(now, *target);
  }
  if (revision > follower->targets.sent_to()) {
    follower->targets.MarkSent(now, revision);
    follower->last_push_at = now;
  }
  return reply;
}

void follower_feed::AddControls(instant now, const feed_content& content,
                                follower_state* follower,
                                wire::update* update) {
  if (content.controls == follower->sent_controls &&
      now - follower->controls_sent_at < kControlsInterval) {
    return;
  }
  follower->sent_controls = content.controls;
  follower->controls_sent_at = now;
  for (const instance_name& name : content.controls) {
    update->add_controls(name.value);
  }
}

void follower_feed::AddActivities(instant now, const wire::follow& request,
                                  const activity_registry& activities,
                                  wire::update* update) {
  for (const std::string& name : request.silent_data_centres()) {
    const auto activity = activities.Find(now, {name});
    if (!activity) continue;
    auto* row = update->add_activities();
    row->set_data_centre(name);
    row->set_silent_ms(static_cast<std::uint32_t>(activity->silent.count()));
    row->set_has_entries(activity->has_entries);
  }
}

void follower_feed::RemoveDemand(follower_state* follower) {
  for (const auto& [service, rate] : follower->demand) {
    demand_[{service, follower->data_centre}] -= rate;
  }
  follower->demand.clear();
}

void follower_feed::UpdateDemand(follower_state* follower,
                                 const wire::follow& request) {
  RemoveDemand(follower);
  follower->data_centre = {request.data_centre()};
  for (const wire::demand_record& row : request.demand()) {
    follower->demand[{row.service()}] = row.requests_per_s();
  }
  for (const auto& [service, rate] : follower->demand) {
    demand_[{service, follower->data_centre}] += rate;
  }
}

void follower_feed::AddDemand(follower_state* follower,
                              wire::update* update) const {
  for (const auto& [key, sum] : demand_) {
    // Adding and subtracting rates leaves a small remainder by rounding.
    const double rate = sum < kMinDemand ? 0 : sum;
    double& last = follower->sent_demand[key];
    if (std::abs(rate - last) <= kDemandChange * std::max(rate, last)) continue;
    last = rate;
    auto* row = update->add_demand();
    row->set_service(key.first.value);
    row->set_data_centre(key.second.value);
    row->set_requests_per_s(static_cast<float>(rate));
  }
}

std::set<instance_name> follower_feed::EntryInstances() const {
  std::set<instance_name> names;
  for (const auto& [link, follower] : followers_) {
    if (!follower.control) names.insert(follower.name);
  }
  return names;
}

feed_update follower_feed::HandleFollow(instant now, const link_id& from,
                                        const wire::follow& request,
                                        const feed_content& content) {
  auto [it, added] = followers_.try_emplace(from);
  follower_state& follower = it->second;
  follower.last_request_at = now;
  follower.control = request.control();
  if (added) {
    follower.name = {request.name()};
    if (!follower.control) ++entry_revision_;
  }
  // A revision of another run of this instance doesn't count: the follower has
  // none of the changes of this run.
  const std::uint64_t acknowledged_targets =
      request.target_epoch() == content.target_epoch
          ? std::min<std::uint64_t>(request.target_revision(),
                                    content.targets.revision())
          : 0;
  UpdateDemand(&follower, request);
  const bool wanted_state =
      std::exchange(follower.wants_state, !request.without_state());
  if (added || (!wanted_state && follower.wants_state)) {
    follower.state.Reset(request.applied());
  } else {
    follower.state.Acknowledge(now, request.applied(),
                               kResendAfter + follower.state_transfer);
  }
  if (added) {
    follower.targets.Reset(acknowledged_targets);
  } else {
    follower.targets.Acknowledge(now, acknowledged_targets, kResendAfter);
  }
  feed_update reply = MakeUpdate(now, from, &follower, content);
  if (request.wants_peer_targets()) {
    for (const registered_target& target : content.peer_targets) {
      *reply.message.mutable_update()->add_peer_targets() =
          EncodeTarget(now, target);
    }
  }
  AddActivities(now, request, content.activities,
                reply.message.mutable_update());
  if (!follower.control) AddDemand(&follower, reply.message.mutable_update());
  return reply;
}

std::vector<feed_update> follower_feed::Push(instant now,
                                             const feed_content& content,
                                             bool to_all) {
  std::vector<feed_update> updates;
  for (auto it = followers_.begin(); it != followers_.end();) {
    follower_state& follower = it->second;
    if (now - follower.last_request_at >= kFollowerTimeout) {
      RemoveDemand(&follower);
      if (!follower.control) ++entry_revision_;
      it = followers_.erase(it);
      continue;
    }
    const std::uint64_t told = follower.wants_state ? follower.state.sent_to()
                                                    : follower.announced_state;
    const bool changed =
        follower.targets.sent_to() < content.targets.revision() ||
        (!follower.control &&
         told < content.published.last_changed_index().value);
    if (to_all || (changed && now - follower.last_push_at >= kPushInterval)) {
      updates.push_back(MakeUpdate(now, it->first, &follower, content));
    }
    ++it;
  }
  return updates;
}

}  // namespace lavendertack
