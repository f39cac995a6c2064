#include "Control/follower_feed.h"

#include <algorithm>

#include "Following/target_codec.h"

namespace lavendertack {
namespace {

// A follower that asks no more for so long is forgotten.
constexpr milliseconds kForgetFollower{5000};
// Something that was sent and isn't held after so long is sent again.
constexpr milliseconds kResendAfter{700};
// Least time between two updates that a follower didn't ask for: a series of
// manifests reaches it as a few differences.
constexpr milliseconds kPushInterval{50};

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
  const log_index changed_at = published.changed_at();
  update->set_state_to(changed_at.value);
  if (!told->control && changed_at > told->told_state) {
    update->set_has_state(true);
    update->set_state_from(told->told_state.value);
    update->set_manifest_version(published.published().version.value);
    update->set_cold_start_ms(static_cast<std::uint32_t>(
        LongestColdStart(published.published()).count()));
    if (auto changes = published.RoutesSince(told->told_state)) {
      for (const route_change& change : *changes) {
        *update->add_routes() = EncodeRoute(change);
      }
    } else {
      update->set_whole_state(true);
      for (const auto& [at, route] : published.published().routes) {
        *update->add_routes() = EncodeRoute({at, &route});
      }
    }
    told->told_state = changed_at;
    told->told = now;
  }
  update->set_target_epoch(content.target_epoch);
  update->set_targets_from(told->told_targets);
  update->set_targets_to(content.targets.revision());
  for (const booked_target* target :
       content.targets.Since(told->told_targets)) {
    *update->add_targets() = EncodeTarget(now, *target);
    told->told = now;
  }
  told->told_targets = content.targets.revision();
  return made;
}

feed_update follower_feed::Follow(instant now, const link_id& from,
                                  const wire::follow& request,
                                  const feed_content& content) {
  auto [it, added] = followers_.try_emplace(from);
  follower& told = it->second;
  told.heard = now;
  told.control = request.control();
  const log_index holds_state{request.applied()};
  const std::uint64_t holds_targets =
      request.target_epoch() == content.target_epoch ? request.target_revision()
                                                     : 0;
  if (added || now - told.told >= kResendAfter) {
    told.told_state = holds_state;
    told.told_targets = std::min(holds_targets, content.targets.revision());
  }
  return Make(now, from, &told, content);
}

std::vector<feed_update> follower_feed::Push(instant now,
                                             const feed_content& content,
                                             bool to_all) {
  std::vector<feed_update> updates;
  for (auto it = followers_.begin(); it != followers_.end();) {
    follower& told = it->second;
    if (now - told.heard >= kForgetFollower) {
      it = followers_.erase(it);
      continue;
    }
    const bool has_news =
        told.told_targets < content.targets.revision() ||
        (!told.control && told.told_state < content.published.changed_at());
    if (to_all || (has_news && now - told.told >= kPushInterval)) {
      updates.push_back(Make(now, it->first, &told, content));
    }
    ++it;
  }
  return updates;
}

}  // namespace lavendertack
