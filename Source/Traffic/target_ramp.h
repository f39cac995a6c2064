// Adaptive concurrency limit of one target, derived from the latency of its
// answers alone. The limit is a number of slots; a fraction of a slot is
// enforced by a pause between starts. It begins at kColdLimit, grows while the
// latency is close to the target's warm baseline, and is reset to kColdLimit
// when the latency shows that the target has become cold.
#ifndef LAVENDERTACK_TRAFFIC_TARGET_RAMP_H_
#define LAVENDERTACK_TRAFFIC_TARGET_RAMP_H_

#include <cstdint>
#include <optional>

#include "Common/instant.h"

namespace lavendertack {

// Limit of a cold target, in slots.
inline constexpr double kColdLimit = 0.25;

// Concurrency limit, pacing and latency statistics of a target.
class target_ramp {
 public:
  // `baseline` is the mean latency of the service's warm targets, unset when
  // none is warm.
  explicit target_ramp(std::optional<microseconds> baseline = std::nullopt);

  // Sets the announced slots; 0 counts as 1. A lower number applies at once.
  void SetSlots(std::uint32_t slots);
  // The target has reported that it is cold, or it was lost and is reachable
  // again. There is no counterpart for a report that it is warm: only the
  // latency of its answers shows that.
  void RecordColdReport(instant now);

  // A request was sent.
  void RecordStart(instant now);
  // An answer arrived `took` after its request was sent. If the request was
  // recorded as overdue, only the baseline is updated.
  void RecordAnswer(instant now, microseconds took, bool was_overdue = false);
  // The target refused a request because of its load.
  void RecordShed(instant now);
  // A request has been without an answer for OverdueAfter().
  void RecordOverdue(instant now);

  // Requests that may run at the same time: the limit rounded up, at least 1.
  std::uint32_t Concurrency() const;
  // Earliest time at which the next request may start.
  instant NextStart() const { return next_start_; }
  // Limit in slots, from kColdLimit to the announced slots.
  double limit() const { return limit_; }
  // True once the limit has reached the announced slots.
  bool warm() const { return warm_; }
  // Moving average of the recent latency. The baseline, or 100 ms, before the
  // first answer.
  microseconds RecentTime() const;
  // Mean latency while warm; unset until the first answer, unless the
  // constructor was given one.
  std::optional<microseconds> Baseline() const;
  // Time after which a request without an answer is overdue and counts as slow.
  microseconds OverdueAfter() const;

 private:
  void Observe(instant now, double ratio);
  void Grow(instant now);
  void ResetToCold(instant now);
  void UpdateBaseline(double took_us);
  void UpdateRecentTime(double took_us);

  std::uint32_t slots_ = 1;
  double limit_ = kColdLimit;
  bool warm_ = false;
  bool has_prior_baseline_ = false;
  double baseline_us_ = 0;  // 0: unknown.
  double recent_us_ = 0;    // 0: unknown.
  double ratio_;            // Smoothed ratio of latency to baseline.
  double cusum_ = 0;        // Statistic of the test for a cold target.
  std::uint32_t consecutive_sheds_ = 0;
  instant last_growth_;
  instant next_start_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_TARGET_RAMP_H_
