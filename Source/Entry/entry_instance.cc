#include "Entry/entry_instance.h"

namespace lavendertack {
namespace {

// Time between two requests to a control instance. Three without an answer are
// a loss, well below the time in which a drained target must be known.
constexpr milliseconds kFollowInterval{500};
// The platform's routers probe twice a second and take an instance out after
// two misses; packets on their way come in later.
constexpr milliseconds kLeastLinger{1700};
constexpr milliseconds kQuiet{400};
// Ends so long before the kill.
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
  last_packet_ = now;
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
  if (!stop_asked_) stop_asked_ = now;
}

bool entry_instance::IsReady(instant now) const {
  return !stop_asked_ && follower_.IsSynced(now);
}

bool entry_instance::CanExit(instant now) const {
  if (!stop_asked_) return false;
  const auto asked = now - *stop_asked_;
  if (asked >= settings_.stop_within - kStopMargin) return true;
  return asked >= kLeastLinger && now - last_packet_ >= kQuiet;
}

}  // namespace lavendertack
