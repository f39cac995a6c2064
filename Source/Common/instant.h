// Type of points in time. State machines receive the time with each event and
// never read a clock.
#ifndef LAVENDERTACK_COMMON_INSTANT_H_
#define LAVENDERTACK_COMMON_INSTANT_H_

#include <chrono>

namespace lavendertack {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The monotonic clock of one process, in microseconds. It also advances while
// the process is suspended. Instants of different processes aren't comparable.
struct process_clock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool is_steady = true;  // NOLINT: required by the standard.
};

using instant = process_clock::time_point;

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_INSTANT_H_
