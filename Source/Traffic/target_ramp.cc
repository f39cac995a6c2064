#include "Traffic/target_ramp.h"

#include <algorithm>
#include <cmath>

namespace lavendertack {
namespace {

// Growth at one good answer, and the longest and shortest time in which the
// limit may double.
constexpr double kGrowth = 1.125;
constexpr milliseconds kDoublingTime{1000};
constexpr milliseconds kDoublingTimeNoPrior{2000};
// Answers up to kGoodRatio times the baseline let the limit grow, answers
// above kBadRatio times the baseline let it shrink.
constexpr double kGoodRatio = 2.0;
constexpr double kBadRatio = 3.0;
constexpr double kShrink = 0.875;
// One answer counts at most as so many times the baseline.
constexpr double kMaxRatio = 10.0;
// Smoothing of the recent time and ratio.
constexpr double kRecentWeight = 0.25;
// Smoothing of the baseline: at first, while warm, and while ramping with a
// baseline that is already known.
constexpr double kFirstWeight = 1.0 / 8;
constexpr double kWarmWeight = 1.0 / 64;
constexpr double kRampWeight = 1.0 / 512;
// Page's cumulative sum test between exponential times of mean 1 and of mean
// kColdRatio: a step is the log of the likelihood ratio. A false alarm comes
// once in e^12 answers at most often.
constexpr double kColdRatio = 4.0;
constexpr double kAlarm = 12.0;
// Until an answer was seen.
constexpr microseconds kFirstGuess{100'000};
// A request is overdue after kMaxRatio baselines, but not before this.
constexpr microseconds kMinOverdue{100'000};
// No start for this long after a shed answer; it doubles while sheds go on.
constexpr microseconds kShedPause{50'000};
constexpr std::uint32_t kMaxPauseDoublings = 6;

double CusumStep(double ratio) {
  return ratio * (1.0 - 1.0 / kColdRatio) - std::log(kColdRatio);
}

double Micros(microseconds time) { return static_cast<double>(time.count()); }

microseconds FromMicros(double us) {
  return microseconds(static_cast<std::int64_t>(us));
}

}  // namespace

target_ramp::target_ramp(std::optional<microseconds> baseline)
    : has_prior_(baseline.has_value()),
      baseline_us_(baseline ? Micros(*baseline) : 0.0),
      ratio_(baseline ? kColdRatio : 1.0) {}

void target_ramp::SetSlots(std::uint32_t slots) {
  slots_ = std::max(slots, 1U);
  const double most = slots_;
  // More slots than have been shown to work are a claim like any other.
  if (most > limit_) warm_ = false;
  limit_ = std::min(limit_, most);
}

void target_ramp::ClaimedCold(instant now) {
  if (warm_ || limit_ > kColdLimit) Collapse(now);
}

void target_ramp::Started(instant now) {
  if (warm_) {
    next_start_ = std::max(next_start_, now);
    return;
  }
  // Starts are spread so that the work of one fills its share of the time.
  const double gap_us = Micros(RecentTime()) / limit_;
  next_start_ = now + FromMicros(gap_us);
}

void target_ramp::Answered(instant now, microseconds took, bool was_overdue) {
  const double us = std::max(Micros(took), 1.0);
  recent_us_ =
      recent_us_ == 0 ? us : recent_us_ + kRecentWeight * (us - recent_us_);
  sheds_in_row_ = 0;
  if (baseline_us_ == 0) baseline_us_ = us;
  const double ratio = us / baseline_us_;
  LearnBaseline(us);
  if (!was_overdue) Observe(now, ratio);
}

void target_ramp::Overdue(instant now) {
  recent_us_ = std::max(recent_us_, Micros(OverdueAfter()));
  Observe(now, kMaxRatio);
}

void target_ramp::Shed(instant now) {
  const auto doublings = std::min(sheds_in_row_, kMaxPauseDoublings);
  ++sheds_in_row_;
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
  return kFirstGuess;
}

std::optional<microseconds> target_ramp::Baseline() const {
  if (baseline_us_ == 0) return std::nullopt;
  return FromMicros(baseline_us_);
}

microseconds target_ramp::OverdueAfter() const {
  const double base = baseline_us_ > 0 ? baseline_us_ : Micros(kFirstGuess);
  return std::max(kMinOverdue, FromMicros(base * kMaxRatio));
}

void target_ramp::Observe(instant now, double ratio) {
  const double bounded = std::min(ratio, kMaxRatio);
  ratio_ += kRecentWeight * (bounded - ratio_);
  if (warm_) {
    cusum_ = std::max(0.0, cusum_ + CusumStep(bounded));
    if (cusum_ > kAlarm) Collapse(now);
    return;
  }
  if (ratio_ <= kGoodRatio) {
    Grow(now);
  } else if (ratio_ > kBadRatio) {
    limit_ = std::max(kColdLimit, limit_ * kShrink);
  }
}

void target_ramp::Grow(instant now) {
  const auto doubling = has_prior_ ? kDoublingTime : kDoublingTimeNoPrior;
  const double since = Micros(now - last_growth_) / Micros(doubling);
  const double by_time = std::exp2(std::clamp(since, 0.0, 1.0));
  limit_ = std::min<double>(slots_, limit_ * std::min(kGrowth, by_time));
  last_growth_ = now;
  if (limit_ < slots_) return;
  warm_ = true;
  has_prior_ = true;
  cusum_ = 0;
}

void target_ramp::Collapse(instant now) {
  warm_ = false;
  has_prior_ = baseline_us_ > 0;
  limit_ = kColdLimit;
  ratio_ = kColdRatio;
  cusum_ = 0;
  last_growth_ = now;
  next_start_ = std::max(next_start_, now + FromMicros(Micros(RecentTime())));
}

void target_ramp::LearnBaseline(double took_us) {
  double weight = has_prior_ ? kRampWeight : kFirstWeight;
  if (warm_) weight = kWarmWeight;
  const double bounded = std::min(took_us, baseline_us_ * kMaxRatio);
  baseline_us_ =
      std::max(1.0, baseline_us_ + weight * (bounded - baseline_us_));
}

}  // namespace lavendertack
