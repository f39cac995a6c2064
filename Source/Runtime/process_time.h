// Clock and randomness of the process, for the loops; reducers get both handed
// in.
#ifndef LAVENDERTACK_RUNTIME_PROCESS_TIME_H_
#define LAVENDERTACK_RUNTIME_PROCESS_TIME_H_

#include <cstdint>

#include "Common/instant.h"

namespace lavendertack {

// Goes on while the process or the machine is suspended, and never back.
instant Now();
std::uint64_t RandomNumber();

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_PROCESS_TIME_H_
