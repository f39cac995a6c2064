// Target reports and routes on the wire between instances.
#ifndef LAVENDERTACK_FOLLOWING_TARGET_CODEC_H_
#define LAVENDERTACK_FOLLOWING_TARGET_CODEC_H_

#include <optional>

#include "Manifest/published_state.h"
#include "Targets/target_registry.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// The time left until it's warm is told as of `now`.
wire::target_record EncodeTarget(instant now, const registered_target& target);
// Nothing when a field isn't one that an instance writes.
std::optional<target_report> DecodeTarget(const wire::target_record& record);

wire::route_record EncodeRoute(const route_change& change);
route DecodeRoute(const wire::route_record& record);

}  // namespace lavendertack

#endif  // LAVENDERTACK_FOLLOWING_TARGET_CODEC_H_
