#include "Node/data_centre_slow_start.h"

#include <algorithm>

namespace lavendertack {

void data_centre_slow_start::SetOutOfService(instant now, bool out_of_service) {
  if (out_of_service_ && !out_of_service) returned_at_ = now;
  out_of_service_ = out_of_service;
}

std::uint32_t data_centre_slow_start::Share(instant now,
                                            std::uint32_t ready_slots) const {
  if (out_of_service_ || ready_slots == 0) return 0;
  if (!returned_at_ || now - *returned_at_ >= kSlowStartDuration) {
    return ready_slots;
  }
  const auto elapsed =
      static_cast<std::uint64_t>((now - *returned_at_).count());
  const auto duration =
      static_cast<std::uint64_t>(microseconds(kSlowStartDuration).count());
  const std::uint64_t share = ready_slots * elapsed / duration;
  return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, share));
}

}  // namespace lavendertack
