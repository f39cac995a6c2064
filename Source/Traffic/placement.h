// Selects the data centre for a caller's packet and the instance that owns the
// service there. The functions are pure: their results depend only on the
// agreed state, the reported ready slots and the instances' reachability.
#ifndef LAVENDERTACK_TRAFFIC_PLACEMENT_H_
#define LAVENDERTACK_TRAFFIC_PLACEMENT_H_

#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "Traffic/messages.h"

namespace lavendertack {

// A data centre that new flows of a service may be placed in.
struct data_centre_candidate {
  data_centre_name name;
  bool out = false;               // Taken out of service.
  std::uint32_t ready_slots = 0;  // From the owner's latest report.
};

// State on which an instance bases the placement of a packet.
struct placement_view {
  bool service_known = false;
  std::vector<data_centre_candidate> data_centres;
  // The owner of the service in a data centre; unset when none is reachable.
  std::function<std::optional<instance_name>(const data_centre_name&)> owner;
};

// Result: the packet is passed to `owner`.
struct owner_location {
  data_centre_name data_centre;
  instance_name owner;
};
// Result: the packet is refused.
struct placement_refusal {
  refusal_reason reason = refusal_reason::kNone;
  // The flow no longer exists; otherwise the caller may retry.
  bool flow_lost = false;
};
using placement = std::variant<owner_location, placement_refusal>;

// Places a new flow by weighted rendezvous hashing over the data centres that
// are in service, have ready slots and a reachable owner. The weight is the
// number of ready slots. Refuses with kNoTarget when there is none.
placement PlaceNewFlow(const placement_view& view, const service_name& service,
                       flow_id flow);

// Places a packet of an open flow in the data centre that its token names.
// Refuses when that is out of service or has no reachable owner.
placement PlaceOpenFlow(const placement_view& view, const flow_token& token);

// Selects the owner of a service among `instances` by rendezvous hashing. The
// result doesn't depend on their order; it is unset when there are none.
std::optional<instance_name> SelectOwner(
    const std::vector<instance_name>& instances, const service_name& service);

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_PLACEMENT_H_
