#include "Forwarding/request_outcomes.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

const ipv4_endpoint kRoute{{0xc6120001}, {443}};
const service_name kDesk{"desk"};
const data_centre_name kHere{"a"};
constexpr std::uint32_t kUsualBytes = 1000;
constexpr milliseconds kUsualTime{20};
// Enough for the medians and the share of prompt answers.
constexpr int kUsualAnswers = 150;

// Requests to two targets; the second one has a reduced weight.
class outcomes_fixture {
 public:
  outcomes_fixture() {
    for (const char* id : {"i-1", "i-2"}) {
      view.Apply(now, {"10.0.0.1"},
                 {.id = {id},
                  .version = {1000, 1},
                  .service = kDesk,
                  .address = {{++last_ip_}, {8080}},
                  .data_centre = kHere,
                  .slots = 2,
                  .weight = {id == std::string("i-2") ? 2U : 100U}});
    }
    for (int i = 0; i < kUsualAnswers; ++i) {
      StartRequest();
      Answer(kUsualTime, kUsualBytes);
    }
    Wait(milliseconds(1000));
    outcomes.TakeReport();
  }

  void StartRequest(const char* id = "i-1") {
    target = view.Find({id});
    packet = {.flow = {{{0x64400000}, {++last_port_}}, kRoute},
              .tag = target->tag,
              .sequence = 8,
              .acknowledged = 1,
              .data_bytes = 100};
    Send();
  }
  void Send() { outcomes.Observe(now, packet, *target); }
  // The caller sends a packet without data after `after`, in which it
  // acknowledges `bytes`.
  void Answer(milliseconds after, std::uint32_t bytes) {
    now += after;
    flow_packet last = packet;
    last.data_bytes = 0;
    last.sequence += 100;
    last.acknowledged += bytes;
    outcomes.Observe(now, last, *target);
  }
  void Wait(milliseconds time) {
    now += time;
    outcomes.Tick(now);
  }
  target_outcomes Reported(const char* id = "i-1") {
    Wait(milliseconds(500));
    const outcome_report report = outcomes.TakeReport();
    const auto it = report.targets.find(TagOf({id}));
    return it == report.targets.end() ? target_outcomes{} : it->second;
  }
  std::uint64_t Count(request_outcome outcome) const {
    return outcomes.counts()[static_cast<std::size_t>(outcome)];
  }

  instant now{seconds(100)};
  target_view view;
  request_outcomes outcomes{&view};
  const known_target* target = nullptr;
  flow_packet packet;

 private:
  std::uint32_t last_ip_ = 0x0a000000;
  std::uint16_t last_port_ = 1024;
};

TEST_CASE("the outcome of a request is classified by the caller's packets") {
  outcomes_fixture setup;
  setup.StartRequest();

  SECTION("a usual answer is only part of the total") {
    setup.Answer(kUsualTime, kUsualBytes);
    setup.Wait(milliseconds(500));
    const outcome_report report = setup.outcomes.TakeReport();
    REQUIRE(report.targets.empty());
    REQUIRE(report.totals.at({kDesk, kHere}).requests == 1);
    REQUIRE(setup.outcomes.TakeReport().empty());
  }
  SECTION("an answer after 8 times the median is slow") {
    setup.Answer(8 * kUsualTime, kUsualBytes);
    const target_outcomes reported = setup.Reported();
    REQUIRE(reported.slow == 1);
    REQUIRE(reported.slow_ratio == 8);
  }
  SECTION("one after 3 times the median isn't") {
    setup.Answer(3 * kUsualTime, kUsualBytes);
    REQUIRE(setup.Reported().slow == 0);
  }
  SECTION("a short answer counts, even if it's fast") {
    setup.Answer(kUsualTime, 90);
    REQUIRE(setup.Reported().too_short == 1);
  }
  SECTION("an answer in several parts isn't short") {
    setup.Answer(kUsualTime, 100);
    setup.Answer(milliseconds(5), 400);
    setup.Answer(milliseconds(5), kUsualBytes);
    REQUIRE(setup.Reported().too_short == 0);
    REQUIRE(setup.Count(request_outcome::kAnswered) == kUsualAnswers + 1);
  }
  SECTION("a caller that leaves after a long wait has got no answer") {
    setup.Answer(milliseconds(400), 0);
    REQUIRE(setup.Reported().no_answer == 1);
  }
  SECTION("a packet that the request has overtaken isn't the end") {
    setup.Answer(milliseconds(1), 0);
    setup.Answer(kUsualTime, kUsualBytes);
    REQUIRE(setup.Reported().no_answer == 0);
    REQUIRE(setup.Count(request_outcome::kAnswered) == kUsualAnswers + 1);
  }
  SECTION("one retransmission may be due to a lost packet") {
    setup.now += milliseconds(200);
    setup.Send();
    REQUIRE(setup.Reported().no_answer == 0);
    SECTION("a second one isn't") {
      setup.Send();
      REQUIRE(setup.Reported().no_answer == 1);
    }
  }
  SECTION("a request without a further packet is overdue after 3 s") {
    setup.Wait(milliseconds(2900));
    REQUIRE(setup.Reported().no_answer == 1);
  }
  SECTION("after a suspension of this process nothing is concluded") {
    setup.outcomes.DiscardPending();
    setup.Answer(milliseconds(3000), kUsualBytes);
    setup.Wait(milliseconds(3000));
    REQUIRE(setup.outcomes.TakeReport().empty());
  }
}

TEST_CASE("all outcomes of a target with a reduced weight are reported") {
  outcomes_fixture setup;
  setup.StartRequest("i-2");
  setup.Answer(kUsualTime, kUsualBytes);
  REQUIRE(setup.Reported("i-2").requests == 1);
  REQUIRE(setup.Reported("i-2").requests == 0);
}

// Guards against a caller that opens many flows and never ends them: the table
// has a fixed size.
TEST_CASE("any number of open requests is observed in bounded memory") {
  outcomes_fixture setup;
  for (int i = 0; i < 20'000; ++i) setup.StartRequest();
  setup.Wait(milliseconds(3100));
  setup.outcomes.TakeReport();
  REQUIRE(setup.Count(request_outcome::kNoAnswer) <= 2048);
  setup.StartRequest();
  setup.Answer(kUsualTime, kUsualBytes);
  setup.Wait(milliseconds(500));
  REQUIRE(setup.Count(request_outcome::kAnswered) == kUsualAnswers + 1);
}

}  // namespace
}  // namespace lavendertack
