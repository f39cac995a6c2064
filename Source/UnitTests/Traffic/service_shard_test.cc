#include "Traffic/service_shard.h"

#include <catch2/catch.hpp>

#include "UnitTests/Traffic/shard_driver.h"

namespace lavendertack {
namespace {

using testing::shard_driver;

void RequireAnswer(const shard_driver& d, answer_kind kind,
                   refusal_reason reason = refusal_reason::kNone) {
  REQUIRE(!d.answers.empty());
  REQUIRE(ToString(d.answers.back().kind) == ToString(kind));
  REQUIRE(ToString(d.answers.back().reason) == ToString(reason));
}

TEST_CASE("a target's limits are exact") {
  shard_driver d;

  SECTION("flows of an earlier owner count as connections") {
    d.Announce("a", target_state::kReady, 2, 2);
    for (std::uint64_t flow : {1, 2, 3}) {
      d.tokens[flow] = {{"nairobi"}, {"a"}, {1}, {3}, flow};
      d.Packet(flow, keep_alive{});
    }
    REQUIRE(d.shard.targets().at({"a"}).flows == 2);
    REQUIRE(d.shard.flow_count() == 3);

    SECTION("and the one too many is kept, for another target") {
      d.Pass(milliseconds(1100));
      d.Announce("b");
      d.Request(3, 1, "browse", true);
      REQUIRE(d.runs.back().target == target_name{"b"});
    }
  }

  SECTION("slots that shrink below what runs stop new starts") {
    d.Announce("a");
    d.Open(1);
    d.Warm(1);
    d.Request(1, 1);
    d.Request(1, 2);
    d.Announce("a", target_state::kReady, 1);
    d.Request(1, 3);
    REQUIRE(d.runs.size() == 2);
    d.Finish(d.runs[0]);
    REQUIRE(d.runs.size() == 2);
    d.Finish(d.runs[1]);
    d.Pass(milliseconds(50), {});
    REQUIRE(d.runs.size() == 3);
  }
}

// An instance that was frozen reads what callers sent meanwhile before it reads
// that the target leaves.
TEST_CASE("a suspended owner places nothing on what it knew before") {
  shard_driver d;
  d.Announce("a");
  d.Pass(milliseconds(100), {"a"});
  d.now += milliseconds(2500);
  d.Open(1);
  RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kNoTarget);

  SECTION("until the target has spoken again") {
    d.Announce("a");
    d.Open(2);
    RequireAnswer(d, answer_kind::kOpened);
  }
  SECTION("and never when it says that it leaves") {
    d.Announce("a", target_state::kLeaving);
    d.Open(2);
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kNoTarget);
  }
}

TEST_CASE("a new owner leaves the slots alone that an earlier one has filled") {
  shard_driver d;
  const auto announce = [&](std::uint32_t busy) {
    d.Reduce(shard_announced{shard_driver::Connection("a"),
                             {.target = {"a"},
                              .service = {"catalogue"},
                              .boot = {1},
                              .state = target_state::kReady,
                              .slots = 2,
                              .connections = 2000,
                              .reported_busy = busy}});
  };
  announce(2);
  d.Open(1);
  d.Request(1, 1, "hold", false, milliseconds(3000));
  REQUIRE(d.runs.empty());

  SECTION("until the target says that they are free") {
    announce(0);
    REQUIRE(d.runs.size() == 1);
  }
  SECTION("but not for long, as reports may mislead") {
    for (int i = 0; i < 30 && d.runs.empty(); ++i) {
      d.Pass(milliseconds(190));
      announce(2);
      d.Request(1, 2 + i, "hold", false, milliseconds(3000));
    }
    REQUIRE_FALSE(d.runs.empty());
  }
  SECTION("and a target that joins later is taken at its word for none") {
    d.Pass(milliseconds(1600), {});
    d.Reduce(shard_announced{shard_driver::Connection("b"),
                             {.target = {"b"},
                              .service = {"catalogue"},
                              .boot = {2},
                              .state = target_state::kReady,
                              .slots = 2,
                              .connections = 2000,
                              .reported_busy = 99}});
    d.Open(2);
    d.Request(2, 1);
    REQUIRE(d.runs.back().target == target_name{"b"});
  }
}

