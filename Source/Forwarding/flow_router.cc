#include "Forwarding/flow_router.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
namespace {

// Maximum number of tracked opening packets. At 1,000 new flows per second this
// covers more than the time in which callers retransmit them.
constexpr std::size_t kMaxAttempts = 16'384;
// Several round trips, and less than the 200 ms after which callers send the
// opening packet again. A target that resets the connection is found by it:
// neither the caller's confirmation nor a copy of the opening packet follows.
constexpr milliseconds kHandshakeTimeout{100};
// Callers abandon an attempt after 1.4 s.
constexpr milliseconds kAttemptLifetime{1500};
// Packets are still forwarded to a target that has announced its end for this
// long, because it may still be answering requests that it has received. After
// that, its callers' connections are reset.
constexpr milliseconds kTerminationGrace{1000};
// A target that has answered a caller at this instance within this time isn't
// treated as lost.
constexpr milliseconds kAnswerMemory{400};
// A longer gap between two ticks means that the process was suspended: normally
// there are several ticks within this time.
constexpr milliseconds kSuspensionThreshold{250};
// Window of the demand that is reported to other instances. Long, so that the
// reported values change slowly.
constexpr milliseconds kDemandWindow{3000};
// Window of the demand that decides on refusals. Short, so that it follows the
// current traffic of this instance.
constexpr milliseconds kRecentDemandWindow{500};
// Upper bound on the ratio of the demand in the short window to that in the
// long one. After a start or a pause of this instance, the long window is
// nearly empty, which makes the ratio too high.
constexpr double kMaxDemandGrowth = 1.5;

// A target that reports no slots counts as having one.
double SlotsOf(const known_target& target) {
  return std::max<std::uint32_t>(1, target.report.slots);
}

// Share of the usual new flows that the target gets, above 0 and up to 1.
double WeightOf(const known_target& target) {
  return std::max<std::uint32_t>(1, target.report.weight.value) / 100.0;
}

}  // namespace

const char* ToString(forward_reason reason) {
  switch (reason) {
    case forward_reason::kOpened:
      return "opened";
    case forward_reason::kOpenedAgain:
      return "opened_again";
    case forward_reason::kFollows:
      return "follows";
    case forward_reason::kNoRoute:
      return "no_route";
    case forward_reason::kNoTarget:
      return "no_target";
    case forward_reason::kOverloaded:
      return "overloaded";
    case forward_reason::kLinkFull:
      return "link_full";
    case forward_reason::kUnreachable:
      return "unreachable";
    case forward_reason::kTargetOver:
      return "target_over";
    case forward_reason::kTargetLost:
      return "target_lost";
    case forward_reason::kNotYetCurrent:
      return "not_yet_current";
    case forward_reason::kNoTag:
      return "no_tag";
    case forward_reason::kUnknownTag:
      return "unknown_tag";
  }
  return "unknown";
}

flow_router::flow_router(const routing_state* state,
                         reachability_settings reachability, std::uint64_t seed,
                         std::optional<bytes_per_s> link_capacity)
    : state_(state),
      own_data_centre_(reachability.own),
      random_(seed),
      demand_(kDemandWindow),
      recent_demand_(kRecentDemandWindow),
      recent_highest_demand_(kRecentDemandWindow),
      link_(link_capacity),
      attempts_(kMaxAttempts),
      reachability_(std::move(reachability)) {
  target_selector_ =
      [this](instant now, const std::vector<const known_target*>& candidates) {
        return SelectLessLoaded(now, candidates);
      };
}

forward_decision flow_router::Route(instant now, const flow_packet& packet) {
  if (!state_->has_manifest) return drop_packet{forward_reason::kNotYetCurrent};
  return packet.opens ? PlaceFlow(now, packet) : ForwardFollowing(now, packet);
}

forward_decision flow_router::Refuse(instant now, std::uint32_t priority,
                                     const reset_caller& reset) {
  if (link_.TakeReset(now, priority)) return reset;
  return drop_packet{reset.reason};
}

