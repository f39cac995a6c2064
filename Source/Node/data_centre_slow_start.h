// Slow start of a data centre that returns to service: its share of new flows
// grows linearly, because its targets had no load and may be cold.
#ifndef LAVENDERTACK_NODE_DATA_CENTRE_SLOW_START_H_
#define LAVENDERTACK_NODE_DATA_CENTRE_SLOW_START_H_

#include <cstdint>
#include <optional>

#include "Common/instant.h"

namespace lavendertack {

// Time from the first heartbeat that an owner sends after applying the return
// of its data centre until the data centre gets its full share of new flows.
inline constexpr seconds kSlowStartDuration{30};

class data_centre_slow_start {
 public:
  // Sets whether the data centre is out of service as of the newest applied
  // ticket. The slow start begins when this changes from true to false. An
  // instance that starts while its data centre is in service has the full share
  // immediately.
  void SetOutOfService(instant now, bool out_of_service);

  // The number of ready slots to report for new flows, at most `ready_slots`: 0
  // while out of service, else at least 1 if any slot is ready.
  std::uint32_t Share(instant now, std::uint32_t ready_slots) const;

 private:
  bool out_of_service_ = false;
  std::optional<instant> returned_at_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_DATA_CENTRE_SLOW_START_H_
