#include "Wire/codec.h"

#include <algorithm>

#include "Common/hash.h"

namespace lavendertack {
namespace {

std::optional<wire_error> CheckName(const std::string& name,
                                    std::string field) {
  if (name.empty()) return wire_error{std::move(field), "is empty"};
  if (name.size() > kMaxNameBytes) {
    return wire_error{std::move(field), "is longer than 64 bytes"};
  }
  const bool has_control = std::any_of(name.begin(), name.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
  // A line break in a name would split a line of the log.
  if (has_control) {
    return wire_error{std::move(field), "holds a control character"};
  }
  return std::nullopt;
}

std::variant<flow_token, wire_error> ParseToken(const std::string& bytes) {
  wire::flow_token message;
  if (!message.ParseFromString(bytes)) {
    return wire_error{"token", "is malformed"};
  }
  if (auto error = CheckName(message.data_centre(), "token.data_centre")) {
    return *error;
  }
  if (auto error = CheckName(message.target(), "token.target")) return *error;
  return flow_token{.data_centre = {message.data_centre()},
                    .target = {message.target()},
                    .boot = {message.boot()},
                    .epoch = {message.owner_epoch()},
                    .nonce = message.nonce()};
}

std::string EncodeToken(const flow_token& token) {
  wire::flow_token message;
  message.set_data_centre(token.data_centre.value);
  message.set_target(token.target.value);
  message.set_boot(token.boot.value);
  message.set_owner_epoch(token.epoch.value);
  message.set_nonce(token.nonce);
  return message.SerializeAsString();
}

std::variant<run_request, wire_error> ParseRequest(
    const wire::run_request& message) {
  if (message.number() == 0) return wire_error{"request.number", "is 0"};
  if (auto error =
          CheckName(message.service_class(), "request.service_class")) {
    return *error;
  }
  if (message.deadline_ms() == 0) {
    return wire_error{"request.deadline_ms", "is 0"};
  }
  if (milliseconds(message.deadline_ms()) > kMaxDeadline) {
    return wire_error{"request.deadline_ms", "is above 60000"};
  }
  return run_request{.number = {message.number()},
                     .service_class = {message.service_class()},
                     .repeatable = message.repeatable(),
                     .deadline = milliseconds(message.deadline_ms()),
                     .body = message.body()};
}

std::variant<caller_body, wire_error> ParseBody(
    const wire::caller_packet& message) {
  switch (message.body_case()) {
    case wire::caller_packet::kOpen:
      return caller_body{open_flow{}};
    case wire::caller_packet::kClose:
      return caller_body{close_flow{}};
    case wire::caller_packet::kKeepAlive:
      return caller_body{keep_alive{}};
    case wire::caller_packet::kCancel:
      if (message.cancel().number() == 0) {
        return wire_error{"cancel.number", "is 0"};
      }
      return caller_body{cancel_request{{message.cancel().number()}}};
    case wire::caller_packet::kRequest: {
      auto request = ParseRequest(message.request());
      if (auto* error = std::get_if<wire_error>(&request)) return *error;
      return caller_body{std::get<run_request>(std::move(request))};
    }
    case wire::caller_packet::BODY_NOT_SET:
      break;
  }
  return wire_error{"body", "is missing or unknown"};
}

std::variant<target_message_body, wire_error> ParseAnnouncement(
    const wire::announcement& message) {
  if (auto error = CheckName(message.target(), "announce.target")) {
    return *error;
  }
  if (auto error = CheckName(message.service(), "announce.service")) {
    return *error;
  }
  if (message.boot() == 0) return wire_error{"announce.boot", "is 0"};
  if (message.state() < wire::COLD || message.state() > wire::LEAVING) {
    return wire_error{"announce.state", "is unknown"};
  }
  if (message.slots() == 0 || message.slots() > 10'000) {
    return wire_error{"announce.slots", "is not within 1 to 10000"};
  }
  if (message.connections() == 0 || message.connections() > 1'000'000) {
    return wire_error{"announce.connections", "is not within 1 to 1000000"};
  }
  return target_message_body{
      announcement{.target = {message.target()},
                   .service = {message.service()},
                   .boot = {message.boot()},
                   .state = static_cast<target_state>(message.state()),
                   .slots = message.slots(),
                   .connections = message.connections(),
                   .reported_busy = message.reported_busy()}};
}

std::variant<target_message_body, wire_error> ParseRunAnswer(
    const wire::run_answer& message) {
  if (message.status() < wire::DONE || message.status() > wire::ABANDONED) {
    return wire_error{"answer.status", "is unknown"};
  }
  if (message.parts() == 0) return wire_error{"answer.parts", "is 0"};
  if (message.part() >= message.parts()) {
    return wire_error{"answer.part", "is not below parts"};
  }
  return target_message_body{
      run_answer{.attempt = {message.attempt()},
                 .status = static_cast<run_status>(message.status()),
                 .part = message.part(),
                 .parts = message.parts(),
                 .body = message.body()}};
}

}  // namespace

std::variant<caller_packet, wire_error> ParseCallerPacket(
    std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) {
    return wire_error{"packet", "is longer than 1400 bytes"};
  }
  wire::caller_packet message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return wire_error{"packet", "is malformed"};
  }
  return FromWire(message);
}