forward_decision flow_router::PlaceFlow(instant now,
                                        const flow_packet& packet) {
  auto found_route = state_->routes.find(packet.flow.route);
  if (found_route == state_->routes.end()) {
    return reset_caller{forward_reason::kNoRoute};
  }
  // An earlier connection from the same port has ended. If its target is lost,
  // the new connection must not be reset.
  flows_.Remove(packet.flow);
  const std::uint32_t priority = found_route->second.priority;
  if (!link_.CanOpen(now, priority, packet.retransmission > 0)) {
    return Refuse(now, priority, {forward_reason::kLinkFull});
  }
  target_tag unanswered;
  service_name service;
  if (auto previous = attempts_.Remove(packet.flow)) {
    load_.ChangePending(now, previous->tag, -1);
    if (packet.retransmission > 0) {
      if (const known_target* silent =
              state_->targets.FindByTag(previous->tag)) {
        RecordUnanswered(now, *silent);
      }
      unanswered = previous->tag;
      if (!previous->overdue) {
        load_.RecordUnanswered(now, unanswered);
        unanswered_.RecordUnanswered(unanswered);
      }
      opening_observer_(now, unanswered, previous->sent, false);
    }
    service = previous->service;
  }
  const auto& shares = found_route->second.shares;
  const bool is_allowed =
      std::any_of(shares.begin(), shares.end(), [&](const auto& share) {
        return share.service == service && share.weight > 0;
      });
  if (!is_allowed) service = PickService(found_route->second);
  FindCandidates(now, service, unanswered);
  if (candidates_.empty()) return reset_caller{forward_reason::kNoTarget};
  const slot_pressure pressure = Pressure(now, service, open_slots_);
  if (IsRefused(now, service, priority, pressure, packet)) {
    return Refuse(now, priority, {forward_reason::kOverloaded, pressure});
  }
  SelectDataCentre(service, pressure);
  const known_target* target = target_selector_(now, candidates_);
  load_.RecordOpening(now, target->tag);
  link_.RecordOpened(now, packet.datagram_bytes);
  load_.ChangePending(now, target->tag, 1);
  attempts_.Insert(packet.flow, {target->tag, service, now});
  return forward_to_target{target, unanswered.value == 0
                                       ? forward_reason::kOpened
                                       : forward_reason::kOpenedAgain};
}

forward_decision flow_router::ForwardFollowing(instant now,
                                               const flow_packet& packet) {
  const auto found_route = state_->routes.find(packet.flow.route);
  if (found_route == state_->routes.end()) {
    return reset_caller{forward_reason::kNoRoute};
  }
  const std::uint32_t priority = found_route->second.priority;
  if (packet.tag.value == 0) return drop_packet{forward_reason::kNoTag};
  if (packet.data_bytes > 0 && !FitsLink(now, packet, priority)) {
    return drop_packet{forward_reason::kLinkFull};
  }
  link_.RecordFollowing(now, packet.datagram_bytes);
  const known_target* target = state_->targets.FindByTag(packet.tag);
  if (auto attempt = attempts_.Remove(packet.flow)) {
    ObserveAccepted(now, *attempt, packet.tag);
  }
  if (target == nullptr) return drop_packet{forward_reason::kUnknownTag};
  if (target->replaced ||
      (target->IsTerminated() && now - target->changed > kTerminationGrace)) {
    return reset_caller{forward_reason::kTargetOver};
  }
  const request_progress progress = ObserveProgress(now, packet, *target);
  if (IsLost(now, *target)) {
    flows_.Remove(packet.flow);
    return reset_caller{forward_reason::kTargetLost};
  }
  if (reachability_.IsUnreachable(now, target->report.data_centre)) {
    flows_.Remove(packet.flow);
    return reset_caller{forward_reason::kUnreachable};
  }
  if (packet.resets) {
    flows_.Remove(packet.flow);
  } else {
    flows_.Insert(now, packet);
  }
  // The delay of packets that were queued while this process was suspended
  // isn't part of the target's response time.
  if (now - last_tick_ <= kSuspensionThreshold) {
    response_times_.ObservePacket(now, packet, target->report.service);
    if (outcomes_) outcomes_->Observe(now, packet, *target);
  }
  if (packet.data_bytes > 0 && progress != request_progress::kRetransmitted) {
    load_.RecordRequest(now, packet.tag);
    ObserveDemand(now, target->report.service, priority);
  }
  return forward_to_target{target, forward_reason::kFollows};
}

