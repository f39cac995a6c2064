#include "Traffic/service_shard.h"

#include <catch2/catch.hpp>

#include "UnitTests/Traffic/shard_driver.h"

namespace lavendertack {
namespace {

using testing::shard_driver;

void RequireAnswer(const shard_driver& driver, answer_kind kind,
                   refusal_reason reason = refusal_reason::kNone) {
  REQUIRE(!driver.answers.empty());
  REQUIRE(ToString(driver.answers.back().kind) == ToString(kind));
  REQUIRE(ToString(driver.answers.back().reason) == ToString(reason));
}

TEST_CASE("a target's limits are exact") {
  shard_driver driver;

  SECTION("flows of an earlier owner count as connections") {
    driver.Announce("a", target_state::kReady, 2, 2);
    for (std::uint64_t flow : {1, 2, 3}) {
      driver.tokens[flow] = {{"nairobi"}, {"a"}, {1}, {3}, flow};
      driver.SendPacket(flow, keep_alive{});
    }
    REQUIRE(driver.shard.targets().at({"a"}).flows == 2);
    REQUIRE(driver.shard.flow_count() == 3);

    SECTION("a flow over the limit is kept and moves to another target") {
      driver.AdvanceTime(milliseconds(1100));
      driver.Announce("b");
      driver.SendRequest(3, 1, "browse", true);
      REQUIRE(driver.runs.back().target == target_name{"b"});
    }
  }

  SECTION("lowering the slots below the running requests blocks new ones") {
    driver.Announce("a");
    driver.OpenFlow(1);
    driver.WarmUpTarget(1);
    driver.SendRequest(1, 1);
    driver.SendRequest(1, 2);
    driver.Announce("a", target_state::kReady, 1);
    driver.SendRequest(1, 3);
    REQUIRE(driver.runs.size() == 2);
    driver.CompleteRequest(driver.runs[0]);
    REQUIRE(driver.runs.size() == 2);
    driver.CompleteRequest(driver.runs[1]);
    driver.AdvanceTime(milliseconds(50), {});
    REQUIRE(driver.runs.size() == 3);
  }
}

// A suspended instance resumes with packets queued in its sockets. It may
// process those of callers before the announcement that a target is leaving,
// and place flows at that target.
TEST_CASE("an owner resumed after suspension ignores earlier announcements") {
  shard_driver driver;
  driver.Announce("a");
  driver.AdvanceTime(milliseconds(100), {"a"});
  driver.now += milliseconds(2500);
  driver.OpenFlow(1);
  RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kNoTarget);

  SECTION("until the target announces itself again") {
    driver.Announce("a");
    driver.OpenFlow(2);
    RequireAnswer(driver, answer_kind::kOpened);
  }
  SECTION("and opens no flow on a target that announces it is leaving") {
    driver.Announce("a", target_state::kLeaving);
    driver.OpenFlow(2);
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kNoTarget);
  }
}

