#include "Forwarding/flow_router.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
namespace {

// Opening packets remembered at a time: at 1,000 new flows a second more than
// the time in which callers repeat them.
constexpr std::size_t kMaxAttempts = 16'384;
// Callers give an attempt up after 1.4 s.
constexpr milliseconds kAttemptLifetime{1500};
// A target that said it ends may still be answering what has reached it; only
// then are its callers told that their connections are over.
constexpr milliseconds kEndingTime{1000};
// Load of a slot in the own data centre, over the mean of all, up to which new
// flows stay there.
constexpr double kLocalSlack = 1.3;
// Ticks come several times as often, unless the process is suspended.
constexpr milliseconds kSuspended{250};
// What is told to others changes slowly; what is refused follows what passes
// here right now.
constexpr milliseconds kDemandWindow{3000};
constexpr milliseconds kLastDemandWindow{500};
// More is taken for what it looks like after a start or a pause of this
// instance, when the longer window is nearly empty.
constexpr double kMostGrowth = 1.5;

double SlotsOf(const known_target& target) {
  return std::max<std::uint32_t>(1, target.report.slots);
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
    case forward_reason::kTargetOver:
      return "target_over";
    case forward_reason::kNotYetCurrent:
      return "not_yet_current";
    case forward_reason::kNoTag:
      return "no_tag";
    case forward_reason::kUnknownTag:
      return "unknown_tag";
  }
  return "unknown";
}

flow_router::flow_router(const routing_state* state, data_centre_name own,
                         std::uint64_t seed)
    : state_(state),
      own_(std::move(own)),
      random_(seed),
      demand_(kDemandWindow),
      last_demand_(kLastDemandWindow),
      attempts_(kMaxAttempts) {
  choice_ = [this](instant now,
                   const std::vector<const known_target*>& candidates) {
    return LeastLoaded(now, candidates);
  };
}

forward_decision flow_router::Route(instant now, const flow_packet& packet) {
  if (!state_->has_manifest) return drop_packet{forward_reason::kNotYetCurrent};
  return packet.opens ? Open(now, packet) : Follow(now, packet);
}

forward_decision flow_router::Open(instant now, const flow_packet& packet) {
  auto found = state_->routes.find(packet.flow.route);
  if (found == state_->routes.end()) {
    return reset_caller{forward_reason::kNoRoute};
  }
  target_tag unanswered;
  service_name service;
  if (auto earlier = attempts_.Take(packet.flow)) {
    load_.AddPending(now, earlier->tag, -1);
    if (packet.retransmission > 0) {
      unanswered = earlier->tag;
      load_.Unanswered(now, unanswered);
    }
    service = earlier->service;
  }
  const auto& shares = found->second.shares;
  const bool is_allowed =
      std::any_of(shares.begin(), shares.end(), [&](const auto& share) {
        return share.service == service && share.weight > 0;
      });
  if (!is_allowed) service = PickService(found->second);
  FindCandidates(now, service, unanswered);
  if (candidates_.empty()) return reset_caller{forward_reason::kNoTarget};
  if (auto pressure = MustRefuse(now, service, found->second.priority)) {
    return reset_caller{forward_reason::kOverloaded, *pressure};
  }
  KeepDataCentre(service);
  const known_target* target = choice_(now, candidates_);
  load_.Opened(now, target->tag);
  load_.AddPending(now, target->tag, 1);
  attempts_.Remember(packet.flow, {target->tag, service, now});
  return forward_to_target{target, unanswered.value == 0
                                       ? forward_reason::kOpened
                                       : forward_reason::kOpenedAgain};
}

forward_decision flow_router::Follow(instant now, const flow_packet& packet) {
  if (!state_->routes.contains(packet.flow.route)) {
    return reset_caller{forward_reason::kNoRoute};
  }
  if (packet.tag.value == 0) return drop_packet{forward_reason::kNoTag};
  if (auto attempt = attempts_.Take(packet.flow)) {
    load_.AddPending(now, attempt->tag, -1);
    load_.Answered(packet.tag);
    answer_latency_.Count(now - attempt->sent);
    answer_times_.Accepted(
        std::chrono::duration_cast<microseconds>(now - attempt->sent));
  }
  const known_target* target = state_->targets.FindByTag(packet.tag);
  if (target == nullptr) return drop_packet{forward_reason::kUnknownTag};
  if (target->IsTerminated() && now - target->changed > kEndingTime) {
    return reset_caller{forward_reason::kTargetOver};
  }
  // What waited here while the process stood still tells nothing of targets.
  if (now - last_tick_ <= kSuspended) {
    answer_times_.Passed(now, packet, target->report.service);
  }
  if (packet.data_bytes > 0) {
    load_.Carried(now, packet.tag);
    demand_.Count(now, target->report.service);
    last_demand_.Count(now, target->report.service);
  }
  return forward_to_target{target, forward_reason::kFollows};
}

