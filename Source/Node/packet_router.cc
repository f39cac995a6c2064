#include "Node/packet_router.h"

#include <glog/logging.h>

namespace lavendertack {
namespace {

// Maximum number of times that instances forward a packet.
constexpr std::uint32_t kMaxHops = 2;
// Time after which a refused caller may retry.
constexpr milliseconds kRefusalRetryAfter{500};
// Estimated delay of a link between two instances, which is counted towards a
// request's deadline. It can't be measured because their clocks aren't
// synchronised. An estimate that is too long ends a request early, one that is
// too short ends it late.
constexpr milliseconds kLinkDelayWithinDataCentre{1};
constexpr milliseconds kLinkDelayBetweenDataCentres{10};

placement PlaceFromCaller(const routing_view& view,
                          const caller_packet& packet) {
  if (std::holds_alternative<open_flow>(packet.body)) {
    return PlaceNewFlow(view.placement, packet.service, packet.flow);
  }
  // A packet without a token belongs to no open flow.
  if (!packet.token) return placement_refusal{refusal_reason::kNone, true};
  return PlaceOpenFlow(view.placement, *packet.token);
}

// Keeps the data centre that the first instance chose. Choosing again with
// different load data could open the flow in a second data centre.
placement PlaceForwarded(const routing_view& view, const caller_packet& packet,
                         const data_centre_name& chosen_data_centre) {
  const bool token_fits = !packet.token ||
                          packet.token->data_centre == chosen_data_centre ||
                          std::holds_alternative<open_flow>(packet.body);
  if (chosen_data_centre != view.data_centre || !token_fits) {
    return placement_refusal{refusal_reason::kOwnerUnreachable};
  }
  if (auto owner = view.placement.owner(chosen_data_centre)) {
    return owner_location{chosen_data_centre, *owner};
  }
  return placement_refusal{refusal_reason::kOwnerUnreachable};
}

bool IsRepeatableOrNoRequest(const caller_packet& packet) {
  const auto* request = std::get_if<run_request>(&packet.body);
  return request == nullptr || request->repeatable;
}

answer_kind RefusalAnswerKind(const caller_packet& packet,
                              const placement_refusal& refusal) {
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
    return placement_refusal{view.current ? refusal_reason::kUnknownService
                                          : refusal_reason::kNotCurrent};
  }
  const placement result =
      origin.chosen_data_centre
          ? PlaceForwarded(view, packet, *origin.chosen_data_centre)
          : PlaceFromCaller(view, packet);
  if (const auto* refusal = std::get_if<placement_refusal>(&result)) {
    return *refusal;
  }
  const auto& location = std::get<owner_location>(result);
  if (location.owner == view.self) {
    CHECK(location.data_centre == view.data_centre)
        << "an instance owns a service in another data centre";
    if (view.is_active_owner) return handle_locally{};
    return placement_refusal{refusal_reason::kOwnerUnreachable};
  }
  if (origin.hops >= kMaxHops) {
    return placement_refusal{refusal_reason::kOwnerUnreachable};
  }
  const milliseconds link = location.data_centre == view.data_centre
                                ? kLinkDelayWithinDataCentre
                                : kLinkDelayBetweenDataCentres;
  return forward_to_owner{location, origin.hops + 1, origin.waited + link};
}

caller_answer MakeRefusalAnswer(const caller_packet& packet,
                                const placement_refusal& refusal) {
  const auto* request = std::get_if<run_request>(&packet.body);
  return {
      .flow = packet.flow,
      .request = request == nullptr ? request_number{} : request->number,
      .kind = RefusalAnswerKind(packet, refusal),
      .reason = refusal.reason,
      .retry_after = refusal.flow_lost ? milliseconds(0) : kRefusalRetryAfter,
      .token = packet.token,
      .body = {},
      .flow_lost = refusal.flow_lost};
}

}  // namespace lavendertack
