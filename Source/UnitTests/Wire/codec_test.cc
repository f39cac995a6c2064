#include "Wire/codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "Common/hash.h"
#include "Traffic/answer_assembler.h"
#include "UnitTests/Support/random_message.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

using testing::ForEachSeed;
using testing::message_generator;

constexpr int kMessagesPerSeed = 2000;

caller_packet RequestPacket() {
  return {.flow = {7},
          .service = {"catalogue"},
          .token = flow_token{.data_centre = {"east"},
                              .target = {"host-1"},
                              .boot = {3},
                              .epoch = {4},
                              .nonce = 5},
          .body = run_request{.number = {1},
                              .service_class = {"hold"},
                              .repeatable = false,
                              .deadline = milliseconds(500),
                              .body = "chest"}};
}

std::string ErrorOf(const wire::caller_packet& message) {
  auto parsed = ParseCallerPacket(message.SerializeAsString());
  auto* error = std::get_if<wire_error>(&parsed);
  return error == nullptr ? "" : error->field + " " + error->reason;
}

std::string ErrorOf(const wire::target_message& message) {
  auto parsed = ParseTargetMessage(message.SerializeAsString());
  auto* error = std::get_if<wire_error>(&parsed);
  return error == nullptr ? "" : error->field + " " + error->reason;
}

TEST_CASE("a caller's packet is decoded completely or rejected") {
  wire::caller_packet message = ToWire(RequestPacket());
  REQUIRE(ErrorOf(message).empty());

  SECTION("decoding reverses encoding") {
    const auto parsed =
        std::get<caller_packet>(ParseCallerPacket(message.SerializeAsString()));
    CHECK(parsed.token == RequestPacket().token);
    CHECK(ToWire(parsed).SerializeAsString() == message.SerializeAsString());
  }
  SECTION("each error names the invalid field") {
    SECTION("service") {
      message.set_service("");
      CHECK(ErrorOf(message) == "service is empty");
      message.set_service(std::string(65, 'x'));
      CHECK(ErrorOf(message) == "service is longer than 64 bytes");
      message.set_service("two\nlines");
      CHECK(ErrorOf(message) == "service holds a control character");
    }
    SECTION("token") {
      message.set_token("\xff\xff");
      CHECK(ErrorOf(message) == "token is malformed");
    }
    SECTION("request") {
      message.mutable_request()->set_number(0);
      CHECK(ErrorOf(message) == "request.number is 0");
      message.mutable_request()->set_number(1);
      message.mutable_request()->set_deadline_ms(60'001);
      CHECK(ErrorOf(message) == "request.deadline_ms is above 60000");
      message.mutable_request()->set_deadline_ms(0);
      CHECK(ErrorOf(message) == "request.deadline_ms is 0");
    }
    SECTION("body") {
      message.clear_body();
      CHECK(ErrorOf(message) == "body is missing or unknown");
    }
    SECTION("size") {
      message.mutable_request()->set_body(std::string(1400, 'x'));
      CHECK(ErrorOf(message) == "packet is longer than 1400 bytes");
    }
  }
  SECTION("a truncated packet is never decoded as the complete one") {
    const std::string bytes = message.SerializeAsString();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      auto parsed = ParseCallerPacket(bytes.substr(0, size));
      if (auto* packet = std::get_if<caller_packet>(&parsed)) {
        REQUIRE(ToWire(*packet).SerializeAsString() != bytes);
      }
    }
  }
  SECTION("random bytes give a packet or an error with field and reason") {
    rc::prop("any bytes", [](const std::string& bytes) {
      auto parsed = ParseCallerPacket(bytes);
      if (auto* error = std::get_if<wire_error>(&parsed)) {
        RC_ASSERT(!error->field.empty() && !error->reason.empty());
      }
    });
  }
}

TEST_CASE("random and corrupted messages of callers and targets are handled") {
  ForEachSeed([](std::uint64_t seed) {
    message_generator generator(seed, {"catalogue", "host-1", "hold", ""});
    for (int i = 0; i < kMessagesPerSeed; ++i) {
      wire::caller_packet packet;
      generator.Fill(&packet);
      auto parsed = ParseCallerPacket(packet.SerializeAsString());
      if (auto* valid = std::get_if<caller_packet>(&parsed)) {
        auto decoded_again = FromWire(ToWire(*valid));
        REQUIRE(std::holds_alternative<caller_packet>(decoded_again));
      }
      ParseCallerPacket(generator.Corrupt(packet.SerializeAsString()));
      wire::target_message message;
      generator.Fill(&message);
      auto target = ParseTargetMessage(message.SerializeAsString());
      if (auto* error = std::get_if<wire_error>(&target)) {
        REQUIRE_FALSE(error->field.empty());
      }
      ParseTargetMessage(generator.Corrupt(message.SerializeAsString()));
    }
  });
}

TEST_CASE("an invalid message of a target gives an error with its field") {
  wire::target_message message;
  CHECK(ErrorOf(message) == "body is missing or unknown");

  SECTION("an announcement") {
    auto* announce = message.mutable_announce();
    announce->set_target("host-1");
    announce->set_service("catalogue");
    announce->set_boot(1);
    announce->set_state(wire::READY);
    announce->set_slots(2);
    announce->set_connections(2000);
    REQUIRE(ErrorOf(message).empty());
    announce->set_slots(0);
    CHECK(ErrorOf(message) == "announce.slots is not within 1 to 10000");
    announce->set_slots(2);
    announce->set_target("a\tb");
    CHECK(ErrorOf(message) == "announce.target holds a control character");
  }
  SECTION("an answer") {
    auto* answer = message.mutable_answer();
    answer->set_status(wire::DONE);
    answer->set_parts(1);
    REQUIRE(ErrorOf(message).empty());
    answer->set_part(1);
    CHECK(ErrorOf(message) == "answer.part is not below parts");
    answer->set_part(0);
  }
}

TEST_CASE("the parser accepts answers that are too large") {
  // If the parser dropped such an answer, its request would never end and the
  // slot would stay occupied.
  wire::target_message message;
  auto* answer = message.mutable_answer();
  answer->set_status(wire::DONE);
  answer->set_parts(1);
  SECTION("too many parts") { answer->set_parts(0xffffffff); }
  SECTION("too many bytes") {
    answer->set_body(std::string(kMaxAnswerBytes + 1, 'x'));
  }
  auto parsed = ParseTargetMessage(message.SerializeAsString());
  const auto& part =
      std::get<run_answer>(std::get<target_message_body>(parsed));
  CHECK(answer_assembler().Add(part) == assembly_result::kTooLarge);
}

TEST_CASE("an answer is split into datagrams within the size limit") {
  const std::string body(GENERATE(0, 1, 1100, 1101, 100'000), 'x');
  const auto datagrams = EncodeAnswer({.flow = {7},
                                       .request = {1},
                                       .kind = answer_kind::kServed,
                                       .token = RequestPacket().token,
                                       .body = body});
  std::string whole;
  for (const std::string& datagram : datagrams) {
    REQUIRE(datagram.size() <= kMaxDatagramBytes);
    wire::caller_answer answer;
    REQUIRE(answer.ParseFromString(datagram));
    CHECK(answer.parts() == datagrams.size());
    CHECK(answer.body_hash() == StableHash(body));
    whole += answer.body();
  }
  CHECK(whole == body);
}

}  // namespace
}  // namespace lavendertack
