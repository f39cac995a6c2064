#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {

random_run_options& RandomRunOptions() {
  static random_run_options options;
  return options;
}

void ForEachSeed(const std::function<void(std::uint64_t seed)>& run) {
  const random_run_options& options = RandomRunOptions();
  for (std::uint64_t i = 0; i < options.runs; ++i) {
    run(options.first_seed + i);
  }
}

}  // namespace lavendertack::testing