bool flow_router::FitsLink(instant now, const flow_packet& packet,
                           std::uint32_t priority) {
  if (link_.CanSendRequest(now, priority, true)) return true;
  const bool is_repeated = requests_for_link_.Observe(now, packet);
  return !is_repeated && link_.CanSendRequest(now, priority, false);
}

void flow_router::ObserveAccepted(instant now, const open_attempt& attempt,
                                  target_tag tag) {
  const auto round_trip =
      std::chrono::duration_cast<microseconds>(now - attempt.sent);
  load_.ChangePending(now, attempt.tag, -1);
  load_.RecordAnswered(now, tag);
  unanswered_.RecordAnswered(tag);
  opening_observer_(now, tag, attempt.sent, true);
  connect_latency_.Observe(round_trip);
  response_times_.ObserveHandshake(round_trip);
  const known_target* target = state_->targets.FindByTag(tag);
  if (target == nullptr) return;
  const data_centre_name& data_centre = target->report.data_centre;
  reachability_.RecordAnswered(now, data_centre);
  failed_openings_.RecordAccepted(data_centre);
  if (outcomes_) outcomes_->ObserveHandshake(data_centre, round_trip);
}

void flow_router::ObserveOverdue(instant now) {
  // What was sent before a suspension may have been answered meanwhile.
  const bool is_valid = now - last_tick_ <= kSuspensionThreshold;
  const auto record = [&](const open_attempt& attempt) {
    if (!is_valid) return;
    load_.RecordUnanswered(now, attempt.tag);
    unanswered_.RecordUnanswered(attempt.tag);
    const known_target* target = state_->targets.FindByTag(attempt.tag);
    if (target == nullptr) return;
    failed_openings_.RecordFailed(now, target->report.data_centre, attempt.tag);
  };
  attempts_.TakeOverdue(now - kHandshakeTimeout, record);
}

request_progress flow_router::ObserveProgress(instant now,
                                              const flow_packet& packet,
                                              const known_target& target) {
  const request_progress progress = requests_.Observe(now, packet);
  switch (progress) {
    case request_progress::kRetransmitted:
      unanswered_.RecordUnanswered(packet.tag);
      RecordUnanswered(now, target);
      break;
    case request_progress::kAnswered:
      load_.RecordProgress(now, packet.tag);
      unanswered_.RecordAnswered(packet.tag);
      reachability_.RecordAnswered(now, target.report.data_centre);
      break;
    case request_progress::kNone:
      break;
  }
  return progress;
}

bool flow_router::IsLost(instant now, const known_target& target) const {
  return target.IsLost(now) &&
         !load_.HasAnsweredSince(now - kAnswerMemory, target.tag);
}

void flow_router::RecordUnanswered(instant now, const known_target& target) {
  // Targets that have ended say nothing about their data centre.
  if (target.IsTerminated() || target.IsLost(now)) return;
  reachability_.RecordUnanswered(target.report.data_centre);
}

bool flow_router::IsSuspected(instant now,
                              const data_centre_name& data_centre) const {
  return data_centre != own_data_centre_ &&
         reachability_.IsSuspected(now, data_centre);
}

void flow_router::TakeFlowsOf(instant now, const known_target& target,
                              forward_reason reason,
                              std::vector<lost_flow>* lost) {
  for (const flow_packet& packet : flows_.TakeFlowsOf(now, target.tag)) {
    lost->push_back({packet, reason});
  }
}

unreachable_flows flow_router::TakeUnreachableFlows(instant now) {
  unreachable_flows taken{.data_centres = reachability_.TakeUnreachable(now),
                          .flows = {}};
  for (const unreachable_data_centre& unreachable : taken.data_centres) {
    for (const auto& [id, target] : state_->targets.targets()) {
      if (target->report.data_centre != unreachable.name) continue;
      TakeFlowsOf(now, *target, forward_reason::kUnreachable, &taken.flows);
    }
  }
  return taken;
}

std::vector<lost_flow> flow_router::TakeLostFlows(instant now,
                                                  const known_target& target) {
  std::vector<lost_flow> flows;
  if (target.replaced) {
    TakeFlowsOf(now, target, forward_reason::kTargetOver, &flows);
  } else if (IsLost(now, target)) {
    TakeFlowsOf(now, target, forward_reason::kTargetLost, &flows);
  }
  return flows;
}

