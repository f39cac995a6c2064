// How one instance routes packets, tested through its events and effects.
#include <catch2/catch.hpp>

#include "Directory/log_entry.h"
#include "Node/node.h"
#include "Wire/codec.h"

namespace lavendertack::testing {
namespace {

service_name Catalogue() { return {"catalogue"}; }
caller_address Caller() { return {"10.0.0.9:4000"}; }

std::string OwnerIn(const std::string& data_centre) {
  return SelectOwner({{data_centre + "1"}, {data_centre + "2"}}, Catalogue())
      ->value;
}
std::string NonOwnerIn(const std::string& data_centre) {
  return OwnerIn(data_centre) == data_centre + "1" ? data_centre + "2"
                                                   : data_centre + "1";
}

// One instance of two data centres, "a" and "b", with two instances each.
class single_node {
 public:
  explicit single_node(const std::string& self, bool with_ticket = true)
      : node_(Settings(self)) {
    if (!with_ticket) return;
    change_ticket ticket{.number = {1},
                         .services = {{Catalogue(), {{"hold"}}, seconds(60)}},
                         .classes = {{{"hold"}, {5}}},
                         .data_centres = {{{"a"}, false}, {{"b"}, false}}};
    wire::stored_record record;
    record.mutable_chosen()->set_first(1);
    // The rosters come first: they introduce the data centres.
    for (const std::string data_centre : {"a", "b"}) {
      record.mutable_chosen()->add_values(
          EncodeEntry(roster_change{{data_centre},
                                    {{data_centre + "1"}, {data_centre + "2"}},
                                    log_index{}}));
    }
    record.mutable_chosen()->add_values(EncodeTicket(ticket));
    node_.Restore(record);
    AnswerIndexQueries();
  }

  std::vector<node_effect> ReceiveHeartbeat(const std::string& from,
                                            std::uint32_t ready_slots = 0,
                                            std::uint64_t applied = kEntries,
                                            const wire::heartbeat& base = {}) {
    wire::peer_message message = MessageFrom(from);
    auto* heartbeat = message.mutable_heartbeat();
    *heartbeat = base;
    heartbeat->set_applied_index(applied);
    heartbeat->set_data_centre(from.substr(0, 1));
    auto* row = heartbeat->add_capacity();
    row->set_service(Catalogue().value);
    row->set_data_centre(from.substr(0, 1));
    row->set_ready_slots(ready_slots);
    row->set_free_connections(100);
    return node_.Reduce(now_, peer_message_received{message});
  }
  std::vector<node_effect> ReceivePacket(const caller_packet& packet) {
    return node_.Reduce(now_, caller_packet_received{Caller(), packet});
  }
  std::vector<node_effect> ReceiveForwarded(const std::string& from,
                                            const caller_packet& packet,
                                            const std::string& data_centre,
                                            std::uint32_t hops = 1) {
    wire::peer_message message = MessageFrom(from);
    auto* forwarded = message.mutable_packet();
    *forwarded->mutable_packet() = ToWire(packet);
    forwarded->set_caller_address(Caller().value);
    forwarded->set_hops(hops);
    forwarded->set_data_centre(data_centre);
    return node_.Reduce(now_, peer_message_received{message});
  }
  void AdvanceTime(milliseconds time) { now_ += time; }

 private:
  static constexpr std::uint64_t kEntries = 3;

