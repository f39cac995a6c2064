#include "Entry/entry_instance.h"

#include <algorithm>

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
// Longest wait of opening packets for the targets of the other control
// instances, once the first one has sent its targets. Otherwise the few targets
// that are known first would get all connections.
constexpr milliseconds kMaxOpeningWait{40};
// Shortest time between two reports of unanswered packets to the control
// instances.
constexpr milliseconds kUnansweredReportInterval{150};
// Time between two reports of the outcomes of requests. A multiple of
// kFollowInterval, so that the reports need no additional messages.
constexpr milliseconds kOutcomeReportInterval{1000};
// A longer gap between two ticks means that the process was suspended, long
// enough to miss the drain of a target or the order to close a data centre.
constexpr milliseconds kSuspensionThreshold{1000};
// Longest wait of opening packets for an update after a suspension. Control
// instances answer within a few milliseconds if they are reachable; if none is,
// the instance continues with the state that it has.
constexpr milliseconds kMaxConfirmationWait{300};
// Limits of the held packets. Callers abandon an attempt to connect after 1.4 s
// and retransmit other packets after at most 1.6 s.
constexpr held_packet_limits kHeldPacketLimits{.packets = 512,
                                               .max_age = milliseconds(1000)};

}  // namespace

entry_instance::entry_instance(entry_settings settings)
    : settings_(std::move(settings)),
      follower_({.self = settings_.self,
                 .data_centre = settings_.data_centre,
                 .is_control = false,
                 .seeds = settings_.seeds,
                 .follow_interval = kFollowInterval}),
      router_(&follower_.state(),
              {.own = settings_.data_centre,
               .report_interval = settings_.report_interval},
              settings_.seed, settings_.link_capacity),
      held_(kHeldPacketLimits),
      withdrawal_(settings_.data_centre) {
  router_.set_opening_observer([this](instant now, target_tag tag, instant sent,
                                      bool answered) {
    const known_target* target = follower_.state().targets.FindByTag(tag);
    if (target == nullptr) return;
    withdrawal_.Reduce(
        now, opening_outcome{target->report.data_centre, tag, sent, answered});
  });
  if (settings_.observe_targets) router_.ObserveOutcomes();
  if (settings_.choose) router_.set_target_selector(settings_.choose);
  if (settings_.refuse) router_.set_refusal_policy(settings_.refuse);
}

forward_decision entry_instance::Route(instant now, const flow_packet& packet) {
  last_packet_at_ = now;
  DetectSuspension(now);
  if (auto reason = ReasonToHold(now, packet)) return hold_packet{*reason};
  if (packet.opens && withdrawal_.RefuseOpening(now)) {
    return reset_caller{forward_reason::kUnreachable};
  }
  forward_decision decision = router_.Route(now, packet);
  // A control instance that lost its disk learns its targets from their next
  // reports.
  const auto* reset = std::get_if<reset_caller>(&decision);
  if (reset != nullptr && reset->reason == forward_reason::kNoTarget &&
      !follower_.IsSynced(now)) {
    return hold_packet{forward_reason::kNoTarget};
  }
  return decision;
}

void entry_instance::DetectSuspension(instant now) {
  if (!last_tick_at_ || now - *last_tick_at_ <= kSuspensionThreshold) return;
  last_tick_at_ = now;
  resumed_at_ = now;
  asked_since_resumed_ = false;
}

bool entry_instance::IsUnconfirmed(instant now) const {
  return resumed_at_ && now - *resumed_at_ < kMaxConfirmationWait;
}

std::optional<forward_reason> entry_instance::ReasonToHold(
    instant now, const flow_packet& packet) const {
  const routing_state& state = follower_.state();
  if (!state.has_manifest) return forward_reason::kNotYetCurrent;
  if (packet.opens && IsUnconfirmed(now)) return forward_reason::kNotYetCurrent;
  if (follower_.IsSynced(now)) return std::nullopt;
  if (packet.opens) {
    if (follower_.IsSynced(now, kMaxOpeningWait)) return std::nullopt;
    return forward_reason::kNotYetCurrent;
  }
  if (state.targets.FindByTag(packet.tag) != nullptr) return std::nullopt;
  return forward_reason::kUnknownTag;
}

