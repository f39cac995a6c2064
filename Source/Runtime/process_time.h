// Clock and random numbers for the event loops. Reducers receive both as
// arguments.
#ifndef LAVENDERTACK_RUNTIME_PROCESS_TIME_H_
#define LAVENDERTACK_RUNTIME_PROCESS_TIME_H_

#include <cstdint>

#include "Common/instant.h"

namespace lavendertack {

// Returns a monotonic time that also advances while the system is suspended.
instant Now();
// Returns 64 bits of the kernel's random number generator.
std::uint64_t RandomNumber();

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_PROCESS_TIME_H_
