#include "Control/follower_feed.h"

#include <algorithm>
#include <cmath>

#include "Following/target_codec.h"
#include "Forwarding/demand.h"

namespace lavendertack {
namespace {

// A follower that asks no more for so long is forgotten.
constexpr milliseconds kForgetFollower{5000};
// Something that was sent and isn't held after so long is sent again.
constexpr milliseconds kResendAfter{700};
// Least time between two updates that a follower didn't ask for: a series of
// manifests reaches it as a few differences.
constexpr milliseconds kPushInterval{50};
// Part by which a demand must have changed to be told anew.
constexpr double kDemandChange = 0.15;

}  // namespace

feed_update follower_feed::Make(instant now, const link_id& to, follower* told,
                                const feed_content& content) {
  feed_update made{to, {}};
  made.message.set_from(content.self.value);
  auto* update = made.message.mutable_update();
  update->set_data_centre(content.data_centre.value);
  update->set_current(content.current);
  for (const instance_name& name : content.controls) {
    update->add_controls(name.value);
  }
  for (const data_centre_name& name : content.closed) {
    update->add_closed_data_centres(name.value);
  }
  const published_state& published = content.published;
  const log_index last_changed_index = published.last_changed_index();
  update->set_state_to(last_changed_index.value);
  if (!told->control && last_changed_index.value > told->state.told()) {
    update->set_has_state(true);
    const log_index from{told->state.told()};
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
    told->state.Sent(now, last_changed_index.value);
    told->pushed = now;
  }
  const std::uint64_t revision = content.targets.revision();
  update->set_target_epoch(content.target_epoch);
  update->set_targets_from(told->targets.told());
  update->set_targets_to(revision);
  for (const registered_target* target :
       content.targets.ChangesSince(told->targets.told())) {
    *update->add_targets() = EncodeTarget(now, *target);
  }
  if (revision > told->targets.told()) {
    told->targets.Sent(now, revision);
    told->pushed = now;
  }
  return made;
}

void follower_feed::DropDemand(follower* one) {
  for (const auto& [service, rate] : one->demand) {
    demand_[{service, one->data_centre}] -= rate;
  }
  one->demand.clear();
}

void follower_feed::CountDemand(follower* one, const wire::follow& request) {
  DropDemand(one);
  one->data_centre = {request.data_centre()};
  for (const wire::demand_record& row : request.demand()) {
    one->demand[{row.service()}] = row.requests_per_s();
  }
  for (const auto& [service, rate] : one->demand) {
    demand_[{service, one->data_centre}] += rate;
  }
}

void follower_feed::TellDemand(follower* told, wire::update* update) const {
  for (const auto& [key, sum] : demand_) {
    // Differences of fractions leave a little behind.
    const double rate = sum < kMinDemand ? 0 : sum;
    double& last = told->told_demand[key];
    if (std::abs(rate - last) <= kDemandChange * std::max(rate, last)) continue;
    last = rate;
    auto* row = update->add_demand();
    row->set_service(key.first.value);
    row->set_data_centre(key.second.value);
    row->set_requests_per_s(static_cast<float>(rate));
  }
}

feed_update follower_feed::HandleFollow(instant now, const link_id& from,
                                        const wire::follow& request,
                                        const feed_content& content) {
  auto [it, added] = followers_.try_emplace(from);
  follower& told = it->second;
  told.heard = now;
  told.control = request.control();
  // Of another start of this instance the follower holds nothing.
  const std::uint64_t holds_targets =
      request.target_epoch() == content.target_epoch
          ? std::min<std::uint64_t>(request.target_revision(),
                                    content.targets.revision())
          : 0;
  CountDemand(&told, request);
  if (added) {
    told.state.Restart(request.applied());
    told.targets.Restart(holds_targets);
  } else {
    told.state.Confirm(now, request.applied(), kResendAfter);
    told.targets.Confirm(now, holds_targets, kResendAfter);
  }
  feed_update made = Make(now, from, &told, content);
  if (!told.control) TellDemand(&told, made.message.mutable_update());
  return made;
}

std::vector<feed_update> follower_feed::Push(instant now,
                                             const feed_content& content,
                                             bool to_all) {
  std::vector<feed_update> updates;
  for (auto it = followers_.begin(); it != followers_.end();) {
    follower& told = it->second;
    if (now - told.heard >= kForgetFollower) {
      DropDemand(&told);
      it = followers_.erase(it);
      continue;
    }
    const bool has_news =
        told.targets.told() < content.targets.revision() ||
        (!told.control &&
         told.state.told() < content.published.last_changed_index().value);
    if (to_all || (has_news && now - told.pushed >= kPushInterval)) {
      updates.push_back(Make(now, it->first, &told, content));
    }
    ++it;
  }
  return updates;
}

}  // namespace lavendertack
