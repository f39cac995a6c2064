// Where a caller's packet goes: the data centre and the instance in charge of
// its service there. Pure functions of agreed state and suspicion.
#ifndef LAVENDERTACK_TRAFFIC_PLACEMENT_H_
#define LAVENDERTACK_TRAFFIC_PLACEMENT_H_

#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "Traffic/messages.h"

namespace lavendertack {

// One data centre as a place for new flows of a service.
struct data_centre_choice {
  data_centre_name name;
  bool out = false;
  std::uint32_t ready_slots = 0;  // As its owner last told.
};

// What an instance knows when it places a packet.
struct placement_view {
  bool service_known = false;
  std::vector<data_centre_choice> data_centres;
  // The instance in charge of the service in a data centre, if reachable.
  std::function<std::optional<instance_name>(const data_centre_name&)> owner;
};

struct place_at {
  data_centre_name data_centre;
  instance_name owner;
};
struct place_refused {
  refusal_reason reason = refusal_reason::kNone;
  // The flow is given up; otherwise the caller may come back.
  bool flow_lost = false;
};
using placement = std::variant<place_at, place_refused>;

// Places a new flow by weighted rendezvous over the data centres that are in
// and have ready slots.
placement PlaceNewFlow(const placement_view& view, const service_name& service,
                       flow_id flow);

// Places a packet of an open flow: its token names the data centre.
placement PlaceEstablished(const placement_view& view, const flow_token& token);

// The instance in charge among `instances`, the same for every caller that
// sees the same ones.
std::optional<instance_name> OwnerAmong(
    const std::vector<instance_name>& instances, const service_name& service);

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_PLACEMENT_H_
