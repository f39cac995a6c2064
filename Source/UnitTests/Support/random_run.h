// Command line options and the loop over seeds for random tests. Also includes
// the event queue, which gives them virtual time.
#ifndef LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_RUN_H_
#define LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_RUN_H_

#include <cstdint>
#include <functional>

#include "Common/event_queue.h"

namespace lavendertack::testing {

// Set from the command line: --seed N --runs N.
struct random_run_options {
  std::uint64_t first_seed = 1;
  std::uint64_t runs = 20;  // Number of consecutive seeds.
};

// The options of this process, to be set before the tests start.
random_run_options& RandomRunOptions();

// Calls `run` with each seed selected by the options.
void ForEachSeed(const std::function<void(std::uint64_t seed)>& run);

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_SUPPORT_RANDOM_RUN_H_
