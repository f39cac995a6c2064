// Converts target reports and routes to and from the messages that instances
// exchange.
#ifndef LAVENDERTACK_FOLLOWING_TARGET_CODEC_H_
#define LAVENDERTACK_FOLLOWING_TARGET_CODEC_H_

#include <optional>

#include "Manifest/published_state.h"
#include "Targets/outcome_report.h"
#include "Targets/target_registry.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// Encodes a target, with the remaining time of its cold start at `now`.
wire::target_record EncodeTarget(instant now, const registered_target& target);
// Decodes a target. Returns nothing when the id is empty, the phase is unknown
// or the port is above 65535.
std::optional<target_report> DecodeTarget(const wire::target_record& record);

// Adds the outcomes to a request.
void EncodeOutcomes(const outcome_report& report, wire::follow* follow);
// Decodes the outcomes in a request. The number of rows and the counts are
// limited.
outcome_report DecodeOutcomes(const wire::follow& follow);

// Encodes a change of a route, which may be its removal.
wire::route_record EncodeRoute(const route_change& change);
// Decodes the shares and the priority of a route that wasn't removed.
route DecodeRoute(const wire::route_record& record);

}  // namespace lavendertack

#endif  // LAVENDERTACK_FOLLOWING_TARGET_CODEC_H_