// A suspended instance receives no announcements. It used to give up the
// requests of all targets when it resumed.
TEST_CASE("an owner resumed after suspension keeps running requests") {
  shard_driver driver;
  driver.Announce("a");
  driver.OpenFlow(1);
  driver.SendRequest(1, 1, "hold", false, milliseconds(20'000));
  REQUIRE(driver.runs.size() == 1);
  driver.answers.clear();
  driver.now += seconds(4);
  driver.Reduce(shard_tick{});
  REQUIRE(driver.answers.empty());

  SECTION("and delivers their answers") {
    driver.CompleteRequest(driver.runs[0]);
    RequireAnswer(driver, answer_kind::kServed);
  }
  SECTION("unless the target stays silent afterwards") {
    driver.AdvanceTime(kTargetTimeout + milliseconds(500));
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kTargetLost);
  }
}

TEST_CASE("a new owner doesn't use slots still busy for an earlier owner") {
  shard_driver driver;
  const auto announce = [&](std::uint32_t busy) {
    driver.Reduce(shard_announcement_received{shard_driver::Connection("a"),
                                              {.target = {"a"},
                                               .service = {"catalogue"},
                                               .boot = {1},
                                               .state = target_state::kReady,
                                               .slots = 2,
                                               .connections = 2000,
                                               .reported_busy = busy}});
  };
  announce(2);
  driver.OpenFlow(1);
  driver.SendRequest(1, 1, "hold", false, milliseconds(3000));
  REQUIRE(driver.runs.empty());

  SECTION("until the target reports them free") {
    announce(0);
    REQUIRE(driver.runs.size() == 1);
  }
  SECTION("for a limited time, because reports may be wrong") {
    for (int i = 0; i < 30 && driver.runs.empty(); ++i) {
      driver.AdvanceTime(milliseconds(190));
      announce(2);
      driver.SendRequest(1, 2 + i, "hold", false, milliseconds(3000));
    }
    REQUIRE_FALSE(driver.runs.empty());
  }
  SECTION("and ignores busy slots reported by a target that joins later") {
    driver.AdvanceTime(milliseconds(1600), {});
    driver.Reduce(shard_announcement_received{shard_driver::Connection("b"),
                                              {.target = {"b"},
                                               .service = {"catalogue"},
                                               .boot = {2},
                                               .state = target_state::kReady,
                                               .slots = 2,
                                               .connections = 2000,
                                               .reported_busy = 99}});
    driver.OpenFlow(2);
    driver.SendRequest(2, 1);
    REQUIRE(driver.runs.back().target == target_name{"b"});
  }
}

TEST_CASE("higher-priced classes have priority") {
  shard_driver driver;
  driver.Announce("a");
  driver.OpenFlow(1);
  driver.OpenFlow(2);
  driver.WarmUpTarget(1);

  SECTION("over lower-priced requests that arrived earlier") {
    for (std::uint64_t n = 1; n <= 4; ++n) driver.SendRequest(1, n, "browse");
    driver.SendRequest(2, 1, "hold");
    driver.CompleteRequest(driver.runs[0]);
    REQUIRE(driver.runs.back().flow == flow_id{2});
  }

  SECTION(
      "a full queue drops a low-priority request only for a high-priority "
      "one") {
    // Uses several flows, because each may have only kMaxLivePerFlow requests
    // without an answer.
    for (std::uint64_t n = 0; n < kMaxQueuedRequests + 2; ++n) {
      driver.OpenFlow(100 + n / kMaxLivePerFlow);
      driver.SendRequest(100 + n / kMaxLivePerFlow, n + 1, "browse", false,
                         milliseconds(60'000));
    }
    REQUIRE(driver.shard.targets().at({"a"}).queue.full());
    driver.answers.clear();
    driver.SendRequest(1, 1, "browse", false, milliseconds(60'000));
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(driver.answers.back().flow == flow_id{1});
    driver.SendRequest(2, 1, "hold", false, milliseconds(60'000));
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(driver.answers.back().request ==
            request_number{kMaxQueuedRequests + 2});
    driver.CompleteRequest(driver.runs[0]);
    REQUIRE(driver.runs.back().flow == flow_id{2});
  }

  SECTION("the number of unfinished requests per flow is limited") {
    std::uint64_t n = 0;
    while (driver.answers.empty()) {
      driver.SendRequest(1 + n % 2, n / 2 + 1, "browse", false,
                         milliseconds(60'000));
      ++n;
    }
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(n <= 2 * kMaxLivePerFlow + 1);
    REQUIRE(driver.answers.back().retry_after >= kMinRetryAfter);
  }

  SECTION(
      "a slot is reserved if low-priority requests outlast high-priority "
      "deadlines") {
    driver.SendRequest(1, 1, "browse", false, milliseconds(5000));
    driver.AdvanceTime(milliseconds(90), {"a"});
    driver.CompleteRequest(driver.runs.back());
    driver.SendRequest(2, 1, "hold", false, milliseconds(50));
    driver.CompleteRequest(driver.runs.back());
    driver.runs.clear();
    driver.SendRequest(1, 2, "browse", false, milliseconds(5000));
    driver.SendRequest(1, 3, "browse", false, milliseconds(5000));
    REQUIRE(driver.runs.size() == 1);
    driver.SendRequest(2, 2, "hold", false, milliseconds(50));
    REQUIRE(driver.runs.size() == 2);
    REQUIRE(driver.runs.back().flow == flow_id{2});
  }

  SECTION("a request that can't meet its deadline is refused immediately") {
    for (std::uint64_t n = 1; n <= 12; ++n) driver.SendRequest(1, n, "hold");
    REQUIRE(driver.answers.empty());
    driver.SendRequest(2, 1, "browse", false, milliseconds(60));
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(driver.answers.back().retry_after > milliseconds(100));
  }

  SECTION(
      "a queued request that high-priority ones delay past its deadline is "
      "refused") {
    driver.SendRequest(1, 1, "browse");
    driver.SendRequest(1, 2, "browse");
    driver.SendRequest(1, 3, "browse", false, milliseconds(60));
    REQUIRE(driver.answers.empty());
    for (std::uint64_t n = 1; n <= 12; ++n) driver.SendRequest(2, n, "hold");
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(driver.answers.back().request == request_number{3});
  }
}

TEST_CASE("a request that may not be repeated runs at most once") {
  shard_driver driver;
  driver.Announce("a");
  driver.OpenFlow(1);
  driver.SendRequest(1, 1);
  REQUIRE(driver.runs.size() == 1);

  SECTION("its resends get the recorded answer") {
    driver.SendRequest(1, 1);
    REQUIRE(driver.answers.size() == 1);  // The answer to open_flow.
    driver.CompleteRequest(driver.runs[0]);
    driver.SendRequest(1, 1);
    REQUIRE(driver.runs.size() == 1);
    RequireAnswer(driver, answer_kind::kServed);
    REQUIRE(driver.answers.back().body == "whole");

    SECTION("also after its target is lost, and the flow stays open") {
      driver.Announce("b");
      driver.Reduce(shard_target_disconnected{shard_driver::Connection("a")});
      driver.SendRequest(1, 1);
      RequireAnswer(driver, answer_kind::kServed);
      driver.SendRequest(1, 2);
      REQUIRE(driver.runs.back().target == target_name{"b"});
      REQUIRE(driver.shard.counters().moved == 1);
    }
  }

  SECTION("at its deadline the outcome is unknown and a cancel is sent") {
    driver.AdvanceTime(milliseconds(1000), {"a"});
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kDeadlinePassed);
    REQUIRE(driver.cancels.size() == 1);
    REQUIRE(driver.shard.targets().at({"a"}).busy == 1);
    REQUIRE(driver.shard.running_requests() == 0);

    SECTION("a resend after a late answer gets the outcome") {
      driver.CompleteRequest(driver.runs[0]);
      REQUIRE(driver.answers.size() == 2);
      driver.SendRequest(1, 1);
      RequireAnswer(driver, answer_kind::kServed);
      REQUIRE(driver.shard.targets().at({"a"}).busy == 0);
    }
    SECTION(
        "the slot is freed after kSlotTimeout if the target never answers") {
      driver.AdvanceTime(kSlotTimeout + seconds(1), {"a"});
      REQUIRE(driver.shard.targets().at({"a"}).busy == 0);
      REQUIRE(driver.shard.counters().slots_timed_out == 1);
    }
  }

  SECTION("a lost target leaves the outcome unknown") {
    driver.Announce("b");
    driver.Reduce(shard_target_disconnected{shard_driver::Connection("a")});
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kTargetLost);
    REQUIRE(driver.runs.size() == 1);

    SECTION("and its slot stays busy after it reconnects") {
      driver.Announce("a");
      REQUIRE(driver.shard.targets().at({"a"}).busy == 1);
    }
    SECTION("but not after it restarts") {
      driver.Announce("a", target_state::kReady, 2, 2000, 2);
      REQUIRE(driver.shard.targets().at({"a"}).busy == 0);
      // A late announcement of the previous process is ignored.
      driver.Announce("a", target_state::kReady, 2, 2000, 1);
      REQUIRE(driver.shard.targets().at({"a"}).boot == boot_id{2});
    }
  }

  SECTION("a refusal is final: a duplicate of the request doesn't run") {
    driver.SendRequest(1, 2, "no such class");
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kUnknownClass);
    driver.CompleteRequest(driver.runs[0]);
    driver.SendRequest(1, 2, "hold");
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kUnknownClass);
    REQUIRE(driver.runs.size() == 1);
  }

  SECTION(
      "a number received out of order runs, one with an expired record "
      "doesn't") {
    driver.CompleteRequest(driver.runs[0]);
    driver.AdvanceTime(milliseconds(500), {"a"});
    driver.SendRequest(1, 5);
    driver.CompleteRequest(driver.runs.back());
    driver.AdvanceTime(kRecordRetention + seconds(1), {"a"});
    REQUIRE(driver.runs.size() == 2);
    driver.SendRequest(1, 4);
    REQUIRE(driver.runs.size() == 3);
    driver.SendRequest(1, 5);
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kTooOld);
    REQUIRE(driver.runs.size() == 3);
  }

  SECTION("an owner of a later epoch reports the outcome as unknown") {
    shard_driver new_owner({8});
    new_owner.Announce("a");
    new_owner.tokens = driver.tokens;
    new_owner.SendRequest(1, 2);
    RequireAnswer(new_owner, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    new_owner.SendRequest(1, 2);
    RequireAnswer(new_owner, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    // A caller must not resend an earlier request with the new token. If it
    // does, the request doesn't run either.
    new_owner.SendRequest(1, 1);
    RequireAnswer(new_owner, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    REQUIRE(new_owner.runs.empty());
    new_owner.SendRequest(1, 3);
    REQUIRE(new_owner.runs.size() == 1);

    SECTION(
        "also of a repeatable request, which the earlier owner may have "
        "refused") {
      new_owner.CompleteRequest(new_owner.runs[0]);
      new_owner.AdvanceTime(milliseconds(500), {"a"});
      new_owner.tokens[1] = driver.tokens[1];
      new_owner.SendRequest(1, 4, "browse", true);
      RequireAnswer(new_owner, answer_kind::kOutcomeUnknown,
                    refusal_reason::kOwnerChanged);
      REQUIRE(new_owner.runs.size() == 1);
    }
    SECTION("and a late packet doesn't reopen a closed flow") {
      new_owner.CompleteRequest(new_owner.runs[0]);
      new_owner.SendPacket(1, close_flow{});
      new_owner.tokens = driver.tokens;
      new_owner.SendRequest(1, 4, "browse", true);
      RequireAnswer(new_owner, answer_kind::kFlowLost,
                    refusal_reason::kTargetLost);
      REQUIRE(new_owner.runs.size() == 1);
    }
  }
}

TEST_CASE("the caller gets a target's whole answer or one error") {
  shard_driver driver;
  driver.Announce("a");
  driver.OpenFlow(1);
  driver.SendRequest(1, 1, "browse", true);
  const auto send_part = [&](std::uint32_t number, std::uint32_t parts,
                             std::string body) {
    driver.Reduce(shard_answer_received{shard_driver::Connection("a"),
                                        {.attempt = driver.runs[0].attempt,
                                         .part = number,
                                         .parts = parts,
                                         .body = std::move(body)}});
  };

  SECTION("inconsistent parts give one error and free the slot") {
    send_part(2, 3, "c");
    const bool count_differs = GENERATE(true, false);
    send_part(count_differs ? 0 : 2, count_differs ? 2 : 3, "y");
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kBadAnswer);
    REQUIRE(driver.shard.targets().at({"a"}).busy == 0);
  }
  SECTION("a missing part frees the slot at the deadline") {
    send_part(2, 3, "c");
    driver.AdvanceTime(milliseconds(1000), {"a"});
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kDeadlinePassed);
    REQUIRE(driver.shard.targets().at({"a"}).busy == 0);
  }
  SECTION("parts may be reordered and duplicated") {
    send_part(2, 3, "c");
    send_part(2, 3, "c");
    send_part(0, 3, "a");
    REQUIRE(driver.answers.size() == 1);
    send_part(1, 3, "b");
    RequireAnswer(driver, answer_kind::kServed);
    REQUIRE(driver.answers.back().body == "abc");
  }
  SECTION(
      "an answer with too many parts is rejected without allocating memory") {
    send_part(0, 4'000'000'000U, "a");
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kTooLarge);
  }
  SECTION("an answer with too many bytes ends the request") {
    send_part(0, 3, std::string(kMaxAnswerBytes, 'a'));
    send_part(1, 3, "b");
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kTooLarge);
    send_part(2, 3, "c");
    REQUIRE(driver.answers.size() == 2);
  }
  SECTION("an answer over another target's connection is dropped") {
    driver.Reduce(shard_answer_received{
        shard_driver::Connection("b"),
        {.attempt = driver.runs[0].attempt, .body = "z"}});
    REQUIRE(driver.answers.size() == 1);
  }
}

// A caller may open a flow with the id of one that it has closed. The target's
// answer to a request of the closed flow, or a copy of it, arrives afterwards.
TEST_CASE("a late answer doesn't reach a new flow with the same id") {
  shard_driver driver;
  driver.Announce("a");
  driver.OpenFlow(1);
  driver.WarmUpTarget(1);
  driver.SendRequest(1, 1);
  driver.AdvanceTime(milliseconds(1000), {"a"});
  RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                refusal_reason::kDeadlinePassed);
  driver.SendPacket(1, close_flow{});
  REQUIRE(driver.shard.flow_count() == 0);
  driver.OpenFlow(1);
  driver.SendRequest(1, 1);
  REQUIRE(driver.runs.size() == 2);
  driver.answers.clear();

  SECTION("while its request is running") {
    driver.CompleteRequest(driver.runs[0], run_status::kDone, "late");
    driver.CompleteRequest(driver.runs[0], run_status::kDone, "late");
    REQUIRE(driver.answers.empty());
    driver.CompleteRequest(driver.runs[1], run_status::kDone, "own");
    REQUIRE(driver.answers.size() == 1);
    REQUIRE(driver.answers.front().body == "own");
  }
  SECTION("while the outcome of its request is unknown") {
    driver.AdvanceTime(milliseconds(1000), {"a"});
    driver.CompleteRequest(driver.runs[0], run_status::kDone, "late");
    driver.SendRequest(1, 1);
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kDeadlinePassed);
  }
}

TEST_CASE("repeatable requests are retried on other targets within a budget") {
  shard_driver driver;
  driver.Announce("a");
  driver.Announce("b");
  driver.OpenFlow(1);
  driver.SendRequest(1, 1, "browse", true);
  const run_order first = driver.runs[0];

  SECTION("after a shed answer") {
    driver.CompleteRequest(first, run_status::kShed);
    REQUIRE(driver.runs.size() == 2);
    REQUIRE(driver.runs[1].target != first.target);
    REQUIRE(driver.runs[1].attempt != first.attempt);

    SECTION("the answer to the first attempt is ignored") {
      driver.CompleteRequest(first);
      REQUIRE(driver.answers.size() == 1);
      driver.CompleteRequest(driver.runs[1]);
      RequireAnswer(driver, answer_kind::kServed);
    }
  }
  SECTION("a lost target and then a shed answer leave the outcome unknown") {
    driver.Reduce(shard_target_disconnected{
        shard_driver::Connection(first.target.value)});
    REQUIRE(driver.runs.size() == 2);
    driver.CompleteRequest(driver.runs[1], run_status::kShed);
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kTargetShed);
  }
  SECTION(
      "a lost target without a usable other one leaves the outcome unknown") {
    driver.Announce("b", target_state::kLeaving);
    driver.Announce("a", target_state::kLeaving);
    driver.Reduce(shard_target_disconnected{
        shard_driver::Connection(first.target.value)});
    RequireAnswer(driver, answer_kind::kOutcomeUnknown,
                  refusal_reason::kTargetLost);
  }
  SECTION(
      "a request that may not be repeated isn't, even if the target didn't run "
      "it") {
    driver.OpenFlow(2);
    driver.SendRequest(2, 1, "hold");
    driver.CompleteRequest(driver.runs.back(), run_status::kShed);
    REQUIRE(driver.runs.size() == 2);
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kTargetShed);
  }
}

