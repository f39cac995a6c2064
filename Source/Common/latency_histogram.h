// Histogram of latencies with fixed buckets, for the text exposition format.
#ifndef LAVENDERTACK_COMMON_LATENCY_HISTOGRAM_H_
#define LAVENDERTACK_COMMON_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstdint>
#include <string>

#include "Common/exposition_writer.h"
#include "Common/instant.h"

namespace lavendertack {

class latency_histogram {
 public:
  // Adds one observed latency.
  void Observe(microseconds latency) {
    ++count_;
    sum_ += latency;
    std::size_t bucket = 0;
    while (bucket < kBounds.size() && latency > kBounds[bucket]) ++bucket;
    ++counts_[bucket];
  }

  // Writes the buckets, sum (in seconds) and count as samples of the current
  // family of `out`.
  void WriteSamples(exposition_writer* out) const {
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < kBounds.size(); ++i) {
      cumulative += counts_[i];
      const double bound = std::chrono::duration<double>(kBounds[i]).count();
      std::ostringstream text;
      text << bound;
      out->AddSample(FormatLabel("le", text.str()), cumulative, "_bucket");
    }
    out->AddSample(FormatLabel("le", "+Inf"), count_, "_bucket");
    out->AddSample("", std::chrono::duration<double>(sum_).count(), "_sum");
    out->AddSample("", count_, "_count");
  }

  // Returns the number of observed latencies.
  std::uint64_t count() const { return count_; }

 private:
  // Upper bounds of the buckets, inclusive: from a round trip within a data
  // centre to the longest time that an operator waits.
  static constexpr std::array<milliseconds, 10> kBounds{
      milliseconds(1),   milliseconds(5),    milliseconds(10),
      milliseconds(25),  milliseconds(50),   milliseconds(100),
      milliseconds(250), milliseconds(1000), milliseconds(2500),
      milliseconds(5000)};

  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  std::uint64_t count_ = 0;
  microseconds sum_{0};
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_LATENCY_HISTOGRAM_H_
