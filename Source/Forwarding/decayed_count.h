// Exponentially decaying counter.
#ifndef LAVENDERTACK_FORWARDING_DECAYED_COUNT_H_
#define LAVENDERTACK_FORWARDING_DECAYED_COUNT_H_

#include <cmath>

#include "Common/instant.h"

namespace lavendertack {

// A count of events in which an event that is one window old weighs 1/e.
class decayed_count {
 public:
  // `window` is the time in which the weight of an event falls to 1/e.
  explicit decayed_count(milliseconds window) : window_(window) {}

  void Add(instant now, double amount) {
    value_ = ValueAt(now) + amount;
    last_added_ = now;
  }
  // The decayed sum at `now`, which must not be before the last addition.
  double ValueAt(instant now) const {
    const std::chrono::duration<double> elapsed = now - last_added_;
    return value_ * std::exp(-elapsed / window_);
  }
  // Time of the last addition.
  instant last_added() const { return last_added_; }

 private:
  std::chrono::duration<double> window_;
  double value_ = 0;
  instant last_added_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_DECAYED_COUNT_H_
