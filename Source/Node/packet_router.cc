#include "Node/packet_router.h"

#include <glog/logging.h>

namespace lavendertack {
namespace {

// A packet is handed on at most so often inside the system.
constexpr std::uint32_t kMaxHops = 2;
// When a caller that no instance could serve may come back.
constexpr milliseconds kComeBack{500};
// Instances share no clock, so the time on a link is allowed for, not
// measured. Too long an allowance ends a request early, too short a one late.
constexpr milliseconds kLinkAllowanceWithin{1};
constexpr milliseconds kLinkAllowanceBetween{10};

placement PlaceFromCaller(const routing_view& view,
                          const caller_packet& packet) {
  if (std::holds_alternative<open_flow>(packet.body)) {
    return PlaceNewFlow(view.placement, packet.service, packet.flow);
  }
  if (!packet.token) return place_refused{refusal_reason::kNone, true};
  return PlaceEstablished(view.placement, *packet.token);
}

// The first instance has chosen the data centre; choosing again with other
// loads could open the flow in a second one.
placement PlaceForwarded(const routing_view& view, const caller_packet& packet,
                         const data_centre_name& placed) {
  const bool token_fits = !packet.token ||
                          packet.token->data_centre == placed ||
                          std::holds_alternative<open_flow>(packet.body);
  if (placed != view.data_centre || !token_fits) {
    return place_refused{refusal_reason::kOwnerUnreachable};
  }
  if (auto owner = view.placement.owner(placed)) {
    return place_at{placed, *owner};
  }
  return place_refused{refusal_reason::kOwnerUnreachable};
}

bool IsRepeatableOrNoRequest(const caller_packet& packet) {
  const auto* request = std::get_if<run_request>(&packet.body);
  return request == nullptr || request->repeatable;
}

answer_kind KindOf(const caller_packet& packet, const place_refused& refusal) {
  if (std::holds_alternative<open_flow>(packet.body)) {
    return answer_kind::kNotRun;
  }
  if (refusal.flow_lost && IsRepeatableOrNoRequest(packet)) {
    return answer_kind::kFlowLost;
  }
  return std::holds_alternative<run_request>(packet.body)
             ? answer_kind::kOutcomeUnknown
             : answer_kind::kNotRun;
}

}  // namespace

route RoutePacket(const routing_view& view, const caller_packet& packet,
                  const packet_origin& origin) {
  if (!view.placement.service_known) {
    return place_refused{view.current ? refusal_reason::kUnknownService
                                      : refusal_reason::kNotCurrent};
  }
  const placement where = origin.placed
                              ? PlaceForwarded(view, packet, *origin.placed)
                              : PlaceFromCaller(view, packet);
  if (const auto* refusal = std::get_if<place_refused>(&where)) {
    return *refusal;
  }
  const auto& place = std::get<place_at>(where);
  if (place.owner == view.self) {
    CHECK(place.data_centre == view.data_centre)
        << "an instance is in charge in another data centre";
    if (view.is_active_owner) return serve_here{};
    return place_refused{refusal_reason::kOwnerUnreachable};
  }
  if (origin.hops >= kMaxHops) {
    return place_refused{refusal_reason::kOwnerUnreachable};
  }
  const milliseconds link = place.data_centre == view.data_centre
                                ? kLinkAllowanceWithin
                                : kLinkAllowanceBetween;
  return hand_on{place, origin.hops + 1, origin.waited + link};
}

caller_answer RefusalOf(const caller_packet& packet,
                        const place_refused& refusal) {
  const auto* request = std::get_if<run_request>(&packet.body);
  return {.flow = packet.flow,
          .request = request == nullptr ? request_number{} : request->number,
          .kind = KindOf(packet, refusal),
          .reason = refusal.reason,
          .come_back = refusal.flow_lost ? milliseconds(0) : kComeBack,
          .token = packet.token,
          .body = {},
          .flow_lost = refusal.flow_lost};
}

}  // namespace lavendertack
