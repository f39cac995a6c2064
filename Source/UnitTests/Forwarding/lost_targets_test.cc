#include <algorithm>
#include <catch2/catch.hpp>

#include "Forwarding/flow_cache.h"
#include "Forwarding/request_tracker.h"
#include "Forwarding/unanswered_packets.h"

namespace lavendertack {
namespace {

const instant kStart{seconds(100)};
const target_tag kTarget{7};
const target_tag kOtherTarget{8};

flow_packet Packet(std::uint16_t port, std::uint32_t data,
                   std::uint32_t sequence = 10,
                   std::uint32_t acknowledged = 20) {
  return {.flow = {{{1}, {port}}, {{2}, {443}}},
          .tag = kTarget,
          .sequence = sequence,
          .acknowledged = acknowledged,
          .data_bytes = data};
}

TEST_CASE("requests on open connections are tracked") {
  request_tracker tracker;
  REQUIRE(tracker.Observe(kStart, Packet(1, 100)) == request_progress::kNone);
  const instant retransmitted = kStart + milliseconds(200);

  SECTION("a retransmission") {
    REQUIRE(tracker.Observe(retransmitted, Packet(1, 100)) ==
            request_progress::kRetransmitted);
    SECTION("and an answer that the caller acknowledges with its next one") {
      REQUIRE(tracker.Observe(retransmitted, Packet(1, 100, 110, 900)) ==
              request_progress::kAnswered);
    }
  }
  SECTION("a duplicate of the network isn't a retransmission") {
    REQUIRE(tracker.Observe(kStart + milliseconds(100), Packet(1, 100)) ==
            request_progress::kNone);
  }
  SECTION("an answer") {
    REQUIRE(tracker.Observe(retransmitted, Packet(1, 0, 110, 900)) ==
            request_progress::kAnswered);
    REQUIRE(tracker.Observe(retransmitted, Packet(1, 0, 110, 1800)) ==
            request_progress::kNone);
  }
  SECTION("the next request shows no answer of this moment") {
    REQUIRE(tracker.Observe(kStart + seconds(9), Packet(1, 100, 110, 900)) ==
            request_progress::kNone);
  }
  SECTION("the same sequence number on another connection") {
    REQUIRE(tracker.Observe(retransmitted, Packet(2, 100)) ==
            request_progress::kNone);
  }
}

TEST_CASE("unanswered packets are reported once") {
  unanswered_packets unanswered;
  REQUIRE_FALSE(unanswered.has_unreported());
  unanswered.RecordUnanswered(kTarget);
  unanswered.RecordUnanswered(kTarget);
  REQUIRE(unanswered.has_unreported());

  SECTION("with their number") {
    REQUIRE(unanswered.TakeReport(kStart) == unanswered_report{{kTarget, 2}});
    REQUIRE_FALSE(unanswered.has_unreported());

    SECTION("and corrected when the target answers") {
      unanswered.RecordAnswered(kTarget);
      REQUIRE(unanswered.TakeReport(kStart) == unanswered_report{{kTarget, 0}});
    }
    SECTION("and not corrected much later") {
      unanswered.TakeReport(kStart + seconds(6));
      unanswered.RecordAnswered(kTarget);
      REQUIRE_FALSE(unanswered.has_unreported());
    }
  }
  SECTION("not if the target answers before the report") {
    unanswered.RecordAnswered(kTarget);
    REQUIRE_FALSE(unanswered.has_unreported());
  }
  SECTION("an answer of another target changes nothing") {
    unanswered.RecordAnswered(kOtherTarget);
    REQUIRE(unanswered.TakeReport(kStart) == unanswered_report{{kTarget, 2}});
  }
}

TEST_CASE("recent flows are found by their target") {
  flow_cache flows;
  flow_packet other = Packet(3, 0);
  other.tag = kOtherTarget;
  flows.Insert(kStart, Packet(1, 100));
  flows.Insert(kStart, Packet(2, 0));
  flows.Insert(kStart, other);
  flows.Insert(kStart, Packet(1, 0, 110, 900));

  SECTION("each with its last packet") {
    const auto taken = flows.TakeFlowsOf(kStart, kTarget);
    REQUIRE(taken.size() == 2);
    REQUIRE(std::count_if(taken.begin(), taken.end(), [](const auto& flow) {
              return flow.flow.caller.port.value == 1 &&
                     flow.acknowledged == 900;
            }) == 1);
    REQUIRE(flows.TakeFlowsOf(kStart, kTarget).empty());
    REQUIRE(flows.TakeFlowsOf(kStart, kOtherTarget).size() == 1);
  }
  SECTION("but not if they were idle for a long time") {
    REQUIRE(flows.TakeFlowsOf(kStart + seconds(16), kTarget).empty());
  }
  SECTION("but not after they were removed") {
    flows.Remove(Packet(1, 0).flow);
    REQUIRE(flows.TakeFlowsOf(kStart, kTarget).size() == 1);
  }
}

}  // namespace
}  // namespace lavendertack