TEST_CASE("urgent work goes first") {
  shard_driver d;
  d.Announce("a");
  d.Open(1);
  d.Open(2);
  d.Warm(1);

  SECTION("ahead of patient work that came earlier") {
    for (std::uint64_t n = 1; n <= 4; ++n) d.Request(1, n, "browse");
    d.Request(2, 1, "hold");
    d.Finish(d.runs[0]);
    REQUIRE(d.runs.back().flow == flow_id{2});
  }

  SECTION("a full queue makes room for urgent work alone") {
    for (std::uint64_t n = 0; n < kMaxQueue + 2; ++n) {
      d.Open(100 + n / kMaxLivePerFlow);
      d.Request(100 + n / kMaxLivePerFlow, n + 1, "browse", false,
                milliseconds(60'000));
    }
    REQUIRE(d.shard.targets().at({"a"}).queue.full());
    d.answers.clear();
    d.Request(1, 1, "browse", false, milliseconds(60'000));
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(d.answers.back().flow == flow_id{1});
    d.Request(2, 1, "hold", false, milliseconds(60'000));
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(d.answers.back().request == request_number{kMaxQueue + 2});
    d.Finish(d.runs[0]);
    REQUIRE(d.runs.back().flow == flow_id{2});
  }

  SECTION("a flow may have only so many requests at a time") {
    std::uint64_t n = 0;
    while (d.answers.empty()) {
      d.Request(1 + n % 2, n / 2 + 1, "browse", false, milliseconds(60'000));
      ++n;
    }
    // Each flow may have only so many requests at a time.
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(n <= 2 * kMaxLivePerFlow + 1);
    REQUIRE(d.answers.back().come_back >= kMinComeBack);
  }

  SECTION("patient work leaves a slot when it runs longer than urgent waits") {
    d.Request(1, 1, "browse", false, milliseconds(5000));
    d.Pass(milliseconds(90), {"a"});
    d.Finish(d.runs.back());
    d.Request(2, 1, "hold", false, milliseconds(50));
    d.Finish(d.runs.back());
    d.runs.clear();
    d.Request(1, 2, "browse", false, milliseconds(5000));
    d.Request(1, 3, "browse", false, milliseconds(5000));
    REQUIRE(d.runs.size() == 1);
    d.Request(2, 2, "hold", false, milliseconds(50));
    REQUIRE(d.runs.size() == 2);
    REQUIRE(d.runs.back().flow == flow_id{2});
  }

  SECTION("work that can't meet its deadline is refused at once") {
    for (std::uint64_t n = 1; n <= 12; ++n) d.Request(1, n, "hold");
    REQUIRE(d.answers.empty());
    d.Request(2, 1, "browse", false, milliseconds(60));
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(d.answers.back().come_back > milliseconds(100));
  }

  SECTION("and patient work that urgent work delays too much ends at once") {
    d.Request(1, 1, "browse");
    d.Request(1, 2, "browse");
    d.Request(1, 3, "browse", false, milliseconds(60));
    REQUIRE(d.answers.empty());
    for (std::uint64_t n = 1; n <= 12; ++n) d.Request(2, n, "hold");
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kOverloaded);
    REQUIRE(d.answers.back().request == request_number{3});
  }
}

TEST_CASE("a request that may not be repeated runs at most once") {
  shard_driver d;
  d.Announce("a");
  d.Open(1);
  d.Request(1, 1);
  REQUIRE(d.runs.size() == 1);

  SECTION("its resends get the answer of its record") {
    d.Request(1, 1);
    REQUIRE(d.answers.size() == 1);  // Only that of the open.
    d.Finish(d.runs[0]);
    d.Request(1, 1);
    REQUIRE(d.runs.size() == 1);
    RequireAnswer(d, answer_kind::kServed);
    REQUIRE(d.answers.back().body == "whole");

    SECTION("also after the target is lost, and the flow goes on") {
      d.Announce("b");
      d.Reduce(shard_disconnected{shard_driver::Connection("a")});
      d.Request(1, 1);
      RequireAnswer(d, answer_kind::kServed);
      d.Request(1, 2);
      REQUIRE(d.runs.back().target == target_name{"b"});
      REQUIRE(d.shard.counters().moved == 1);
    }
  }

  SECTION("at its deadline the outcome is unknown and a cancel goes out") {
    d.Pass(milliseconds(1000), {"a"});
    RequireAnswer(d, answer_kind::kOutcomeUnknown,
                  refusal_reason::kDeadlinePassed);
    REQUIRE(d.cancels.size() == 1);
    REQUIRE(d.shard.targets().at({"a"}).busy == 1);
    REQUIRE(d.shard.running_requests() == 0);

    SECTION("a late answer makes it known to a resend") {
      d.Finish(d.runs[0]);
      REQUIRE(d.answers.size() == 2);
      d.Request(1, 1);
      RequireAnswer(d, answer_kind::kServed);
      REQUIRE(d.shard.targets().at({"a"}).busy == 0);
    }
    SECTION("a target that never answers gets its slot back much later") {
      d.Pass(kSlotHold + seconds(1), {"a"});
      REQUIRE(d.shard.targets().at({"a"}).busy == 0);
      REQUIRE(d.shard.counters().slots_held == 1);
    }
  }

  SECTION("a lost target leaves the outcome unknown") {
    d.Announce("b");
    d.Reduce(shard_disconnected{shard_driver::Connection("a")});
    RequireAnswer(d, answer_kind::kOutcomeUnknown, refusal_reason::kTargetLost);
    REQUIRE(d.runs.size() == 1);

    SECTION("and when it comes back it still holds the slot") {
      d.Announce("a");
      REQUIRE(d.shard.targets().at({"a"}).busy == 1);
    }
    SECTION("a new life of it holds none") {
      d.Announce("a", target_state::kReady, 2, 2000, 2);
      REQUIRE(d.shard.targets().at({"a"}).busy == 0);
      // A late announcement of the earlier life changes nothing.
      d.Announce("a", target_state::kReady, 2, 2000, 1);
      REQUIRE(d.shard.targets().at({"a"}).boot == boot_id{2});
    }
  }

  SECTION("a refusal is final: its duplicate doesn't run later") {
    d.Request(1, 2, "no such class");
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kUnknownClass);
    d.Finish(d.runs[0]);
    d.Request(1, 2, "hold");
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kUnknownClass);
    REQUIRE(d.runs.size() == 1);
  }

  SECTION("a number that comes out of order runs, a forgotten one doesn't") {
    d.Finish(d.runs[0]);
    d.Pass(milliseconds(500), {"a"});
    d.Request(1, 5);
    d.Finish(d.runs.back());
    d.Pass(kRecordRetention + seconds(1), {"a"});
    REQUIRE(d.runs.size() == 2);
    d.Request(1, 4);
    REQUIRE(d.runs.size() == 3);
    d.Request(1, 5);
    RequireAnswer(d, answer_kind::kOutcomeUnknown, refusal_reason::kTooOld);
    REQUIRE(d.runs.size() == 3);
  }

  SECTION("an owner of a later epoch doesn't know what ran") {
    shard_driver next({8});
    next.Announce("a");
    next.tokens = d.tokens;
    next.Request(1, 2);
    RequireAnswer(next, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    next.Request(1, 2);
    RequireAnswer(next, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    // Resent under the new token, as it must not be: still not run.
    next.Request(1, 1);
    RequireAnswer(next, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    REQUIRE(next.runs.empty());
    next.Request(1, 3);
    REQUIRE(next.runs.size() == 1);

    SECTION("also of repeatable work, which it may have refused") {
      next.Finish(next.runs[0]);
      next.Pass(milliseconds(500), {"a"});
      next.tokens[1] = d.tokens[1];
      next.Request(1, 4, "browse", true);
      RequireAnswer(next, answer_kind::kOutcomeUnknown,
                    refusal_reason::kOwnerChanged);
      REQUIRE(next.runs.size() == 1);
    }
    SECTION("and a closed flow isn't rebuilt by a late packet") {
      next.Finish(next.runs[0]);
      next.Packet(1, close_flow{});
      next.tokens = d.tokens;
      next.Request(1, 4, "browse", true);
      RequireAnswer(next, answer_kind::kFlowLost, refusal_reason::kTargetLost);
      REQUIRE(next.runs.size() == 1);
    }
  }
}

TEST_CASE("answers of targets are whole or one clear error") {
  shard_driver d;
  d.Announce("a");
  d.Open(1);
  d.Request(1, 1, "browse", true);
  const auto part = [&](std::uint32_t number, std::uint32_t parts,
                        std::string body) {
    d.Reduce(shard_answered{shard_driver::Connection("a"),
                            {.attempt = d.runs[0].attempt,
                             .part = number,
                             .parts = parts,
                             .body = std::move(body)}});
  };

  SECTION("parts at odds with each other are one error and free the slot") {
    part(2, 3, "c");
    const bool count_differs = GENERATE(true, false);
    part(count_differs ? 0 : 2, count_differs ? 2 : 3, "y");
    RequireAnswer(d, answer_kind::kOutcomeUnknown, refusal_reason::kBadAnswer);
    REQUIRE(d.shard.targets().at({"a"}).busy == 0);
  }
  SECTION("a part that never comes frees the slot at the deadline") {
    part(2, 3, "c");
    d.Pass(milliseconds(1000), {"a"});
    RequireAnswer(d, answer_kind::kOutcomeUnknown,
                  refusal_reason::kDeadlinePassed);
    REQUIRE(d.shard.targets().at({"a"}).busy == 0);
  }
  SECTION("parts come in any order and twice") {
    part(2, 3, "c");
    part(2, 3, "c");
    part(0, 3, "a");
    REQUIRE(d.answers.size() == 1);
    part(1, 3, "b");
    RequireAnswer(d, answer_kind::kServed);
    REQUIRE(d.answers.back().body == "abc");
  }
  SECTION("too many parts take no memory") {
    part(0, 4'000'000'000U, "a");
    RequireAnswer(d, answer_kind::kOutcomeUnknown, refusal_reason::kTooLarge);
  }
  SECTION("too many bytes end the request") {
    part(0, 3, std::string(kMaxWholeAnswerBytes, 'a'));
    part(1, 3, "b");
    RequireAnswer(d, answer_kind::kOutcomeUnknown, refusal_reason::kTooLarge);
    part(2, 3, "c");
    REQUIRE(d.answers.size() == 2);
  }
  SECTION("an answer over another target's connection is dropped") {
    d.Reduce(shard_answered{shard_driver::Connection("b"),
                            {.attempt = d.runs[0].attempt, .body = "z"}});
    REQUIRE(d.answers.size() == 1);
  }
}

TEST_CASE("repeatable work is retried elsewhere within a budget") {
  shard_driver d;
  d.Announce("a");
  d.Announce("b");
  d.Open(1);
  d.Request(1, 1, "browse", true);
  const run_order first = d.runs[0];

  SECTION("after a shed answer") {
    d.Finish(first, run_status::kShed);
    REQUIRE(d.runs.size() == 2);
    REQUIRE(d.runs[1].target != first.target);
    REQUIRE(d.runs[1].attempt != first.attempt);

    SECTION("the answer of the first sending fits no longer") {
      d.Finish(first);
      REQUIRE(d.answers.size() == 1);
      d.Finish(d.runs[1]);
      RequireAnswer(d, answer_kind::kServed);
    }
  }
  SECTION("a loss and then a shed answer leave the outcome unknown") {
    d.Reduce(shard_disconnected{shard_driver::Connection(first.target.value)});
    REQUIRE(d.runs.size() == 2);
    d.Finish(d.runs[1], run_status::kShed);
    RequireAnswer(d, answer_kind::kOutcomeUnknown, refusal_reason::kTargetShed);
  }
  SECTION("with no other target a loss leaves the outcome unknown") {
    d.Announce("b", target_state::kLeaving);
    d.Announce("a", target_state::kLeaving);
    d.Reduce(shard_disconnected{shard_driver::Connection(first.target.value)});
    RequireAnswer(d, answer_kind::kOutcomeUnknown, refusal_reason::kTargetLost);
  }
  SECTION("other work is not, though the target didn't run it") {
    d.Open(2);
    d.Request(2, 1, "hold");
    d.Finish(d.runs.back(), run_status::kShed);
    REQUIRE(d.runs.size() == 2);
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kTargetShed);
  }
}

TEST_CASE("planned changes cut no work") {
  shard_driver d;
  d.Announce("a");
  d.Open(1);
  d.Request(1, 1);

  SECTION("a flow closed at work is gone when the work ends") {
    d.Packet(1, close_flow{});
    REQUIRE(d.cancels.size() == 1);
    REQUIRE(d.shard.flow_count() == 1);
    d.Finish(d.runs[0]);
    RequireAnswer(d, answer_kind::kServed);
    REQUIRE(d.shard.flow_count() == 0);
    REQUIRE(d.shard.targets().at({"a"}).flows == 0);
  }
  SECTION("a draining target goes on with its flows, a leaving one doesn't") {
    d.Announce("b");
    d.Announce("a", target_state::kDraining);
    d.Request(1, 2);
    d.Open(2);
    REQUIRE(d.tokens.at(2).target == target_name{"b"});
    d.Announce("a", target_state::kLeaving);
    // What waited there was never sent and now runs elsewhere.
    REQUIRE(d.runs.back().request == request_number{2});
    REQUIRE(d.runs.back().target == target_name{"b"});
    d.Finish(d.runs[0]);
    RequireAnswer(d, answer_kind::kServed);
  }
  SECTION("a flow without work leaves a draining target when opened again") {
    d.Open(3);
    REQUIRE(d.tokens.at(3).target == target_name{"a"});
    d.Announce("b");
    d.Announce("a", target_state::kDraining);
    d.Open(3);
    REQUIRE(d.tokens.at(3).target == target_name{"b"});
    REQUIRE(d.shard.targets().at({"b"}).flows == 1);
  }
  SECTION("a cancelled request that waits ends at once") {
    d.Request(1, 2);
    d.Packet(1, cancel_request{{2}});
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kCancelled);
    d.Packet(1, cancel_request{{1}});
    REQUIRE(d.cancels.size() == 1);
  }
  SECTION("a shard that stops lets end what runs") {
    d.Request(1, 2);
    d.Reduce(shard_stop_admitting{});
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kDraining);
    REQUIRE(d.shard.running_requests() == 1);
    d.Request(1, 3);
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kDraining);
    d.Finish(d.runs[0]);
    RequireAnswer(d, answer_kind::kServed);
    REQUIRE(d.shard.running_requests() == 0);
  }
  SECTION("a data centre taken out ends what waits") {
    d.Request(1, 2);
    d.view.out = true;
    d.Pass(milliseconds(10));
    RequireAnswer(d, answer_kind::kNotRun, refusal_reason::kDataCentreOut);
    d.Pass(milliseconds(1000), {"a"});
    REQUIRE(d.cancels.empty());
  }
  SECTION("a new owner waits a moment for a flow's own target") {
    shard_driver next({8});
    next.tokens = d.tokens;
    next.Announce("b");
    next.Request(1, 2, "browse", true);
    // The owner before may have run it, so "not run" would be no truth.
    RequireAnswer(next, answer_kind::kOutcomeUnknown,
                  refusal_reason::kOwnerChanged);
    next.Request(1, 3, "browse", true);
    RequireAnswer(next, answer_kind::kNotRun, refusal_reason::kNoTarget);
    REQUIRE(next.answers.back().come_back > milliseconds(0));
    next.Announce("a");
    next.Request(1, 4, "browse", true);
    REQUIRE(next.runs.back().target == target_name{"a"});
    REQUIRE(next.shard.counters().moved == 0);
  }
}

}  // namespace
}  // namespace lavendertack