  void AnswerIndexQueries() {
    for (const node_effect& effect : node_.Reduce(now_, node_tick{})) {
      const auto* sent = std::get_if<send_peer_message>(&effect);
      if (sent == nullptr || !sent->message.has_index_query()) continue;
      wire::peer_message message = MessageFrom(sent->to.value);
      auto* report = message.mutable_index_report();
      report->set_nonce(sent->message.index_query().nonce());
      report->set_applied_index(kEntries);
      node_.Reduce(now_, peer_message_received{message});
    }
  }
  static node_settings Settings(const std::string& self) {
    node_settings settings;
    settings.self = {self};
    settings.data_centre = {self.substr(0, 1)};
    settings.deployment = "test";
    for (const char* name : {"a1", "a2", "b1", "b2"}) {
      member m;
      m.name = {name};
      m.data_centre = {std::string(name).substr(0, 1)};
      m.replica = true;
      settings.members.push_back(m);
    }
    settings.incarnation = 1;
    return settings;
  }
  static wire::peer_message MessageFrom(const std::string& name) {
    wire::peer_message message;
    message.set_deployment("test");
    message.set_from(name);
    return message;
  }

  node node_;
  instant now_{seconds(100)};
};

caller_packet OpenPacket() {
  return {
      .flow = {7}, .service = Catalogue(), .token = {}, .body = open_flow{}};
}

caller_packet RequestPacket(const std::string& data_centre,
                            bool repeatable = false) {
  return {.flow = {7},
          .service = Catalogue(),
          .token = flow_token{.data_centre = {data_centre},
                              .target = {"t1"},
                              .boot = {3},
                              .epoch = {1},
                              .nonce = 9},
          .body = run_request{.number = {1},
                              .service_class = {"hold"},
                              .repeatable = repeatable,
                              .deadline = milliseconds(2000)}};
}

template <typename Effect>
const Effect* FindEffect(const std::vector<node_effect>& effects) {
  for (const node_effect& effect : effects) {
    if (const auto* found = std::get_if<Effect>(&effect)) return found;
  }
  return nullptr;
}

caller_answer AnswerOf(const std::vector<node_effect>& effects) {
  const auto* found = FindEffect<send_answer>(effects);
  REQUIRE(found != nullptr);
  return found->answer;
}

TEST_CASE("an instance that has received no ticket") {
  single_node fresh(NonOwnerIn("a"), false);
  SECTION(
      "asks the caller to retry later instead of answering unknown service") {
    const caller_answer answer = AnswerOf(fresh.ReceivePacket(OpenPacket()));
    CHECK(answer.reason != refusal_reason::kUnknownService);
    CHECK(answer.retry_after > milliseconds(0));
  }
  SECTION(
      "doesn't answer unknown service when peers have newer entries either") {
    fresh.ReceiveHeartbeat("b1", 0, 4);
    const caller_answer answer = AnswerOf(fresh.ReceivePacket(OpenPacket()));
    CHECK(answer.reason != refusal_reason::kUnknownService);
  }
}

TEST_CASE("an instance with all entries answers unknown service") {
  single_node current(NonOwnerIn("a"));
  current.ReceiveHeartbeat("b1");
  caller_packet packet = OpenPacket();
  packet.service = {"nothing"};
  CHECK(AnswerOf(current.ReceivePacket(packet)).reason ==
        refusal_reason::kUnknownService);
}

TEST_CASE("a packet that was forwarded by another instance") {
  SECTION("keeps its data centre when it is forwarded to the owner there") {
    single_node other(NonOwnerIn("a"));
    other.ReceiveHeartbeat(OwnerIn("a"), 0);
    other.ReceiveHeartbeat(OwnerIn("b"), 50);
    const auto effects = other.ReceiveForwarded("b1", OpenPacket(), "a");
    const auto* sent = FindEffect<send_peer_message>(effects);
    REQUIRE(sent != nullptr);
    CHECK(sent->to.value == OwnerIn("a"));
    CHECK(sent->message.packet().data_centre() == "a");
  }
  SECTION("is not served when it was meant for another data centre") {
    single_node owner(OwnerIn("a"));
    owner.ReceiveHeartbeat(OwnerIn("b"), 50);
    const auto effects = owner.ReceiveForwarded("b1", OpenPacket(), "b");
    CHECK(FindEffect<send_peer_message>(effects) == nullptr);
    CHECK(AnswerOf(effects).kind == answer_kind::kNotRun);
  }
  SECTION("is not served when its token names another data centre") {
    single_node owner(OwnerIn("a"));
    owner.ReceiveHeartbeat("b1");
    const auto effects = owner.ReceiveForwarded("b1", RequestPacket("b"), "a");
    CHECK(AnswerOf(effects).kind == answer_kind::kOutcomeUnknown);
  }
  SECTION("is answered with outcome unknown when it was forwarded too often") {
    single_node other(NonOwnerIn("a"));
    other.ReceiveHeartbeat(OwnerIn("a"), 4);
    SECTION("as a request that may have run through another copy") {
      const auto effects =
          other.ReceiveForwarded("b1", RequestPacket("a", true), "a", 2);
      CHECK(AnswerOf(effects).kind == answer_kind::kOutcomeUnknown);
    }
    SECTION("with a time after which the caller may retry") {
      const auto effects =
          other.ReceiveForwarded("b1", RequestPacket("a"), "a", 2);
      CHECK(AnswerOf(effects).kind == answer_kind::kOutcomeUnknown);
      CHECK(AnswerOf(effects).retry_after > milliseconds(0));
    }
  }
}

TEST_CASE("a forwarded request") {
  single_node entry(NonOwnerIn("a"));
  entry.ReceiveHeartbeat(OwnerIn("b"), 4);
  SECTION("includes the time on the links") {
    const auto effects = entry.ReceivePacket(RequestPacket("b"));
    const auto* sent = FindEffect<send_peer_message>(effects);
    REQUIRE(sent != nullptr);
    CHECK(sent->message.packet().waited_ms() > 0);
  }
  SECTION("is answered at once when the owner is silent") {
    entry.AdvanceTime(seconds(10));
    const caller_answer answer =
        AnswerOf(entry.ReceivePacket(RequestPacket("b")));
    CHECK(answer.kind == answer_kind::kOutcomeUnknown);
    CHECK(answer.reason == refusal_reason::kOwnerUnreachable);
    CHECK(answer.retry_after > milliseconds(0));
    CHECK_FALSE(answer.flow_lost);
  }
  SECTION("is answered at once when the owner doesn't receive heartbeats") {
    wire::heartbeat one_way;
    one_way.add_unheard(NonOwnerIn("a"));
    entry.ReceiveHeartbeat(OwnerIn("b"), 4, 3, one_way);
    const caller_answer answer =
        AnswerOf(entry.ReceivePacket(RequestPacket("b")));
    CHECK(answer.reason == refusal_reason::kOwnerUnreachable);
  }
  SECTION("is still sent to an owner that is leaving") {
    wire::heartbeat leaving;
    leaving.set_leaving(true);
    entry.ReceiveHeartbeat(OwnerIn("b"), 4, 3, leaving);
    CHECK(FindEffect<send_peer_message>(
              entry.ReceivePacket(RequestPacket("b"))) != nullptr);
    SECTION("but a new flow isn't") {
      CHECK(AnswerOf(entry.ReceivePacket(OpenPacket())).reason ==
            refusal_reason::kNoTarget);
    }
  }
}

TEST_CASE("a flow of an unknown data centre is lost") {
  single_node entry(NonOwnerIn("a"));
  entry.ReceiveHeartbeat("b1");
  SECTION("with its request's outcome unknown") {
    const caller_answer answer =
        AnswerOf(entry.ReceivePacket(RequestPacket("x")));
    CHECK(answer.kind == answer_kind::kOutcomeUnknown);
    CHECK(answer.flow_lost);
  }
  SECTION("with the answer flow lost when the request may be repeated") {
    const caller_answer answer =
        AnswerOf(entry.ReceivePacket(RequestPacket("x", true)));
    CHECK(answer.kind == answer_kind::kFlowLost);
    CHECK(answer.flow_lost);
  }
}

}  // namespace
}  // namespace lavendertack::testing
