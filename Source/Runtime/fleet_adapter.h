// Hooks through which the processes of a fleet use the formats of the platform
// that they run on: packets, HTTP calls, manifests and settings. Implemented in
// the folder of the adapter.
#ifndef LAVENDERTACK_RUNTIME_FLEET_ADAPTER_H_
#define LAVENDERTACK_RUNTIME_FLEET_ADAPTER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "Config/fleet_settings.h"
#include "Control/control_instance.h"
#include "Forwarding/packet.h"
#include "Json/object_reader.h"
#include "Manifest/published_state.h"
#include "Runtime/request_queue.h"

namespace lavendertack {

// Header that precedes a packet forwarded to a target.
using target_prefix = std::array<std::uint8_t, 8>;

// Format of the packets between callers, instances and targets.
struct packet_adapter {
  std::size_t max_bytes = 0;  // Size of the largest packet.
  // Returns nothing for bytes that aren't a valid packet.
  std::function<std::optional<flow_packet>(std::span<const std::uint8_t>)>
      decode;
  // Writes the target's tag into an encoded packet.
  std::function<void(std::span<std::uint8_t>, target_tag)> write_tag;
  // Encodes the packet that resets a caller's flow.
  std::function<std::vector<std::uint8_t>(const flow_packet&)> reset;
  // Encodes the header of packets to a target. Returns nothing for a target
  // whose id the packet format can't express.
  std::function<std::optional<target_prefix>(const target_id&)> prefix;
};

// Why a request is refused: it isn't a known call, or its document is invalid.
struct refused_call {
  unsigned status = 400;  // HTTP status of the response.
  std::string reason;
};
// A call to a control instance: a target's report, a target's notice that it
// has terminated, or an operator's order; refused_call if it is invalid.
using control_call = std::variant<target_report_received, target_ended,
                                  published_order, refused_call>;

// Format of the HTTP calls and their responses.
struct call_adapter {
  std::size_t max_body_bytes = 0;  // Largest request body.
  std::function<control_call(const http_request&)> decode;
  std::function<http_response(const refused_call&)> answer_refused;
  // Answers a target's report or the notice of its end.
  std::function<http_response(report_answer)> answer_report;
  // Answers an operator's order. `published` is the state that a read returns.
  // `calls_port` is the port at which control instances accept calls, for
  // redirects.
  std::function<http_response(
      const http_request& request, const order_outcome& outcome, bool is_read,
      const published_state& published, port_number calls_port)>
      answer_order;
  std::function<bool(const http_request&)> is_readiness_probe;
  std::function<http_response(bool ready)> answer_readiness;
};

// All formats of a platform.
struct fleet_adapter {
  packet_adapter packets;
  call_adapter calls;
  manifest_decoder decode_manifest;
  std::function<std::variant<fleet_settings, std::vector<json_error>>(
      std::string_view text)>
      parse_settings;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_FLEET_ADAPTER_H_