TEST_CASE("planned changes don't abort running requests") {
  shard_driver driver;
  driver.Announce("a");
  driver.OpenFlow(1);
  driver.SendRequest(1, 1);

  SECTION(
      "a flow closed with a running request is erased when the request ends") {
    driver.SendPacket(1, close_flow{});
    REQUIRE(driver.cancels.size() == 1);
    REQUIRE(driver.shard.flow_count() == 1);
    driver.CompleteRequest(driver.runs[0]);
    RequireAnswer(driver, answer_kind::kServed);
    REQUIRE(driver.shard.flow_count() == 0);
    REQUIRE(driver.shard.targets().at({"a"}).flows == 0);
  }
  SECTION("a draining target keeps its flows, a leaving one doesn't") {
    driver.Announce("b");
    driver.Announce("a", target_state::kDraining);
    driver.SendRequest(1, 2);
    driver.OpenFlow(2);
    REQUIRE(driver.tokens.at(2).target == target_name{"b"});
    driver.Announce("a", target_state::kLeaving);
    // The queued request was never sent and now runs on the other target.
    REQUIRE(driver.runs.back().request == request_number{2});
    REQUIRE(driver.runs.back().target == target_name{"b"});
    driver.CompleteRequest(driver.runs[0]);
    RequireAnswer(driver, answer_kind::kServed);
  }
  SECTION("an idle flow moves off a draining target when it is reopened") {
    driver.OpenFlow(3);
    REQUIRE(driver.tokens.at(3).target == target_name{"a"});
    driver.Announce("b");
    driver.Announce("a", target_state::kDraining);
    driver.OpenFlow(3);
    REQUIRE(driver.tokens.at(3).target == target_name{"b"});
    REQUIRE(driver.shard.targets().at({"b"}).flows == 1);
  }
  SECTION("a queued request ends immediately when it is cancelled") {
    driver.SendRequest(1, 2);
    driver.SendPacket(1, cancel_request{{2}});
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kCancelled);
    driver.SendPacket(1, cancel_request{{1}});
    REQUIRE(driver.cancels.size() == 1);
  }
  SECTION("a shard that stops admitting finishes running requests") {
    driver.SendRequest(1, 2);
    driver.Reduce(shard_stop_admitting{});
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kDraining);
    REQUIRE(driver.shard.running_requests() == 1);
    driver.SendRequest(1, 3);
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kDraining);
    driver.CompleteRequest(driver.runs[0]);
    RequireAnswer(driver, answer_kind::kServed);
    REQUIRE(driver.shard.running_requests() == 0);
  }
  SECTION("taking the data centre out of service refuses queued requests") {
    driver.SendRequest(1, 2);
    driver.view.out = true;
    driver.AdvanceTime(milliseconds(10));
    RequireAnswer(driver, answer_kind::kNotRun, refusal_reason::kDataCentreOut);
    driver.AdvanceTime(milliseconds(1000), {"a"});
    REQUIRE(driver.cancels.empty());
  }
  SECTION("a new owner waits briefly for the target of an existing flow") {
    shard_driver new_owner({8});
    new_owner.tokens = driver.tokens;
    new_owner.Announce("b");
    new_owner.SendRequest(1, 2, "browse", true);
    // The previous owner may have run it, so NOT_RUN could be wrong.
    RequireAnswer(new_owner, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    new_owner.SendRequest(1, 3, "browse", true);
    RequireAnswer(new_owner, answer_kind::kNotRun, refusal_reason::kNoTarget);
    REQUIRE(new_owner.answers.back().retry_after > milliseconds(0));
    new_owner.Announce("a");
    new_owner.SendRequest(1, 4, "browse", true);
    REQUIRE(new_owner.runs.back().target == target_name{"a"});
    REQUIRE(new_owner.shard.counters().moved == 0);
  }
}

}  // namespace
}  // namespace lavendertack
