// Decodes and validates packets of callers and messages of targets, and encodes
// the answers and orders that are sent to them.
//
// A parse function validates the complete message. For an invalid message it
// returns a wire_error that names the first invalid field.
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
inline constexpr std::size_t kMaxAnswerPartBytes = 1100;
// Longest name of a service, class, target or data centre, in bytes.
inline constexpr std::size_t kMaxNameBytes = 64;
// Longest deadline of a request.
inline constexpr milliseconds kMaxDeadline{60'000};

// Why a message was rejected.
struct wire_error {
  std::string field;   // Path of the invalid field, such as "request.number".
  std::string reason;  // What is wrong with it, such as "is 0".
};

// Decodes one datagram of a caller. Fails if it is longer than
// kMaxDatagramBytes.
std::variant<caller_packet, wire_error> ParseCallerPacket(
    std::string_view bytes);
// Validates a decoded caller packet and converts it to the typed form.
std::variant<caller_packet, wire_error> FromWire(
    const wire::caller_packet& message);
// Converts a caller packet to its protobuf message.
wire::caller_packet ToWire(const caller_packet& packet);

// Content of a target's message.
using target_message_body = std::variant<announcement, run_answer>;
// Decodes one message of a target. Accepts answers of any size, so that an
// answer that is too large still ends its request.
std::variant<target_message_body, wire_error> ParseTargetMessage(
    std::string_view bytes);

// Splits an answer into datagrams of at most kMaxDatagramBytes, with up to
// kMaxAnswerPartBytes of the body in each. Returns at least one.
std::vector<std::string> EncodeAnswer(const caller_answer& answer);

// Encodes the message that sends a request to a target.
std::string EncodeRunOrder(const run_order& order);
// Encodes the message that cancels one attempt at a target.
std::string EncodeCancel(attempt_id attempt);

}  // namespace lavendertack

#endif  // LAVENDERTACK_WIRE_CODEC_H_
