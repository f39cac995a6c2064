// How much work one target may hold, learnt from its answers alone. The limit
// is counted in slots' worth of work: below one slot it is kept by a pause
// between starts. A target starts at kColdLimit, grows while its answers are
// about as quick as its own warm baseline, and falls back to kColdLimit when
// they show that it has turned cold.
#ifndef LAVENDERTACK_TRAFFIC_TARGET_RAMP_H_
#define LAVENDERTACK_TRAFFIC_TARGET_RAMP_H_

#include <cstdint>
#include <optional>

#include "Common/instant.h"

namespace lavendertack {

// Limit of a target that is cold, in slots' worth of work.
inline constexpr double kColdLimit = 0.25;

class target_ramp {
 public:
  // `baseline` is the time of a request at the warm targets of the service,
  // unset when none is warm.
  explicit target_ramp(std::optional<microseconds> baseline = std::nullopt);

  // Slots as announced, at least 1. A lower number binds at once.
  void SetSlots(std::uint32_t slots);
  // The target says that it is cold. That it is warm is never taken from it.
  void ClaimedCold(instant now);

  // A request was sent.
  void Started(instant now);
  // An answer came after `took`. One that was counted as overdue before isn't
  // counted again.
  void Answered(instant now, microseconds took, bool was_overdue = false);
  // The target refused a request because of its load.
  void Shed(instant now);
  // A request has been without an answer for OverdueAfter().
  void Overdue(instant now);

  // Requests that may run at a time.
  std::uint32_t Concurrency() const;
  // The next request may start from here on.
  instant NextStart() const { return next_start_; }
  // Slots' worth of work, from kColdLimit to the announced slots.
  double limit() const { return limit_; }
  bool warm() const { return warm_; }
  // Time of a request as lately observed.
  microseconds RecentTime() const;
  // Time of a request while warm; unset until an answer was seen.
  std::optional<microseconds> Baseline() const;
  // A request without an answer for so long counts as a bad answer.
  microseconds OverdueAfter() const;

 private:
  void Observe(instant now, double ratio);
  void Grow(instant now);
  void Collapse(instant now);
  void LearnBaseline(double took_us);

  std::uint32_t slots_ = 1;
  double limit_ = kColdLimit;
  bool warm_ = false;
  bool has_prior_ = false;
  double baseline_us_ = 0;  // 0: not known.
  double recent_us_ = 0;    // 0: not known.
  double ratio_;            // Smoothed time over the baseline.
  double cusum_ = 0;        // Evidence that a warm target has turned cold.
  std::uint32_t sheds_in_row_ = 0;
  instant last_growth_;
  instant next_start_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_TARGET_RAMP_H_