const service_name& flow_router::PickService(const route& matched_route) {
  std::uint64_t total = 0;
  for (const traffic_share& share : matched_route.shares) total += share.weight;
  CHECK_GT(total, 0U) << "accepted a route whose shares all have weight 0";
  std::uint64_t draw = random_() % total;
  for (const traffic_share& share : matched_route.shares) {
    if (draw < share.weight) return share.service;
    draw -= share.weight;
  }
  return matched_route.shares.back().service;
}

bool flow_router::IsSkipped(const known_target& target) {
  return target.report.weight < kFullWeight &&
         std::uniform_real_distribution<double>(0, 1)(random_) >=
             WeightOf(target);
}

void flow_router::FindCandidates(instant now, const service_name& service,
                                 target_tag unanswered) {
  candidates_.clear();
  not_reporting_.clear();
  suspects_.clear();
  open_slots_ = 0;
  ObserveOverdue(now);
  const std::vector<data_centre_name> failing =
      failed_openings_.TakeFailing(now);
  for (const known_target* target : state_->targets.OfService(service)) {
    if (!target->AcceptsNewFlows(now)) continue;
    const data_centre_name& data_centre = target->report.data_centre;
    if (state_->closed.contains(data_centre)) continue;
    const bool is_failing =
        std::find(failing.begin(), failing.end(), data_centre) != failing.end();
    if (!is_failing) open_slots_ += SlotsOf(*target) * WeightOf(*target);
    const bool is_suspect = is_failing || target->tag == unanswered ||
                            target->IsLost(now) ||
                            load_.IsSuspect(now, target->tag) ||
                            IsSuspected(now, data_centre) || IsSkipped(*target);
    if (is_suspect) {
      suspects_.push_back(target);
    } else {
      (target->IsReporting(now) ? candidates_ : not_reporting_)
          .push_back(target);
    }
  }
  // When most targets don't report, their reports are probably lost on the way
  // and the targets are alive.
  if (candidates_.size() < not_reporting_.size()) {
    candidates_.insert(candidates_.end(), not_reporting_.begin(),
                       not_reporting_.end());
  }
  if (candidates_.empty()) candidates_ = suspects_;
}

slot_pressure flow_router::Pressure(instant now, const service_name& service,
                                    double slots) const {
  const auto response_time = response_times_.Estimate(service);
  if (!response_time) return 0;
  requests_per_s demand = 0;
  if (auto it = state_->demand.find(service); it != state_->demand.end()) {
    for (const auto& [name, rate] : it->second) demand += rate;
  }
  // The demand at other instances is assumed to change by the same ratio as the
  // demand at this one.
  const requests_per_s own_demand = demand_.Rate(now, service);
  const requests_per_s recent_demand = recent_demand_.Rate(now, service);
  if (own_demand > kMinDemand) {
    demand = std::max(demand, own_demand) *
             std::min(recent_demand / own_demand, kMaxDemandGrowth);
  }
  return PressureOf(demand, *response_time, slots);
}

bool flow_router::IsRefused(instant now, const service_name& service,
                            std::uint32_t priority, slot_pressure pressure,
                            const flow_packet& packet) {
  const auto it = state_->priorities.find(service);
  if (it == state_->priorities.end() || it->second.empty()) return false;
  const double share =
      ShareToRefuse(now, service, priority, pressure, it->second);
  // Callers of the highest priority aren't tracked before any is refused.
  const refusal_class of{service, priority};
  const bool is_highest = priority <= *it->second.begin();
  if (is_highest && share == 0 && !callers_.contains(of)) return false;
  return CallersOf(of).Refuses(now, packet, share);
}

double flow_router::ShareToRefuse(instant now, const service_name& service,
                                  std::uint32_t priority,
                                  slot_pressure pressure,
                                  const std::set<std::uint32_t>& priorities) {
  const std::size_t lower_priorities = priorities.size() - 1;
  const double level =
      lower_priorities == 0
          ? 0
          : refusal_levels_[service].Update(now, pressure, lower_priorities);
  if (priority > *priorities.begin()) {
    // With free slots nothing is refused, even if the level hasn't dropped to 0
    // yet.
    return pressure < 1 ? 0 : refusal_policy_(level, priority, priorities);
  }
  const slot_pressure highest = HighestPriorityPressure(now, service, pressure);
  const double highest_level =
      highest_refusal_levels_.try_emplace(service, kHighestPrioritySetpoint)
          .first->second.Update(now, highest, 1);
  const bool are_lower_refused = level >= static_cast<double>(lower_priorities);
  return are_lower_refused && highest >= 1 ? highest_level : 0;
}

