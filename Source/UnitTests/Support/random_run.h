// Options and virtual time for the long random runs.
#ifndef LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_RUN_H_
#define LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_RUN_H_

#include <cstdint>
#include <functional>

#include "Common/event_queue.h"

namespace lavendertack::testing {

// Set from the command line: --seed N --runs N.
struct random_run_options {
  std::uint64_t first_seed = 1;
  std::uint64_t runs = 20;
};

random_run_options& RandomRunOptions();

// Calls `run` with each seed that the options ask for.
void ForEachSeed(const std::function<void(std::uint64_t seed)>& run);

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_RUN_H_
