// A data centre that comes back gets its share of new flows little by little:
// its targets had no load while it was out and may be cold.
#ifndef LAVENDERTACK_NODE_RETURN_RAMP_H_
#define LAVENDERTACK_NODE_RETURN_RAMP_H_

#include <cstdint>
#include <optional>

#include "Common/instant.h"

namespace lavendertack {

// From the instant at which the owner learns that its data centre is in again
// until it asks for its whole share of new flows.
inline constexpr seconds kReturnRamp{30};

class return_ramp {
 public:
  // The state of the data centre by the newest ticket in force. An instance
  // that starts while its data centre is in asks for the whole share at once.
  void Learned(instant now, bool out);

  // The part of `ready_slots` to ask new flows for: 0 while out, at least 1
  // of those ready when in.
  std::uint32_t Share(instant now, std::uint32_t ready_slots) const;

 private:
  bool out_ = false;
  std::optional<instant> back_since_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_RETURN_RAMP_H_