std::variant<caller_packet, wire_error> FromWire(
    const wire::caller_packet& message) {
  if (auto error = CheckName(message.service(), "service")) return *error;
  caller_packet packet{.flow = {message.flow()},
                       .service = {message.service()},
                       .token = std::nullopt,
                       .body = {}};
  if (!message.token().empty()) {
    auto token = ParseToken(message.token());
    if (auto* error = std::get_if<wire_error>(&token)) return *error;
    packet.token = std::get<flow_token>(std::move(token));
  }
  auto body = ParseBody(message);
  if (auto* error = std::get_if<wire_error>(&body)) return *error;
  packet.body = std::get<caller_body>(std::move(body));
  return packet;
}

wire::caller_packet ToWire(const caller_packet& packet) {
  wire::caller_packet message;
  message.set_flow(packet.flow.value);
  message.set_service(packet.service.value);
  if (packet.token) message.set_token(EncodeToken(*packet.token));
  if (std::holds_alternative<open_flow>(packet.body)) {
    message.mutable_open();
  } else if (std::holds_alternative<close_flow>(packet.body)) {
    message.mutable_close();
  } else if (std::holds_alternative<keep_alive>(packet.body)) {
    message.mutable_keep_alive();
  } else if (const auto* cancel = std::get_if<cancel_request>(&packet.body)) {
    message.mutable_cancel()->set_number(cancel->number.value);
  } else if (const auto* request = std::get_if<run_request>(&packet.body)) {
    auto* out = message.mutable_request();
    out->set_number(request->number.value);
    out->set_service_class(request->service_class.value);
    out->set_repeatable(request->repeatable);
    out->set_deadline_ms(static_cast<std::uint32_t>(request->deadline.count()));
    out->set_body(request->body);
  }
  return message;
}

std::variant<target_message_body, wire_error> ParseTargetMessage(
    std::string_view bytes) {
  wire::target_message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return wire_error{"message", "is malformed"};
  }
  if (message.has_announce()) return ParseAnnouncement(message.announce());
  if (message.has_answer()) return ParseRunAnswer(message.answer());
  return wire_error{"body", "is missing or unknown"};
}

std::vector<std::string> EncodeAnswer(const caller_answer& answer) {
  wire::caller_answer message;
  message.set_flow(answer.flow.value);
  message.set_request(answer.request.value);
  message.set_kind(static_cast<wire::answer_kind>(answer.kind));
  message.set_reason(static_cast<wire::refusal_reason>(answer.reason));
  message.set_come_back_ms(
      static_cast<std::uint32_t>(answer.retry_after.count()));
  if (answer.token) message.set_token(EncodeToken(*answer.token));
  message.set_body_hash(StableHash(answer.body));
  message.set_flow_lost(answer.flow_lost);
  const std::size_t parts = std::max<std::size_t>(
      1, (answer.body.size() + kMaxAnswerPartBytes - 1) / kMaxAnswerPartBytes);
  message.set_parts(static_cast<std::uint32_t>(parts));
  std::vector<std::string> datagrams;
  datagrams.reserve(parts);
  for (std::size_t part = 0; part < parts; ++part) {
    message.set_part(static_cast<std::uint32_t>(part));
    message.set_body(
        answer.body.substr(part * kMaxAnswerPartBytes, kMaxAnswerPartBytes));
    datagrams.push_back(message.SerializeAsString());
  }
  return datagrams;
}

std::string EncodeRunOrder(const run_order& order) {
  wire::instance_message message;
  auto* run = message.mutable_run();
  run->set_attempt(order.attempt.value);
  run->set_flow(order.flow.value);
  run->set_request(order.request.value);
  run->set_service(order.service.value);
  run->set_target(order.target.value);
  run->set_boot(order.boot.value);
  run->set_service_class(order.service_class.value);
  run->set_repeatable(order.repeatable);
  run->set_deadline_ms(static_cast<std::uint32_t>(order.remaining.count()));
  run->set_owner_epoch(order.epoch.value);
  run->set_body(order.body);
  return message.SerializeAsString();
}

std::string EncodeCancel(attempt_id attempt) {
  wire::instance_message message;
  message.set_cancel_attempt(attempt.value);
  return message.SerializeAsString();
}

}  // namespace lavendertack