std::vector<follower_event> entry_instance::Receive(
    instant now, const wire::fleet_message& message) {
  if (!message.has_update()) return {};
  DetectSuspension(now);
  // Updates that were sent before the request may be older than the pause.
  if (asked_since_resumed_ && message.update().current()) resumed_at_.reset();
  auto events = follower_.Apply(now, {message.from()}, message.update());
  RecordActivity(now, message.update());
  CollectLostFlows(now, events);
  ReviewWithdrawal(now);
  return events;
}

void entry_instance::RecordActivity(instant now, const wire::update& update) {
  router_.RecordUpdate(now, {update.data_centre()});
  for (const wire::data_centre_activity& row : update.activities()) {
    router_.RecordActivity(now, {row.data_centre()},
                           now - milliseconds(row.silent_ms()),
                           row.has_entries());
  }
}

void entry_instance::ReviewWithdrawal(instant now) {
  const routing_state& known = follower_.state();
  if (!known.has_manifest) return;
  followed_state state{.closed = known.closed, .others = {}};
  // While the own data centre is open, the rest of the state has no effect.
  if (known.closed.contains(settings_.data_centre)) {
    for (const auto& [name, control] : follower_.controls()) {
      if (control.data_centre == settings_.data_centre) continue;
      data_centre_contact& contact = state.others[control.data_centre];
      contact.has_controls = true;
      contact.last_update = std::max(contact.last_update, control.last_update);
      contact.last_message =
          router_.reachability().LastMessage(control.data_centre);
    }
    for (const auto& [id, target] : known.targets.targets()) {
      const data_centre_name& name = target->report.data_centre;
      if (name == settings_.data_centre || !target->AcceptsNewFlows(now)) {
        continue;
      }
      state.others[name].has_targets = true;
    }
  }
  if (auto change = withdrawal_.Reduce(now, state)) {
    withdrawal_changes_.push_back(*change);
  }
}

void entry_instance::CollectLostFlows(instant now, const target_id& id) {
  const known_target* target = follower_.state().targets.Find(id);
  if (target == nullptr) return;
  const auto flows = router_.TakeLostFlows(now, *target);
  lost_flows_.insert(lost_flows_.end(), flows.begin(), flows.end());
}

void entry_instance::CollectLostFlows(
    instant now, const std::vector<follower_event>& events) {
  for (const follower_event& event : events) {
    const auto* change = std::get_if<target_change>(&event);
    if (change == nullptr) continue;
    CollectLostFlows(now, change->id);
    if (change->replaced) CollectLostFlows(now, *change->replaced);
  }
}

std::vector<follow_request> entry_instance::Requests(instant now) {
  unanswered_report unanswered;
  if (router_.unanswered().has_unreported() &&
      now - last_unanswered_report_ >= kUnansweredReportInterval) {
    last_unanswered_report_ = now;
    unanswered = router_.unanswered().TakeReport(now);
  }
  outcome_report outcomes;
  if (router_.outcomes() &&
      now - last_outcome_report_ >= kOutcomeReportInterval) {
    last_outcome_report_ = now;
    outcomes = router_.outcomes()->TakeReport();
  }
  auto requests =
      follower_.Requests(now, router_.demand().Rates(now), unanswered, outcomes,
                         router_.reachability().HasSuspicion(now));
  if (!requests.empty()) asked_since_resumed_ = true;
  return requests;
}

std::vector<follower_event> entry_instance::Tick(instant now) {
  DetectSuspension(now);
  last_tick_at_ = now;
  router_.Tick(now);
  const auto [data_centres, flows] = router_.TakeUnreachableFlows(now);
  unreachable_.insert(unreachable_.end(), data_centres.begin(),
                      data_centres.end());
  lost_flows_.insert(lost_flows_.end(), flows.begin(), flows.end());
  auto events = follower_.Tick(now);
  CollectLostFlows(now, events);
  ReviewWithdrawal(now);
  return events;
}

void entry_instance::Stop(instant now) {
  if (!stop_requested_at_) stop_requested_at_ = now;
}

bool entry_instance::IsReady(instant now) const {
  return !stop_requested_at_ && follower_.IsSynced(now) &&
         !withdrawal_.IsWithdrawn();
}

bool entry_instance::CanExit(instant now) const {
  if (!stop_requested_at_) return false;
  const auto draining = now - *stop_requested_at_;
  if (draining >= settings_.stop_within - kStopMargin) return true;
  return draining >= kMinDrainTime && now - last_packet_at_ >= kIdleBeforeExit;
}

}  // namespace lavendertack
