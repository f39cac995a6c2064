// How one instance routes packets, seen from outside.
#include <catch2/catch.hpp>

#include "Directory/log_entry.h"
#include "Node/node.h"
#include "Wire/codec.h"

namespace lavendertack::testing {
namespace {

service_name Catalogue() { return {"catalogue"}; }
caller_address Caller() { return {"10.0.0.9:4000"}; }

std::string OwnerIn(const std::string& centre) {
  return OwnerAmong({{centre + "1"}, {centre + "2"}}, Catalogue())->value;
}
std::string OtherIn(const std::string& centre) {
  return OwnerIn(centre) == centre + "1" ? centre + "2" : centre + "1";
}

// One instance of two data centres, "a" and "b", with two instances each.
class lone_node {
 public:
  explicit lone_node(const std::string& self, bool with_ticket = true)
      : node_(Settings(self)) {
    if (!with_ticket) return;
    change_ticket ticket{.number = {1},
                         .services = {{Catalogue(), {{"hold"}}, seconds(60)}},
                         .classes = {{{"hold"}, {5}}},
                         .data_centres = {{{"a"}, false}, {{"b"}, false}}};
    wire::stored_record record;
    record.mutable_chosen()->set_first(1);
    // The rosters go first: they make the data centres known.
    for (const std::string centre : {"a", "b"}) {
      record.mutable_chosen()->add_values(EncodeEntry(roster_change{
          {centre}, {{centre + "1"}, {centre + "2"}}, log_index{}}));
    }
    record.mutable_chosen()->add_values(EncodeTicket(ticket));
    node_.Restore(record);
    LearnNewestIndex();
  }

  std::vector<node_effect> Hear(const std::string& from,
                                std::uint32_t ready_slots = 0,
                                std::uint64_t applied = kEntries,
                                const wire::heartbeat& like = {}) {
    wire::peer_message message = From(from);
    auto* heartbeat = message.mutable_heartbeat();
    *heartbeat = like;
    heartbeat->set_applied_index(applied);
    heartbeat->set_data_centre(from.substr(0, 1));
    auto* row = heartbeat->add_capacity();
    row->set_service(Catalogue().value);
    row->set_data_centre(from.substr(0, 1));
    row->set_ready_slots(ready_slots);
    row->set_free_connections(100);
    return node_.Reduce(now_, peer_message_received{message});
  }
  std::vector<node_effect> Say(const caller_packet& packet) {
    return node_.Reduce(now_, caller_packet_received{Caller(), packet});
  }
  std::vector<node_effect> Forwarded(const std::string& from,
                                     const caller_packet& packet,
                                     const std::string& place,
                                     std::uint32_t hops = 1) {
    wire::peer_message message = From(from);
    auto* forwarded = message.mutable_packet();
    *forwarded->mutable_packet() = ToWire(packet);
    forwarded->set_caller_address(Caller().value);
    forwarded->set_hops(hops);
    forwarded->set_data_centre(place);
    return node_.Reduce(now_, peer_message_received{message});
  }
  void Wait(milliseconds time) { now_ += time; }

 private:
  static constexpr std::uint64_t kEntries = 3;

