// Counts of latencies by fixed bounds, for the text exposition format.
#ifndef LAVENDERTACK_COMMON_LATENCY_HISTOGRAM_H_
#define LAVENDERTACK_COMMON_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstdint>
#include <string>

#include "Common/exposition.h"
#include "Common/instant.h"

namespace lavendertack {

class latency_histogram {
 public:
  void Count(microseconds took) {
    ++count_;
    sum_ += took;
    std::size_t at = 0;
    while (at < kBounds.size() && took > kBounds[at]) ++at;
    ++counts_[at];
  }

  // Writes the samples of the family that was begun last.
  void Expose(exposition* out) const {
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < kBounds.size(); ++i) {
      below += counts_[i];
      const double bound = std::chrono::duration<double>(kBounds[i]).count();
      std::ostringstream text;
      text << bound;
      out->Sample(Label("le", text.str()), below, "_bucket");
    }
    out->Sample(Label("le", "+Inf"), count_, "_bucket");
    out->Sample("", std::chrono::duration<double>(sum_).count(), "_sum");
    out->Sample("", count_, "_count");
  }

  std::uint64_t count() const { return count_; }

 private:
  // From a round trip within a data centre to an operator's patience.
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
