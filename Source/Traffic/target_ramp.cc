#include "Traffic/target_ramp.h"

#include <algorithm>
#include <cmath>

namespace lavendertack {
namespace {

// Largest growth of the limit for one fast answer.
constexpr double kGrowthFactor = 1.125;
// Shortest time in which the limit may double: with a baseline known before the
// ramp began, and without one.
constexpr milliseconds kDoublingTime{1000};
constexpr milliseconds kDoublingTimeNoBaseline{2000};
// The limit grows while the smoothed latency is at most kGoodRatio times the
// baseline, and shrinks while it is above kBadRatio times the baseline.
constexpr double kGoodRatio = 2.0;
constexpr double kBadRatio = 3.0;
constexpr double kShrinkFactor = 0.875;
// Cap on a single latency sample, as a multiple of the baseline.
constexpr double kMaxRatio = 10.0;
// Weights of a new sample in the smoothed ratio and in the recent latency.
constexpr double kRatioWeight = 0.25;
constexpr double kRecentTimeWeight = 1.0 / 8;
// Weights of a new sample in the baseline: without an earlier baseline, while
// warm, and while ramping with an earlier baseline.
constexpr double kInitialWeight = 1.0 / 8;
constexpr double kWarmWeight = 1.0 / 64;
constexpr double kRampWeight = 1.0 / 512;
// Page's cumulative sum (CUSUM) test between exponentially distributed
// latencies of mean 1 and of mean kColdRatio, in units of the baseline. A step
// is the logarithm of the likelihood ratio. The mean distance between false
// alarms is at least e^12 answers.
constexpr double kColdRatio = 4.0;
constexpr double kCusumThreshold = 12.0;
// Assumed latency before the first answer without a baseline.
constexpr microseconds kInitialTimeEstimate{100'000};
// Shortest time after which a request is overdue. For a high baseline it is
// kMaxRatio baselines.
constexpr microseconds kMinOverdue{100'000};
// Pause before the next start after a shed answer. It doubles with each further
// consecutive shed answer, at most kMaxPauseDoublings times.
constexpr microseconds kShedPause{50'000};
constexpr std::uint32_t kMaxPauseDoublings = 6;

double CusumStep(double ratio) {
  return ratio * (1.0 - 1.0 / kColdRatio) - std::log(kColdRatio);
}

double ToMicros(microseconds time) { return static_cast<double>(time.count()); }

microseconds FromMicros(double us) {
  return microseconds(static_cast<std::int64_t>(us));
}

}  // namespace

target_ramp::target_ramp(std::optional<microseconds> baseline)
    : has_prior_baseline_(baseline.has_value()),
      baseline_us_(baseline ? ToMicros(*baseline) : 0.0),
      ratio_(baseline ? kColdRatio : 1.0) {}

void target_ramp::SetSlots(std::uint32_t slots) {
  slots_ = std::max(slots, 1U);
  const double announced = slots_;
  // The target hasn't shown yet that it can use slots above the limit, so it
  // must ramp up to them.
  if (announced > limit_) warm_ = false;
  limit_ = std::min(limit_, announced);
}

void target_ramp::RecordColdReport(instant now) {
  if (warm_ || limit_ > kColdLimit) ResetToCold(now);
}

void target_ramp::RecordStart(instant now) {
  if (warm_) {
    next_start_ = std::max(next_start_, now);
    return;
  }
  // Spaces starts so that on average `limit_` requests run at the same time.
  const double gap_us = ToMicros(RecentTime()) / limit_;
  next_start_ = now + FromMicros(gap_us);
}

void target_ramp::RecordAnswer(instant now, microseconds took,
                               bool was_overdue) {
  const double us = std::max(ToMicros(took), 1.0);
  consecutive_sheds_ = 0;
  if (baseline_us_ == 0) baseline_us_ = us;
  const double ratio = us / baseline_us_;
  UpdateBaseline(us);
  if (was_overdue) return;
  UpdateRecentTime(us);
  Observe(now, ratio);
}

void target_ramp::RecordOverdue(instant now) {
  UpdateRecentTime(ToMicros(OverdueAfter()));
  Observe(now, kMaxRatio);
}

void target_ramp::RecordShed(instant now) {
  const auto doublings = std::min(consecutive_sheds_, kMaxPauseDoublings);
  ++consecutive_sheds_;
  warm_ = false;
  limit_ = std::max(kColdLimit, limit_ / 2);
  last_growth_ = now;
  next_start_ = std::max(next_start_, now + kShedPause * (1U << doublings));
}

std::uint32_t target_ramp::Concurrency() const {
  return std::clamp(static_cast<std::uint32_t>(std::ceil(limit_)), 1U, slots_);
}

microseconds target_ramp::RecentTime() const {
  if (recent_us_ > 0) return FromMicros(recent_us_);
  if (baseline_us_ > 0) return FromMicros(baseline_us_);
  return kInitialTimeEstimate;
}

std::optional<microseconds> target_ramp::Baseline() const {
  if (baseline_us_ == 0) return std::nullopt;
  return FromMicros(baseline_us_);
}

microseconds target_ramp::OverdueAfter() const {
  const double base =
      baseline_us_ > 0 ? baseline_us_ : ToMicros(kInitialTimeEstimate);
  return std::max(kMinOverdue, FromMicros(base * kMaxRatio));
}

void target_ramp::Observe(instant now, double ratio) {
  const double bounded = std::min(ratio, kMaxRatio);
  ratio_ += kRatioWeight * (bounded - ratio_);
  if (warm_) {
    cusum_ = std::max(0.0, cusum_ + CusumStep(bounded));
    if (cusum_ > kCusumThreshold) ResetToCold(now);
    return;
  }
  if (ratio_ <= kGoodRatio) {
    Grow(now);
  } else if (ratio_ > kBadRatio) {
    limit_ = std::max(kColdLimit, limit_ * kShrinkFactor);
  }
}

void target_ramp::Grow(instant now) {
  const auto doubling =
      has_prior_baseline_ ? kDoublingTime : kDoublingTimeNoBaseline;
  const double elapsed_doublings =
      ToMicros(now - last_growth_) / ToMicros(doubling);
  const double max_growth = std::exp2(std::clamp(elapsed_doublings, 0.0, 1.0));
  limit_ =
      std::min<double>(slots_, limit_ * std::min(kGrowthFactor, max_growth));
  last_growth_ = now;
  if (limit_ < slots_) return;
  warm_ = true;
  has_prior_baseline_ = true;
  cusum_ = 0;
}

void target_ramp::ResetToCold(instant now) {
  warm_ = false;
  has_prior_baseline_ = baseline_us_ > 0;
  limit_ = kColdLimit;
  ratio_ = kColdRatio;
  cusum_ = 0;
  last_growth_ = now;
  next_start_ = std::max(next_start_, now + FromMicros(ToMicros(RecentTime())));
}

void target_ramp::UpdateRecentTime(double took_us) {
  // Capped, so that one very slow answer doesn't make every queued request look
  // unable to meet its deadline.
  const double cap = std::max(baseline_us_ * kMaxRatio, ToMicros(kMinOverdue));
  const double bounded = std::min(took_us, cap);
  if (recent_us_ == 0) recent_us_ = bounded;
  recent_us_ += kRecentTimeWeight * (bounded - recent_us_);
}

void target_ramp::UpdateBaseline(double took_us) {
  double weight = has_prior_baseline_ ? kRampWeight : kInitialWeight;
  if (warm_) weight = kWarmWeight;
  const double bounded = std::min(took_us, baseline_us_ * kMaxRatio);
  baseline_us_ =
      std::max(1.0, baseline_us_ + weight * (bounded - baseline_us_));
}

}  // namespace lavendertack
