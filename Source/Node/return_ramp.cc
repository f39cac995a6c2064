#include "Node/return_ramp.h"

#include <algorithm>

namespace lavendertack {

void return_ramp::Learned(instant now, bool out) {
  if (out_ && !out) back_since_ = now;
  out_ = out;
}

std::uint32_t return_ramp::Share(instant now, std::uint32_t ready_slots) const {
  if (out_ || ready_slots == 0) return 0;
  if (!back_since_ || now - *back_since_ >= kReturnRamp) return ready_slots;
  const auto passed = static_cast<std::uint64_t>((now - *back_since_).count());
  const auto whole =
      static_cast<std::uint64_t>(microseconds(kReturnRamp).count());
  const std::uint64_t share = ready_slots * passed / whole;
  return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, share));
}

}  // namespace lavendertack
