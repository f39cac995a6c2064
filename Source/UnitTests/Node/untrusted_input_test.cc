// Input from callers, targets or other instances, valid or malformed, must
// never crash an instance.
#include <catch2/catch.hpp>

#include "Directory/ticket.h"
#include "Node/node.h"
#include "UnitTests/Support/random_message.h"
#include "UnitTests/Support/random_run.h"
#include "Wire/codec.h"

namespace lavendertack {
namespace {

using testing::ForEachSeed;
using testing::message_generator;

constexpr int kEventsPerSeed = 3000;

std::string EncodedTicket() {
  auto ticket = ParseTicket(R"({"number": 1,
      "classes": [{"name": "hold", "price": 9}],
      "services": [{"name": "catalogue", "classes": ["hold"],
                    "flow_idle_s": 60}],
      "data_centres": [{"name": "east", "out": false}]})");
  return EncodeTicket(std::get<change_ticket>(ticket));
}

member Member(const std::string& name, bool replica) {
  return {.name = {name},
          .data_centre = {"east"},
          .replica = replica,
          .last_heartbeat_at = std::nullopt,
          .last_heartbeat = {}};
}

node CreateNode(bool replica) {
  return node({.self = {"one"},
               .data_centre = {"east"},
               .deployment = "test",
               .replica = replica,
               .members = {Member("one", replica), Member("two", true),
                           Member("three", true)},
               .incarnation = 1,
               .seed = 1});
}

// Sends random messages of all kinds to a node.
class input_fuzzer {
 public:
  input_fuzzer(std::uint64_t seed, bool replica)
      : generator_(seed, {"one", "two", "three", "east", "west", "test",
                          "catalogue", "hold", "host-1", EncodedTicket(), "",
                          "127.0.0.1:4000", "no address"}),
        node_(CreateNode(replica)) {
    wire::peer_message message = MessageFrom("two");
    message.mutable_agreement()->mutable_chosen()->set_first(1);
    message.mutable_agreement()->mutable_chosen()->add_values(EncodedTicket());
    Reduce(peer_message_received{std::move(message)});
    REQUIRE(node_.agreed_directory().applied() == log_index{1});
  }

  void SendRandomEvent() {
    now_ += milliseconds(generator_.RandomBelow(100));
    switch (generator_.RandomBelow(5)) {
      case 0:
        return Reduce(node_tick{});
      case 1:
        return SendPacket();
      case 2:
        return SendTargetMessage();
      default:
        return SendPeerMessage();
    }
  }

 private:
  static wire::peer_message MessageFrom(const std::string& name) {
    wire::peer_message message;
    message.set_deployment("test");
    message.set_from(name);
    return message;
  }

  void Reduce(const node_event& event) { node_.Reduce(now_, event); }

  void SendPacket() {
    wire::caller_packet message;
    generator_.Fill(&message);
    auto parsed = ParseCallerPacket(message.SerializeAsString());
    if (auto* packet = std::get_if<caller_packet>(&parsed)) {
      Reduce(caller_packet_received{{"127.0.0.1:4000"}, std::move(*packet)});
    }
  }

  void SendTargetMessage() {
    wire::target_message message;
    generator_.Fill(&message);
    auto parsed = ParseTargetMessage(message.SerializeAsString());
    auto* body = std::get_if<target_message_body>(&parsed);
    if (body == nullptr) return;
    const target_connection connection{generator_.RandomBelow(2) == 0 ? "a"
                                                                      : "b"};
    if (auto* announced = std::get_if<announcement>(body)) {
      Reduce(target_announcement_received{connection, std::move(*announced)});
    } else {
      Reduce(target_answer_received{connection, std::get<run_answer>(*body)});
    }
    if (generator_.RandomBelow(16) == 0) {
      Reduce(target_disconnected{connection});
    }
  }

  void SendPeerMessage() {
    wire::peer_message message;
    generator_.Fill(&message);
    message.set_deployment("test");
    message.set_from(generator_.RandomBelow(2) == 0 ? "two" : "three");
    std::string bytes = message.SerializeAsString();
    if (generator_.RandomBelow(2) == 0) {
      bytes = generator_.Corrupt(std::move(bytes));
    }
    wire::peer_message received;
    if (received.ParseFromString(bytes)) {
      Reduce(peer_message_received{std::move(received)});
    }
  }

  message_generator generator_;
  node node_;
  instant now_{seconds(10)};
};

TEST_CASE("no input from outside crashes an instance") {
  const bool replica = GENERATE(true, false);
  ForEachSeed([replica](std::uint64_t seed) {
    input_fuzzer fuzzer(seed, replica);
    for (int i = 0; i < kEventsPerSeed; ++i) fuzzer.SendRandomEvent();
  });
}

}  // namespace
}  // namespace lavendertack
