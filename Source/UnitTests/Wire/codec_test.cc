#include "Wire/codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "Common/hash.h"
#include "Traffic/answer_parts.h"
#include "UnitTests/Support/random_message.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack {
namespace {

using testing::ForEachSeed;
using testing::message_generator;

constexpr int kMessagesPerSeed = 2000;

caller_packet Request() {
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

std::string FaultOf(const wire::caller_packet& message) {
  auto parsed = ParseCallerPacket(message.SerializeAsString());
  auto* error = std::get_if<wire_error>(&parsed);
  return error == nullptr ? "" : error->field + " " + error->reason;
}

std::string FaultOf(const wire::target_message& message) {
  auto parsed = ParseTargetMessage(message.SerializeAsString());
  auto* error = std::get_if<wire_error>(&parsed);
  return error == nullptr ? "" : error->field + " " + error->reason;
}

TEST_CASE("a caller's packet comes through whole or not at all") {
  wire::caller_packet good = ToWire(Request());
  REQUIRE(FaultOf(good).empty());

  SECTION("what is written is what is read") {
    const auto parsed =
        std::get<caller_packet>(ParseCallerPacket(good.SerializeAsString()));
    CHECK(parsed.token == Request().token);
    CHECK(ToWire(parsed).SerializeAsString() == good.SerializeAsString());
  }
  SECTION("each fault names its field") {
    SECTION("service") {
      good.set_service("");
      CHECK(FaultOf(good) == "service is empty");
      good.set_service(std::string(65, 'x'));
      CHECK(FaultOf(good) == "service is longer than 64 bytes");
      good.set_service("two\nlines");
      CHECK(FaultOf(good) == "service holds a control character");
    }
    SECTION("token") {
      good.set_token("\xff\xff");
      CHECK(FaultOf(good) == "token is malformed");
    }
    SECTION("request") {
      good.mutable_request()->set_number(0);
      CHECK(FaultOf(good) == "request.number is 0");
      good.mutable_request()->set_number(1);
      good.mutable_request()->set_deadline_ms(60'001);
      CHECK(FaultOf(good) == "request.deadline_ms is above 60000");
      good.mutable_request()->set_deadline_ms(0);
      CHECK(FaultOf(good) == "request.deadline_ms is 0");
    }
    SECTION("body") {
      good.clear_body();
      CHECK(FaultOf(good) == "body is missing or unknown");
    }
    SECTION("size") {
      good.mutable_request()->set_body(std::string(1400, 'x'));
      CHECK(FaultOf(good) == "packet is longer than 1400 bytes");
    }
  }
  SECTION("no truncation reads as the whole packet") {
    const std::string bytes = good.SerializeAsString();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      auto parsed = ParseCallerPacket(bytes.substr(0, size));
      if (auto* packet = std::get_if<caller_packet>(&parsed)) {
        REQUIRE(ToWire(*packet).SerializeAsString() != bytes);
      }
    }
  }
  SECTION("any bytes end in a packet or a named fault") {
    rc::prop("any bytes", [](const std::string& bytes) {
      auto parsed = ParseCallerPacket(bytes);
      if (auto* error = std::get_if<wire_error>(&parsed)) {
        RC_ASSERT(!error->field.empty() && !error->reason.empty());
      }
    });
  }
}

TEST_CASE("random and damaged messages of callers and targets are survived") {
  ForEachSeed([](std::uint64_t seed) {
    message_generator generator(seed, {"catalogue", "host-1", "hold", ""});
    for (int i = 0; i < kMessagesPerSeed; ++i) {
      wire::caller_packet packet;
      generator.Fill(&packet);
      auto parsed = ParseCallerPacket(packet.SerializeAsString());
      if (auto* good = std::get_if<caller_packet>(&parsed)) {
        auto again = FromWire(ToWire(*good));
        REQUIRE(std::holds_alternative<caller_packet>(again));
      }
      ParseCallerPacket(generator.Damage(packet.SerializeAsString()));
      wire::target_message message;
      generator.Fill(&message);
      auto target = ParseTargetMessage(message.SerializeAsString());
      if (auto* error = std::get_if<wire_error>(&target)) {
        REQUIRE_FALSE(error->field.empty());
      }
      ParseTargetMessage(generator.Damage(message.SerializeAsString()));
    }
  });
}

TEST_CASE("a target's message names its fault") {
  wire::target_message message;
  CHECK(FaultOf(message) == "body is missing or unknown");

  SECTION("an announcement") {
    auto* announce = message.mutable_announce();
    announce->set_target("host-1");
    announce->set_service("catalogue");
    announce->set_boot(1);
    announce->set_state(wire::READY);
    announce->set_slots(2);
    announce->set_connections(2000);
    REQUIRE(FaultOf(message).empty());
    announce->set_slots(0);
    CHECK(FaultOf(message) == "announce.slots is not within 1 to 10000");
    announce->set_slots(2);
    announce->set_target("a\tb");
    CHECK(FaultOf(message) == "announce.target holds a control character");
  }
  SECTION("an answer") {
    auto* answer = message.mutable_answer();
    answer->set_status(wire::DONE);
    answer->set_parts(1);
    REQUIRE(FaultOf(message).empty());
    answer->set_part(1);
    CHECK(FaultOf(message) == "answer.part is not below parts");
    answer->set_part(0);
  }
}

TEST_CASE("an answer beyond the bounds ends its request") {
  // It isn't dropped by the parser: the slot would stay taken.
  wire::target_message message;
  auto* answer = message.mutable_answer();
  answer->set_status(wire::DONE);
  answer->set_parts(1);
  SECTION("too many parts") { answer->set_parts(0xffffffff); }
  SECTION("too many bytes") {
    answer->set_body(std::string(kMaxWholeAnswerBytes + 1, 'x'));
  }
  auto parsed = ParseTargetMessage(message.SerializeAsString());
  const auto& part = std::get<run_answer>(std::get<target_body>(parsed));
  CHECK(answer_parts().Add(part) == parts_verdict::kTooLarge);
}

TEST_CASE("an answer is cut into datagrams that fit") {
  const std::string body(GENERATE(0, 1, 1100, 1101, 100'000), 'x');
  const auto datagrams = EncodeAnswer({.flow = {7},
                                       .request = {1},
                                       .kind = answer_kind::kServed,
                                       .token = Request().token,
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
