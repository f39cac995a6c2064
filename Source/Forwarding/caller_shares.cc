#include "Forwarding/caller_shares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <utility>

#include "Common/hash.h"

namespace lavendertack {
namespace {

// Window of the counts. An instance sees only a part of a caller's openings:
// with one opening per caller in 9 s, callers below their share are refused
// 0.04 of their openings with this window and 0.05 with 4 s. A longer one would
// refuse a caller for longer after it has reduced its demand.
constexpr milliseconds kCountWindow{6000};
// Longer than the time in which a caller retries twice after resets, shorter
// than the 1.4 s after which it abandons an attempt without an answer.
constexpr milliseconds kDecisionPeriod{400};
// The position advances by the golden ratio per period: a caller's refused
// periods are spread evenly over time, which a new hash per period wouldn't do.
constexpr double kPositionStep = 0.6180339887498949;
// Callers retry at once. A longer window would take later requests of callers
// that don't retry for retries.
constexpr milliseconds kRetryWindow = kDecisionPeriod;
// Time from a caller's opening packet to its retransmissions. A retransmission
// gets the decision of the opening packet, also if the reset was lost.
constexpr std::array<milliseconds, 3> kRetransmissionDelays{
    milliseconds(0), milliseconds(200), milliseconds(600)};
// An account with a larger part of all openings is refused by connection
// instead of by period: refusing and accepting all of it in turn would fill the
// targets' queues in one period and leave slots idle in the next. Its retries
// take only from its own share.
constexpr double kMaxPeriodicPart = 0.1;
// Sorting the callers takes longer than a decision, so it isn't done more
// often.
constexpr milliseconds kUpdateInterval{200};
// Window of the retries per refused first attempt.
constexpr milliseconds kRetryRateWindow{2000};
// The refusals that are owed are made up for over the window of the counts, by
// at most this change of the share. A greater one would let all openings pass
// for a while after too many refusals, when the refusal level has already been
// corrected.
constexpr double kMaxCorrection = 0.1;
// Window in which the refusals are compared with the required ones.
constexpr milliseconds kDeviationWindow{500};
// A greater deviation, in standard deviations of the number of refusals, isn't
// due to chance. With 2, callers below their share are refused more often.
constexpr double kMaxDeviation = 3;
// Without a decision for this long, no caller counts as above its share.
constexpr milliseconds kDecisionMemory{1000};

// Maps a hash to [0, 1).
double ToPosition(std::uint64_t hash) {
  return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

// Position of a single connection, the same for its retransmissions.
double FlowPosition(const flow_key& flow) {
  std::array<std::uint64_t, 2> values{};
  values[0] =
      std::uint64_t{flow.caller.ip.value} << 16 | flow.caller.port.value;
  values[1] = std::uint64_t{flow.route.ip.value} << 16 | flow.route.port.value;
  std::array<char, sizeof(values)> bytes{};
  std::memcpy(bytes.data(), values.data(), bytes.size());
  return ToPosition(StableHash({bytes.data(), bytes.size()}));
}

}  // namespace

double RefusalPosition(microseconds time, const refusal_class& of,
                       ipv4_address caller) {
  std::array<char, sizeof(caller.value)> bytes{};
  std::memcpy(bytes.data(), &caller.value, bytes.size());
  const std::uint64_t hash = StableHash(
      {bytes.data(), bytes.size()}, StableHash(of.service.value, of.priority));
  // Periods of different callers begin at different times.
  const microseconds period = kDecisionPeriod;
  const microseconds offset{static_cast<microseconds::rep>(
      hash % static_cast<std::uint64_t>(period.count()))};
  const auto number = static_cast<double>((time + offset) / period);
  const double start = ToPosition(hash);
  const double position = start + std::fmod(number * kPositionStep, 1.0);
  return position - std::floor(position);
}

void fair_share_bound::Set(const std::vector<double>& openings, double others) {
  steps_.clear();
  for (const double count : openings) steps_.push_back({count, 1, 0});
  if (others > 0) steps_.push_back({1, others, 0});
  std::sort(steps_.begin(), steps_.end(), [](const step& a, const step& b) {
    return a.openings > b.openings;
  });
  double callers = 0;
  double sum = 0;
  for (step& entry : steps_) {
    callers += entry.callers;
    sum += entry.callers * entry.openings;
    entry.callers = callers;
    entry.sum = sum;
  }
}

double fair_share_bound::BoundFor(double share) const {
  if (steps_.empty()) return 0;
  const double to_refuse = share * steps_.back().sum;
  // The first caller that stays within the bound: with its openings as the
  // bound, enough is refused.
  auto within = std::partition_point(
      steps_.begin(), steps_.end(), [to_refuse](const step& entry) {
        return entry.sum - entry.callers * entry.openings < to_refuse;
      });
  if (within == steps_.begin()) return within->openings;
  const step& above = *std::prev(within);
  return std::max(0.0, (above.sum - to_refuse) / above.callers);
}

caller_shares::caller_shares(position_hook position, std::size_t max_callers)
    : counts_(max_callers, kCountWindow),
      recent_retries_(kRetryRateWindow),
      refused_requests_(kRetryRateWindow),
      recent_required_(kDeviationWindow),
      recent_refused_(kDeviationWindow),
      position_(std::move(position)) {}

std::size_t caller_shares::MatchRetry(instant now, const flow_key& flow,
                                      caller_account* account) {
  if (now - account->last_refused > kRetryWindow) account->awaiting_retry = {};
  if (flow.route != account->refused_route) return 0;
  // Each refused attempt is followed by at most one retry, so the order in
  // which they are matched doesn't change the number of retries.
  for (std::size_t retry = kMaxRetries; retry > 0; --retry) {
    std::uint32_t& awaiting = account->awaiting_retry[retry - 1];
    if (awaiting == 0) continue;
    --awaiting;
    ++retries_;
    recent_retries_.Add(now, 1);
    return retry;
  }
  return 0;
}

double caller_shares::Corrected(instant now, double share) const {
  if (share >= 1) return 1;
  const double total = std::max(1.0, counts_.Total(now));
  return std::clamp(share + owed_refusals_ / total, 0.0, 1.0);
}

double caller_shares::FirstAttemptPart(instant now,
                                       double openings_part) const {
  const double refused = refused_requests_.ValueAt(now);
  const double retries = refused > 0
                             ? std::min(recent_retries_.ValueAt(now) / refused,
                                        static_cast<double>(kMaxRetries))
                             : 0;
  return openings_part / (1 + retries * (1 - openings_part));
}

double caller_shares::Deviation(instant now, double share) const {
  const double required = recent_required_.ValueAt(now);
  const double variance = required * (1 - share);
  if (variance <= 0) return 0;
  return (recent_refused_.ValueAt(now) - required) / std::sqrt(variance);
}

bool caller_shares::IsRefused(instant now, const flow_packet& packet,
                              double share) const {
  if (share <= 0) return false;
  const ipv4_address caller = packet.flow.caller.ip;
  const double total = counts_.Total(now);
  const double own = counts_.OwnOpenings(now, caller);
  const double corrected = Corrected(now, share);
  double refused_part = corrected;
  // Without a fair share, each caller is refused the same part.
  if (counted_ > 0 && corrected < 1) {
    // The bound grows and falls with the number of openings.
    const double bound = bound_.BoundFor(corrected) * total / counted_;
    refused_part = own > bound ? 1 - bound / own : 0;
  }
  const double deviation = Deviation(now, share);
  if (deviation < -kMaxDeviation) refused_part = std::max(refused_part, share);
  if (deviation > kMaxDeviation) refused_part = std::min(refused_part, share);
  if (own > kMaxPeriodicPart * total) {
    return FlowPosition(packet.flow) < refused_part;
  }
  refused_part = FirstAttemptPart(now, refused_part);
  const auto copy = std::min<std::size_t>(packet.retransmission,
                                          kRetransmissionDelays.size() - 1);
  const instant opened = now - kRetransmissionDelays[copy];
  return position_(opened, caller) < refused_part;
}

bool caller_shares::Refuses(instant now, const flow_packet& packet,
                            double share) {
  const ipv4_address caller = packet.flow.caller.ip;
  if (packet.retransmission > 0) return IsRefused(now, packet, share);
  counts_.Add(now, caller);
  caller_account& account = *counts_.Find(caller);
  const std::size_t preceding_retries = MatchRetry(now, packet.flow, &account);
  if (share <= 0) return false;
  last_share_ = share;
  last_decision_ = now;
  const bool refuses = IsRefused(now, packet, share);
  const double limit = std::max(1.0, counts_.Total(now)) * kMaxCorrection;
  owed_refusals_ =
      std::clamp(owed_refusals_ + share - (refuses ? 1 : 0), -limit, limit);
  recent_required_.Add(now, share);
  if (!refuses) return false;
  recent_refused_.Add(now, 1);
  ++account.refused;
  if (preceding_retries == 0) refused_requests_.Add(now, 1);
  if (account.refused_route != packet.flow.route) account.awaiting_retry = {};
  account.refused_route = packet.flow.route;
  account.last_refused = now;
  if (preceding_retries < kMaxRetries) {
    ++account.awaiting_retry[preceding_retries];
  }
  return true;
}

void caller_shares::Tick(instant now) {
  if (now - last_update_ < kUpdateInterval) return;
  last_update_ = now;
  counts_.Expire(now);
  openings_.clear();
  double known = 0;
  counts_.ForEach(now, [&](const caller_account&, double own) {
    openings_.push_back(own);
    known += own;
  });
  counted_ = counts_.Total(now);
  bound_.Set(openings_, std::max(0.0, counted_ - known));
  above_share_ = 0;
  if (last_share_ <= 0 || now - last_decision_ > kDecisionMemory) return;
  const double bound = bound_.BoundFor(Corrected(now, last_share_));
  above_share_ = static_cast<std::size_t>(
      std::count_if(openings_.begin(), openings_.end(),
                    [bound](double own) { return own > bound; }));
}

void caller_shares::DiscardDecisions() {
  owed_refusals_ = 0;
  recent_required_ = decayed_count(kDeviationWindow);
  recent_refused_ = decayed_count(kDeviationWindow);
  last_share_ = 0;
  above_share_ = 0;
}

std::vector<refused_caller> caller_shares::TakeRefused(instant now,
                                                       std::size_t max) {
  std::vector<refused_caller> refused;
  counts_.ForEach(now, [&refused](caller_account& account, double) {
    if (account.refused == 0) return;
    refused.push_back({account.caller, std::exchange(account.refused, 0)});
  });
  std::stable_sort(refused.begin(), refused.end(),
                   [](const refused_caller& a, const refused_caller& b) {
                     return a.refused > b.refused;
                   });
  if (refused.size() > max) refused.resize(max);
  return refused;
}

}  // namespace lavendertack
