// A count in which older events weigh less: those of one window ago count 1/e.
#ifndef LAVENDERTACK_FORWARDING_DECAYED_COUNT_H_
#define LAVENDERTACK_FORWARDING_DECAYED_COUNT_H_

#include <cmath>

#include "Common/instant.h"

namespace lavendertack {

class decayed_count {
 public:
  explicit decayed_count(milliseconds window) : window_(window) {}

  void Add(instant now, double amount) {
    value_ = At(now) + amount;
    updated_ = now;
  }
  double At(instant now) const {
    const std::chrono::duration<double> since = now - updated_;
    return value_ * std::exp(-since / window_);
  }
  // When something was last added.
  instant updated() const { return updated_; }

 private:
  std::chrono::duration<double> window_;
  double value_ = 0;
  instant updated_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_DECAYED_COUNT_H_
