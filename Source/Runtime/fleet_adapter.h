// What a fleet's processes need of the platform that they run on, as hooks: the
// formats of its packets and calls. Filled by the adapter's folder.
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
#include "Runtime/admin_queue.h"

namespace lavendertack {

// Bytes before a packet on its way to a target.
using target_prefix = std::array<std::uint8_t, 8>;

struct packet_adapter {
  std::size_t max_bytes = 0;
  // Nothing for bytes that are no packet.
  std::function<std::optional<flow_packet>(std::span<const std::uint8_t>)>
      decode;
  std::function<void(std::span<std::uint8_t>, target_tag)> write_tag;
  std::function<std::vector<std::uint8_t>(const flow_packet&)> reset;
  // Nothing for a target that can't be sent to.
  std::function<std::optional<target_prefix>(const target_id&)> prefix;
};

// A request that is no call, or one whose document isn't right.
struct refused_call {
  unsigned status = 400;
  std::string reason;
};
using control_call = std::variant<target_report_received, target_ended,
                                  published_order, refused_call>;

struct call_adapter {
  std::size_t max_body_bytes = 0;
  std::function<control_call(const http_request&)> decode;
  std::function<http_answer(const refused_call&)> answer_refused;
  // Unless `confirmed`, the target should tell another control instance.
  std::function<http_answer(bool confirmed)> answer_report;
  // `published` is what a read is answered with; `request` what was asked.
  std::function<http_answer(
      const http_request& request, const order_outcome& outcome, bool is_read,
      const published_state& published, port_number calls_port)>
      answer_order;
  std::function<bool(const http_request&)> is_readiness_probe;
  std::function<http_answer(bool ready)> answer_readiness;
};

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