const service_name& flow_router::PickService(const route& wanted) {
  std::uint64_t total = 0;
  for (const traffic_share& share : wanted.shares) total += share.weight;
  CHECK_GT(total, 0U) << "a route without any weight was accepted";
  std::uint64_t at = random_() % total;
  for (const traffic_share& share : wanted.shares) {
    if (at < share.weight) return share.service;
    at -= share.weight;
  }
  return wanted.shares.back().service;
}

void flow_router::FindCandidates(instant now, const service_name& service,
                                 target_tag unanswered) {
  candidates_.clear();
  silent_.clear();
  suspects_.clear();
  open_slots_ = 0;
  for (const known_target* target : state_->targets.OfService(service)) {
    if (!target->IsOpen(now)) continue;
    if (state_->closed.contains(target->report.data_centre)) continue;
    open_slots_ += SlotsOf(*target);
    const bool avoid =
        target->tag == unanswered || load_.IsSuspect(now, target->tag);
    if (avoid) {
      suspects_.push_back(target);
    } else {
      (target->IsReporting(now) ? candidates_ : silent_).push_back(target);
    }
  }
  // When most are silent, it's rather their reports that are lost.
  if (candidates_.size() < silent_.size()) {
    candidates_.insert(candidates_.end(), silent_.begin(), silent_.end());
  }
  if (candidates_.empty()) candidates_ = suspects_;
}

slot_pressure flow_router::Pressure(instant now, const service_name& service,
                                    double slots) const {
  const auto typical = answer_times_.Typical(service);
  if (!typical) return 0;
  requests_per_s demand = 0;
  if (auto it = state_->demand.find(service); it != state_->demand.end()) {
    for (const auto& [name, rate] : it->second) demand += rate;
  }
  // All are taken to grow and fall as what passes here.
  const requests_per_s mine = demand_.Rate(now, service);
  const requests_per_s last = last_demand_.Rate(now, service);
  if (mine > kMinDemand) {
    demand = std::max(demand, mine) * std::min(last / mine, kMostGrowth);
  }
  return PressureOf(demand, *typical, slots);
}

std::optional<slot_pressure> flow_router::MustRefuse(
    instant now, const service_name& service, std::uint32_t priority) {
  auto it = state_->priorities.find(service);
  if (it == state_->priorities.end() || it->second.size() < 2) {
    return std::nullopt;
  }
  const slot_pressure pressure = Pressure(now, service, open_slots_);
  const double level =
      refusals_[service].Move(now, pressure, it->second.size() - 1);
  // Some slots are free, whatever was refused a moment ago.
  if (pressure < 1) return std::nullopt;
  const double part = refusal_(level, priority, it->second);
  if (part <= 0) return std::nullopt;
  if (std::uniform_real_distribution<double>(0, 1)(random_) >= part) {
    return std::nullopt;
  }
  return pressure;
}

// Leaves the candidates of one data centre, drawn by the split of the demand.
void flow_router::KeepDataCentre(const service_name& service) {
  load_by_data_centre loads;
  for (const known_target* target : candidates_) {
    loads[target->report.data_centre].slots += SlotsOf(*target);
  }
  if (auto it = state_->demand.find(service); it != state_->demand.end()) {
    for (const auto& [name, rate] : it->second) loads[name].demand = rate;
  }
  const auto weights = SplitDemand(own_, loads, kLocalSlack);
  double at = std::uniform_real_distribution<double>(0, 1)(random_);
  for (const auto& [name, weight] : weights) {
    at -= weight;
    if (at > 0) continue;
    std::erase_if(candidates_, [&chosen = name](const known_target* target) {
      return target->report.data_centre != chosen;
    });
    return;
  }
}

// The less loaded of two random ones: instances that see the same don't all
// pick the same one.
const known_target* flow_router::LeastLoaded(
    instant now, const std::vector<const known_target*>& candidates) {
  const std::size_t first = random_() % candidates.size();
  const std::size_t second = random_() % candidates.size();
  const known_target* a = candidates[first];
  const known_target* b = candidates[second];
  return load_.Recent(now, a->tag) <= load_.Recent(now, b->tag) ? a : b;
}

void flow_router::Tick(instant now) {
  if (now - last_tick_ > kSuspended) answer_times_.Restart();
  last_tick_ = now;
  attempts_.Expire(now - kAttemptLifetime,
                   [this, now](const open_attempt& lost) {
                     load_.AddPending(now, lost.tag, -1);
                   });
  load_.Forget(now);
  std::erase_if(refusals_, [this](const auto& entry) {
    return !state_->priorities.contains(entry.first);
  });
}

}  // namespace lavendertack