  void LearnNewestIndex() {
    for (const node_effect& effect : node_.Reduce(now_, node_tick{})) {
      const auto* sent = std::get_if<send_peer>(&effect);
      if (sent == nullptr || !sent->message.has_index_query()) continue;
      wire::peer_message message = From(sent->to.value);
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
  static wire::peer_message From(const std::string& name) {
    wire::peer_message message;
    message.set_deployment("test");
    message.set_from(name);
    return message;
  }

  node node_;
  instant now_{seconds(100)};
};

caller_packet Open() {
  return {
      .flow = {7}, .service = Catalogue(), .token = {}, .body = open_flow{}};
}

caller_packet Request(const std::string& centre, bool repeatable = false) {
  return {.flow = {7},
          .service = Catalogue(),
          .token = flow_token{.data_centre = {centre},
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
const Effect* Find(const std::vector<node_effect>& effects) {
  for (const node_effect& effect : effects) {
    if (const auto* found = std::get_if<Effect>(&effect)) return found;
  }
  return nullptr;
}

caller_answer AnswerIn(const std::vector<node_effect>& effects) {
  const auto* found = Find<send_answer>(effects);
  REQUIRE(found != nullptr);
  return found->answer;
}

TEST_CASE("an instance that has learned no ticket") {
  lone_node fresh(OtherIn("a"), false);
  SECTION("asks to come back rather than to call the service unknown") {
    const caller_answer answer = AnswerIn(fresh.Say(Open()));
    CHECK(answer.reason != refusal_reason::kUnknownService);
    CHECK(answer.come_back > milliseconds(0));
  }
  SECTION("doesn't call it unknown either when peers are ahead") {
    fresh.Hear("b1", 0, 4);
    const caller_answer answer = AnswerIn(fresh.Say(Open()));
    CHECK(answer.reason != refusal_reason::kUnknownService);
  }
}

TEST_CASE("an instance that is current names an unknown service") {
  lone_node current(OtherIn("a"));
  current.Hear("b1");
  caller_packet packet = Open();
  packet.service = {"nothing"};
  CHECK(AnswerIn(current.Say(packet)).reason ==
        refusal_reason::kUnknownService);
}

TEST_CASE("a packet that was placed by another instance") {
  SECTION("keeps its data centre when another instance is in charge there") {
    lone_node other(OtherIn("a"));
    other.Hear(OwnerIn("a"), 0);
    other.Hear(OwnerIn("b"), 50);
    const auto effects = other.Forwarded("b1", Open(), "a");
    const auto* sent = Find<send_peer>(effects);
    REQUIRE(sent != nullptr);
    CHECK(sent->to.value == OwnerIn("a"));
    CHECK(sent->message.packet().data_centre() == "a");
  }
  SECTION("is not served when it was meant for another data centre") {
    lone_node owner(OwnerIn("a"));
    owner.Hear(OwnerIn("b"), 50);
    const auto effects = owner.Forwarded("b1", Open(), "b");
    CHECK(Find<send_peer>(effects) == nullptr);
    CHECK(AnswerIn(effects).kind == answer_kind::kNotRun);
  }
  SECTION("is not served when its token names another data centre") {
    lone_node owner(OwnerIn("a"));
    owner.Hear("b1");
    const auto effects = owner.Forwarded("b1", Request("b"), "a");
    CHECK(AnswerIn(effects).kind == answer_kind::kOutcomeUnknown);
  }
  SECTION("is answered truly when it was handed on too often") {
    lone_node other(OtherIn("a"));
    other.Hear(OwnerIn("a"), 4);
    SECTION("as a request that may have run by another copy") {
      const auto effects = other.Forwarded("b1", Request("a", true), "a", 2);
      CHECK(AnswerIn(effects).kind == answer_kind::kOutcomeUnknown);
    }
    SECTION("and it may come back") {
      const auto effects = other.Forwarded("b1", Request("a"), "a", 2);
      CHECK(AnswerIn(effects).kind == answer_kind::kOutcomeUnknown);
      CHECK(AnswerIn(effects).come_back > milliseconds(0));
    }
  }
}

TEST_CASE("a forwarded request") {
  lone_node entry(OtherIn("a"));
  entry.Hear(OwnerIn("b"), 4);
  SECTION("carries the time on the links") {
    const auto effects = entry.Say(Request("b"));
    const auto* sent = Find<send_peer>(effects);
    REQUIRE(sent != nullptr);
    CHECK(sent->message.packet().waited_ms() > 0);
  }
  SECTION("is answered at once when the instance in charge is silent") {
    entry.Wait(seconds(10));
    const caller_answer answer = AnswerIn(entry.Say(Request("b")));
    CHECK(answer.kind == answer_kind::kOutcomeUnknown);
    CHECK(answer.reason == refusal_reason::kOwnerUnreachable);
    CHECK(answer.come_back > milliseconds(0));
    CHECK_FALSE(answer.flow_lost);
  }
  SECTION("is answered at once when the instance in charge hears nothing") {
    wire::heartbeat one_way;
    one_way.add_unheard(OtherIn("a"));
    entry.Hear(OwnerIn("b"), 4, 3, one_way);
    const caller_answer answer = AnswerIn(entry.Say(Request("b")));
    CHECK(answer.reason == refusal_reason::kOwnerUnreachable);
  }
  SECTION("still goes to an instance in charge that is leaving") {
    wire::heartbeat leaving;
    leaving.set_leaving(true);
    entry.Hear(OwnerIn("b"), 4, 3, leaving);
    CHECK(Find<send_peer>(entry.Say(Request("b"))) != nullptr);
    SECTION("but a new flow doesn't") {
      CHECK(AnswerIn(entry.Say(Open())).reason == refusal_reason::kNoTarget);
    }
  }
}

TEST_CASE("a flow of a data centre that no ticket knows is lost") {
  lone_node entry(OtherIn("a"));
  entry.Hear("b1");
  SECTION("with its request's outcome unknown") {
    const caller_answer answer = AnswerIn(entry.Say(Request("x")));
    CHECK(answer.kind == answer_kind::kOutcomeUnknown);
    CHECK(answer.flow_lost);
  }
  SECTION("and is plainly lost when the request may be repeated") {
    const caller_answer answer = AnswerIn(entry.Say(Request("x", true)));
    CHECK(answer.kind == answer_kind::kFlowLost);
    CHECK(answer.flow_lost);
  }
}

}  // namespace
}  // namespace lavendertack::testing
