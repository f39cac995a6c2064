// Turns datagrams and messages from outside into typed messages, and back.
// Every parse function checks the whole message and names the field at fault.
#ifndef LAVENDERTACK_WIRE_CODEC_H_
#define LAVENDERTACK_WIRE_CODEC_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Traffic/messages.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Largest datagram from or to a caller, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
// Largest body in one part of an answer to a caller, in bytes.
inline constexpr std::size_t kAnswerPartBytes = 1100;
// Longest name of a service, class, target or data centre, in bytes.
inline constexpr std::size_t kMaxNameBytes = 64;
// Longest deadline that a caller may ask for.
inline constexpr milliseconds kMaxDeadline{60'000};

// What is wrong with a message, and in which field.
struct wire_error {
  std::string field;
  std::string reason;
};

std::variant<caller_packet, wire_error> ParseCallerPacket(
    std::string_view bytes);
std::variant<caller_packet, wire_error> FromWire(
    const wire::caller_packet& message);
wire::caller_packet ToWire(const caller_packet& packet);

using target_body = std::variant<announcement, run_answer>;
std::variant<target_body, wire_error> ParseTargetMessage(
    std::string_view bytes);

// Splits an answer into datagrams of at most kMaxDatagramBytes.
std::vector<std::string> EncodeAnswer(const caller_answer& answer);

std::string EncodeRunOrder(const run_order& order);
std::string EncodeCancel(attempt_id attempt);

}  // namespace lavendertack

#endif  // LAVENDERTACK_WIRE_CODEC_H_
