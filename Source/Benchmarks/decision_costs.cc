// Measures the time for a decision that is logged and for one that is left out
// of the log because of its rate limit, in nanoseconds per decision. Without a
// folder the log goes to the standard error stream.
//
// Usage: decision_costs [folder for log files]
#include <glog/logging.h>

#include <chrono>
#include <iostream>
#include <limits>

#include "Runtime/decision_log.h"

namespace lavendertack {
namespace {

constexpr std::uint64_t kDecisionCount = 200'000;

log_line DecisionLine(std::uint64_t i) {
  return {"entry",
          "flow " + std::to_string(i) +
              " of catalogue sent to nairobi-1a in "
              "nairobi-1",
          {i},
          {}};
}

// Mean time of a call of `add_decision`, which gets the number of the decision.
template <typename add_function>
double NanosecondsPerDecision(const add_function& add_decision) {
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 1; i <= kDecisionCount; ++i) add_decision(i);
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / static_cast<double>(kDecisionCount);
}

// Time per decision if the log may write `lines_per_s` lines per second.
double MeasureDecisionLog(std::uint32_t lines_per_s) {
  decision_log log(lines_per_s,
                   [](const std::string& component, const std::string& text) {
                     LOG(INFO) << component << ": " << text;
                   });
  const instant now(seconds(1));
  return NanosecondsPerDecision(
      [&](std::uint64_t i) { log.Add(now, DecisionLine(i)); });
}

void RunBenchmarks() {
  std::size_t total_bytes = 0;
  const double format_ns =
      NanosecondsPerDecision([&total_bytes](std::uint64_t i) {
        total_bytes += DecisionLine(i).text.size();
      });
  const double left_out_ns = MeasureDecisionLog(0);
  const double logged_ns =
      MeasureDecisionLog(std::numeric_limits<std::uint32_t>::max());
  std::cout << "formatting only: " << format_ns << " ns (" << total_bytes
            << " bytes)\nleft out, kept in memory only: " << left_out_ns
            << " ns\nlogged: " << logged_ns << " ns\n";
}

}  // namespace
}  // namespace lavendertack

int main(int argc, char** argv) {
  if (argc > 1) {
    FLAGS_log_dir = argv[1];
  } else {
    FLAGS_logtostderr = true;
  }
  google::InitGoogleLogging(argv[0]);
  lavendertack::RunBenchmarks();
  return 0;
}
