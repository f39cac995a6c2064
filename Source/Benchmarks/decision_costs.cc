// Cost of one logged, and of one left out, decision. Prints a table of
// nanoseconds per decision. Usage: decision_costs [folder for log files]
#include <glog/logging.h>

#include <chrono>
#include <iostream>
#include <limits>

#include "Runtime/decision_log.h"

namespace lavendertack {
namespace {

constexpr std::uint64_t kDecisions = 200'000;

log_line Line(std::uint64_t i) {
  return {"entry",
          "flow " + std::to_string(i) +
              " of catalogue sent to nairobi-1a in "
              "nairobi-1",
          {i},
          {}};
}

// Nanoseconds per decision of `add`.
template <typename Add>
double Measure(const Add& add) {
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 1; i <= kDecisions; ++i) add(i);
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / static_cast<double>(kDecisions);
}

double MeasureLog(std::uint32_t lines_per_s) {
  decision_log log(lines_per_s,
                   [](const std::string& part, const std::string& text) {
                     LOG(INFO) << part << ": " << text;
                   });
  const instant now(seconds(1));
  return Measure([&](std::uint64_t i) { log.Add(now, Line(i)); });
}

void Run() {
  std::size_t bytes = 0;
  const double text =
      Measure([&bytes](std::uint64_t i) { bytes += Line(i).text.size(); });
  const double left_out = MeasureLog(0);
  const double logged = MeasureLog(std::numeric_limits<std::uint32_t>::max());
  std::cout << "building the text only: " << text << " ns (" << bytes
            << " bytes)\nleft out, kept in memory: " << left_out
            << " ns\nlogged: " << logged << " ns\n";
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
  lavendertack::Run();
  return 0;
}
