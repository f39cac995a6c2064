// Time as the reducers see it: handed in with each event, never read.
#ifndef LAVENDERTACK_COMMON_INSTANT_H_
#define LAVENDERTACK_COMMON_INSTANT_H_

#include <chrono>

namespace lavendertack {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The clock of one process; it keeps running while the process is frozen.
// Instants of two processes are never compared.
struct process_clock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool is_steady = true;  // NOLINT: named by the standard.
};

using instant = process_clock::time_point;

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_INSTANT_H_
