#include "UnitTests/Support/random_run.h"

#include <utility>

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

void event_queue::After(microseconds delay, std::function<void()> action) {
  entries_.push({now_ + delay, ++order_, std::move(action)});
}

bool event_queue::RunNext() {
  if (entries_.empty()) return false;
  entry next = entries_.top();
  entries_.pop();
  now_ = next.when;
  next.action();
  return true;
}

void event_queue::RunUntil(instant end) {
  while (!entries_.empty() && entries_.top().when <= end) RunNext();
  now_ = end;
}

}  // namespace lavendertack::testing
