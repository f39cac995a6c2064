#include "Entry/entry_instance.h"

namespace lavendertack {
namespace {

// Time between two requests to a control instance. A control instance that
// sends no update for three intervals counts as unreachable; that is well below
// the time within which an entry instance must receive the drain of a target.
constexpr milliseconds kFollowInterval{500};
// Shortest time from the stop request to the exit. The platform's routers probe
// readiness twice a second and remove an instance after two failed probes;
// packets that are in flight at that time arrive even later.
constexpr milliseconds kMinDrainTime{1700};
// Time without a packet after which a draining instance may exit.
constexpr milliseconds kIdleBeforeExit{400};
// A draining instance may exit this long before the platform kills it, even if
// packets still arrive.
constexpr milliseconds kStopMargin{1500};

}  // namespace

entry_instance::entry_instance(entry_settings settings)
    : settings_(std::move(settings)),
      follower_({.self = settings_.self,
                 .data_centre = settings_.data_centre,
                 .is_control = false,
                 .seeds = settings_.seeds,
                 .follow_interval = kFollowInterval}),
      router_(&follower_.state(), settings_.data_centre, settings_.seed) {
  if (settings_.choose) router_.set_target_selector(settings_.choose);
  if (settings_.refuse) router_.set_refusal_policy(settings_.refuse);
}

forward_decision entry_instance::Route(instant now, const flow_packet& packet) {
  last_packet_at_ = now;
  return router_.Route(now, packet);
}

std::vector<follower_event> entry_instance::Receive(
    instant now, const wire::fleet_message& message) {
  if (!message.has_update()) return {};
  return follower_.Apply(now, {message.from()}, message.update());
}

std::vector<follow_request> entry_instance::Requests(instant now) {
  return follower_.Requests(now, router_.demand().Rates(now));
}

std::vector<follower_event> entry_instance::Tick(instant now) {
  router_.Tick(now);
  return follower_.Tick(now);
}

void entry_instance::Stop(instant now) {
  if (!stop_requested_at_) stop_requested_at_ = now;
}

bool entry_instance::IsReady(instant now) const {
  return !stop_requested_at_ && follower_.IsSynced(now);
}

bool entry_instance::CanExit(instant now) const {
  if (!stop_requested_at_) return false;
  const auto draining = now - *stop_requested_at_;
  if (draining >= settings_.stop_within - kStopMargin) return true;
  return draining >= kMinDrainTime && now - last_packet_at_ >= kIdleBeforeExit;
}

}  // namespace lavendertack