slot_pressure flow_router::HighestPriorityPressure(
    instant now, const service_name& service, slot_pressure pressure) const {
  const requests_per_s demand = recent_demand_.Rate(now, service);
  if (demand < kMinDemand) return 0;
  return pressure *
         std::min(1.0, recent_highest_demand_.Rate(now, service) / demand);
}

void flow_router::ObserveDemand(instant now, const service_name& service,
                                std::uint32_t priority) {
  demand_.Observe(now, service);
  recent_demand_.Observe(now, service);
  const auto it = state_->priorities.find(service);
  if (it != state_->priorities.end() && priority <= *it->second.begin()) {
    recent_highest_demand_.Observe(now, service);
  }
}

caller_shares& flow_router::CallersOf(const refusal_class& of) {
  auto it = callers_.find(of);
  if (it != callers_.end()) return it->second;
  const auto position = [this, of](instant now, ipv4_address caller) {
    return RefusalPosition(now.time_since_epoch() + wall_clock_offset_, of,
                           caller);
  };
  return callers_.try_emplace(of, position).first->second;
}

// Reduces the candidates to those of one data centre, which is drawn at random
// with the weights of SplitDemand.
void flow_router::SelectDataCentre(const service_name& service,
                                   slot_pressure pressure) {
  load_by_data_centre loads;
  for (const known_target* target : candidates_) {
    loads[target->report.data_centre].slots += SlotsOf(*target);
  }
  if (auto it = state_->demand.find(service); it != state_->demand.end()) {
    for (const auto& [name, rate] : it->second) loads[name].demand = rate;
  }
  const auto weights =
      SplitDemand(own_data_centre_, loads, LocalSlack(pressure));
  double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  for (const auto& [name, weight] : weights) {
    draw -= weight;
    if (draw > 0) continue;
    std::erase_if(candidates_, [&chosen = name](const known_target* target) {
      return target->report.data_centre != chosen;
    });
    return;
  }
}

// Power of two choices: the less loaded of two random candidates. The random
// draw keeps instances with the same view from all selecting the same target.
const known_target* flow_router::SelectLessLoaded(
    instant now, const std::vector<const known_target*>& candidates) {
  const std::size_t first = random_() % candidates.size();
  const std::size_t second = random_() % candidates.size();
  const known_target* a = candidates[first];
  const known_target* b = candidates[second];
  return load_.RecentRequests(now, a->tag) / WeightOf(*a) <=
                 load_.RecentRequests(now, b->tag) / WeightOf(*b)
             ? a
             : b;
}

void flow_router::Tick(instant now) {
  const bool was_suspended = now - last_tick_ > kSuspensionThreshold;
  if (was_suspended) {
    response_times_.DiscardPending();
    reachability_.Discard(now);
    if (outcomes_) outcomes_->DiscardPending();
  }
  if (outcomes_) outcomes_->Tick(now);
  ObserveOverdue(now);
  last_tick_ = now;
  attempts_.Expire(now - kAttemptLifetime,
                   [this, now](const open_attempt& expired) {
                     load_.ChangePending(now, expired.tag, -1);
                   });
  load_.EraseIdle(now);
  link_.Tick(now);
  for (auto* levels : {&refusal_levels_, &highest_refusal_levels_}) {
    std::erase_if(*levels, [this](const auto& entry) {
      return !state_->priorities.contains(entry.first);
    });
  }
  std::erase_if(callers_, [this](const auto& entry) {
    auto it = state_->priorities.find(entry.first.service);
    return it == state_->priorities.end() ||
           !it->second.contains(entry.first.priority);
  });
  for (auto& [of, callers] : callers_) {
    if (was_suspended) callers.DiscardDecisions();
    callers.Tick(now);
  }
}

}  // namespace lavendertack
