// Conversion of the load of a service from and to messages.
#ifndef LAVENDERTACK_FOLLOWING_DEMAND_CODEC_H_
#define LAVENDERTACK_FOLLOWING_DEMAND_CODEC_H_

#include <optional>

#include "Forwarding/fleet_demand.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// Sets the load in the record.
void EncodeLoad(const service_load& load, wire::demand_record* record);
// nullopt if a value isn't valid, such as a negative rate.
std::optional<service_load> DecodeLoad(const wire::demand_record& record);

}  // namespace lavendertack

#endif  // LAVENDERTACK_FOLLOWING_DEMAND_CODEC_H_
