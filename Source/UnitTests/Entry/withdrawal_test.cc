#include "Entry/withdrawal.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <tuple>

#include "Entry/entry_instance.h"

namespace lavendertack {
namespace {

const ipv4_endpoint kRouteAddress{{0xc6120001}, {443}};
const std::vector<std::string> kDataCentres{"a", "b", "c"};
constexpr int kTargetsPerDataCentre = 4;
constexpr milliseconds kStep{10};

// One entry instance in data centre a with fakes of its neighbours: a control
// instance and some targets in each of three data centres, and callers that
// open a flow every 20 ms and retransmit what isn't answered.
class entry_with_neighbours {
 public:
  using reachability = std::function<bool(const std::string& data_centre)>;

  entry_with_neighbours() { Restart(); }

  void Restart() {
    entry_ = std::make_unique<entry_instance>(
        entry_settings{.self = {"10.1.0.1"},
                       .data_centre = {"a"},
                       .seeds = {{"control-a"}, {"control-b"}, {"control-c"}},
                       .seed = 1,
                       .stop_within = seconds(60)});
    unanswered_.clear();
  }

  // Runs until the time has passed or, if given, until the readiness has the
  // value. Returns the time that it took.
  milliseconds Run(milliseconds time, std::optional<bool> until_ready = {}) {
    const instant start = now_;
    while (now_ - start < time && until_ready != entry_->IsReady(now_)) Step();
    return std::chrono::duration_cast<milliseconds>(now_ - start);
  }

  // Runs until the start has no effect any more.
  void RunUntilSettled() {
    Run(seconds(5));
    openings.clear();
    readiness_changes = 0;
  }

  // Suspends the process. Answers of the control instances of the data centres
  // wait in the buffers of the connections and are read when it resumes.
  void Pause(milliseconds time, const std::vector<std::string>& buffered) {
    now_ += time;
    for (const std::string& name : buffered) Deliver(name);
  }

  // Isolates data centre a from the others.
  void Partition() { controls_answer = targets_answer = IsOwn; }
  void Heal() { controls_answer = targets_answer = IsAny; }
  static bool IsOwn(const std::string& name) { return name == "a"; }
  static bool IsAny(const std::string&) { return true; }

  // Decides on the first packet of a new flow.
  forward_decision Open() {
    return entry_->Route(now_, OpeningPacket(++last_port_, 0));
  }
  bool IsReady() const { return entry_->IsReady(now_); }
  entry_instance& entry() { return *entry_; }
  instant now() const { return now_; }

  std::set<std::string> closed{"a"};
  reachability controls_answer = IsAny;
  reachability targets_answer = IsAny;
  bool has_callers = true;
  // The entry instances of the other data centres follow the control instance
  // of data centre a.
  bool others_are_active = false;
  // Openings since the start, by the reason of the decision.
  std::map<std::string, int> openings;
  int readiness_changes = 0;

 private:
  struct retransmission {
    instant at;
    std::uint16_t port;
    std::uint32_t number;
  };

  static flow_packet OpeningPacket(std::uint16_t port, std::uint32_t number) {
    return {.flow = {{{0x64400001}, {port}}, kRouteAddress},
            .opens = true,
            .retransmission = number};
  }

  void Step() {
    const bool was_ready = IsReady();
    now_ += kStep;
    entry_->Tick(now_);
    for (const follow_request& request : entry_->Requests(now_)) {
      const std::string name = request.to.value.substr(8);
      if (controls_answer(name)) Deliver(name);
    }
    while (!unanswered_.empty() && unanswered_.front().at <= now_) {
      Send(unanswered_.front().port, unanswered_.front().number);
      unanswered_.pop_front();
    }
    if (has_callers && ++steps_ % 2 == 0) Send(++last_port_, 0);
    if (IsReady() != was_ready) ++readiness_changes;
  }

  void Send(std::uint16_t port, std::uint32_t number) {
    flow_packet packet = OpeningPacket(port, number);
    const forward_decision decision = entry_->Route(now_, packet);
    ++openings[ToString(
        std::visit([](const auto& v) { return v.reason; }, decision))];
    const auto* forward = std::get_if<forward_to_target>(&decision);
    if (forward == nullptr) return;
    if (targets_answer(forward->target->report.data_centre.value)) {
      packet.opens = false;
      packet.retransmission = 0;
      packet.tag = forward->target->tag;
      entry_->Route(now_, packet);
    } else if (number < 2) {
      // 200 ms after the first packet, 400 ms after the second one.
      unanswered_.push_back(
          {now_ + milliseconds(200) * (number + 1), port, number + 1});
      std::sort(unanswered_.begin(), unanswered_.end(),
                [](const auto& a, const auto& b) { return a.at < b.at; });
    }
  }

  void Deliver(const std::string& name) {
    wire::fleet_message message;
    message.set_from("control-" + name);
    auto* update = message.mutable_update();
    update->set_data_centre(name);
    update->set_current(true);
    update->set_has_state(true);
    update->set_whole_state(true);
    update->set_state_to(3);
    update->set_manifest_version(7);
    for (const std::string& other : closed) {
      update->add_closed_data_centres(other);
    }
    for (const std::string& other : kDataCentres) {
      update->add_controls("control-" + other);
      if (!others_are_active || other == "a" || name != "a") continue;
      auto* activity = update->add_activities();
      activity->set_data_centre(other);
      activity->set_silent_ms(500);
      activity->set_has_entries(true);
    }
    auto* route = update->add_routes();
    route->set_ip(kRouteAddress.ip.value);
    route->set_port(kRouteAddress.port.value);
    auto* share = route->add_shares();
    share->set_service("catalogue");
    share->set_weight(1);
    update->set_target_epoch(5);
    update->set_targets_to(1);
    for (int i = 0; i < kTargetsPerDataCentre; ++i) {
      auto* target = update->add_targets();
      target->set_id(name + "-" + std::to_string(i));
      target->set_started_ms(1000);
      target->set_sequence(1);
      target->set_service("catalogue");
      target->set_ip(0x0a000000U + static_cast<unsigned>(name[0] * 256 + i));
      target->set_port(8080);
      target->set_data_centre(name);
      target->set_phase(wire::PHASE_READY);
    }
    entry_->Receive(now_, message);
  }

  instant now_{seconds(100)};
  std::unique_ptr<entry_instance> entry_;
  std::deque<retransmission> unanswered_;
  std::uint16_t last_port_ = 0;
  int steps_ = 0;
};

TEST_CASE("a closed data centre is cut off from the open ones") {
  entry_with_neighbours fleet;
  fleet.RunUntilSettled();
  REQUIRE(fleet.IsReady());
  // Between two requests to the control instances, which are 500 ms apart.
  fleet.Run(milliseconds(GENERATE(0, 120, 240, 360, 480)));

  SECTION("callers don't wait for targets that can't be reached") {
    fleet.Partition();
    REQUIRE(fleet.Run(seconds(3), false) <= milliseconds(1000));
    REQUIRE_FALSE(fleet.IsReady());
    fleet.openings.clear();
    fleet.Run(seconds(1));
    // Retransmissions of earlier openings are refused as well.
    REQUIRE(fleet.openings["unreachable"] >= 45);
    REQUIRE(fleet.openings["opened"] <= 5);  // Probes.

    SECTION("packets of open flows are forwarded") {
      const flow_packet packet{.flow = {{{0x64400001}, {9}}, kRouteAddress},
                               .tag = TagOf({"a-1"}),
                               .data_bytes = 100};
      REQUIRE(std::holds_alternative<forward_to_target>(
          fleet.entry().Route(fleet.now(), packet)));
    }
    SECTION("a probe notices the end of the partition") {
      fleet.Heal();
      fleet.Run(milliseconds(300));
      REQUIRE(std::holds_alternative<forward_to_target>(fleet.Open()));
      REQUIRE_FALSE(fleet.IsReady());
      REQUIRE(fleet.Run(seconds(10), true) <= milliseconds(3500));
    }
    SECTION("a long partition, after which the others' targets are unknown") {
      fleet.Run(seconds(120));
      REQUIRE_FALSE(fleet.IsReady());
      fleet.Heal();
      REQUIRE(fleet.Run(seconds(10), true) <= milliseconds(4500));
    }
    SECTION("the order to close it is taken back") {
      fleet.closed.clear();
      REQUIRE(fleet.Run(seconds(3), true) <= milliseconds(600));
      REQUIRE(std::holds_alternative<forward_to_target>(fleet.Open()));
    }
  }
  SECTION("without callers, silent control instances decide") {
    fleet.has_callers = false;
    fleet.Run(seconds(5));
    fleet.Partition();
    REQUIRE(fleet.Run(seconds(3), false) <= milliseconds(1500));
    fleet.Heal();
    REQUIRE(fleet.Run(seconds(10), true) <= milliseconds(4500));
  }
  SECTION("one of the open data centres is still reached") {
    fleet.controls_answer = fleet.targets_answer = [](const std::string& name) {
      return name != "c";
    };
    fleet.Run(seconds(20));
    REQUIRE(fleet.readiness_changes == 0);
  }
}

// Guards against withdrawals without a partition, which would move the callers
// of a data centre for nothing.
TEST_CASE("a closed data centre that reaches the others stays ready") {
  entry_with_neighbours fleet;
  fleet.RunUntilSettled();
  REQUIRE(fleet.IsReady());

  SECTION("updates are lost") {
    int updates = 0;
    int delivered_one_of = 0;
    std::tie(delivered_one_of, fleet.has_callers) =
        GENERATE(table<int, bool>({{2, false}, {7, true}}));
    fleet.controls_answer = [&](const std::string&) {
      return ++updates % delivered_one_of == 0;
    };
    fleet.Run(seconds(20));
  }
  SECTION("the control instances of the others are restarted for seconds") {
    fleet.controls_answer = entry_with_neighbours::IsOwn;
    fleet.Run(seconds(20));
  }
  SECTION("the same without callers, as other messages of them arrive") {
    fleet.controls_answer = entry_with_neighbours::IsOwn;
    fleet.others_are_active = true;
    fleet.has_callers = false;
    fleet.Run(seconds(20));
  }
  SECTION("no control instance answers") {
    fleet.controls_answer = [](const std::string&) { return false; };
    fleet.Run(seconds(20));
  }
  SECTION("three of ten openings are lost, and updates with them") {
    int openings = 0;
    fleet.targets_answer = [&](const std::string&) {
      return ++openings % 10 >= 3;
    };
    fleet.controls_answer = [&](const std::string&) {
      return openings % 10 >= 3;
    };
    fleet.Run(seconds(20));
  }
  REQUIRE(fleet.readiness_changes == 0);
}

TEST_CASE("a data centre that isn't closed alone stays ready") {
  entry_with_neighbours fleet;

  SECTION("its own data centre is open, and it is alone") {
    fleet.closed.clear();
    fleet.Run(seconds(5));
    fleet.Partition();
    fleet.Run(seconds(20));
    REQUIRE(fleet.IsReady());
    REQUIRE(fleet.openings["unreachable"] == 0);
  }
  // Guards against all data centres withdrawing at once.
  SECTION("all data centres are closed") {
    fleet.closed = {"a", "b", "c"};
    fleet.Run(seconds(5));
    REQUIRE(fleet.IsReady());
    fleet.Partition();
    fleet.Run(seconds(20));
    REQUIRE(fleet.IsReady());
    SECTION("and the instance restarts") {
      fleet.Restart();
      REQUIRE(fleet.Run(seconds(5), true) <= milliseconds(1500));
    }
  }
}

// Guards against actions on what was known before a suspension.
TEST_CASE("a paused instance uses no information from before the pause") {
  entry_with_neighbours fleet;
  fleet.RunUntilSettled();

  SECTION("it doesn't withdraw because it has heard nothing meanwhile") {
    fleet.has_callers = GENERATE(false, true);
    fleet.Pause(seconds(8), GENERATE(values<std::vector<std::string>>(
                                {{}, {"a"}, {"a", "b", "c"}})));
    REQUIRE(fleet.IsReady());
    fleet.Run(seconds(10));
    REQUIRE(fleet.readiness_changes == 0);
  }
  SECTION("it withdraws if the partition began during the pause") {
    fleet.Pause(seconds(8), kDataCentres);
    fleet.Partition();
    REQUIRE(fleet.Run(seconds(3), false) <= milliseconds(1600));
  }
  SECTION("a withdrawn one doesn't return because of updates in its buffer") {
    fleet.Partition();
    fleet.Run(seconds(3));
    fleet.Pause(seconds(8), kDataCentres);
    const int changes = fleet.readiness_changes;
    fleet.Run(seconds(20));
    REQUIRE(fleet.readiness_changes == changes);
    REQUIRE_FALSE(fleet.IsReady());
  }
  SECTION("a returning one starts its wait again") {
    fleet.Partition();
    fleet.Run(seconds(3));
    fleet.Heal();
    fleet.Run(milliseconds(2500));
    REQUIRE_FALSE(fleet.IsReady());
    fleet.Pause(seconds(8), kDataCentres);
    REQUIRE(fleet.Run(seconds(10), true) >= milliseconds(3000));
  }
}

// Guards against a restarted instance that is ready because it doesn't know yet
// what it can't reach.
TEST_CASE("an instance restarts during the partition") {
  entry_with_neighbours fleet;
  fleet.RunUntilSettled();
  fleet.Partition();
  fleet.Run(seconds(3));
  fleet.Restart();
  const int changes = fleet.readiness_changes;
  fleet.Run(seconds(10));
  REQUIRE(fleet.readiness_changes == changes);
  REQUIRE_FALSE(fleet.IsReady());
  fleet.Heal();
  REQUIRE(fleet.Run(seconds(10), true) <= milliseconds(4500));

  SECTION("without a partition it is ready as soon as it is synchronized") {
    fleet.Restart();
    REQUIRE(fleet.Run(seconds(5), true) <= milliseconds(50));
  }
}

// Guards against the loss of one kind of evidence hiding that of the other.
TEST_CASE("a partition cuts only one direction or kind of traffic") {
  entry_with_neighbours fleet;
  fleet.RunUntilSettled();

  SECTION("targets' answers are lost, those of control instances arrive") {
    fleet.targets_answer = entry_with_neighbours::IsOwn;
    REQUIRE(fleet.Run(seconds(5), false) <= milliseconds(2000));
    fleet.openings.clear();
    fleet.Run(seconds(2));
    REQUIRE(fleet.openings["opened"] <= 10);
    SECTION("it returns when an opening is answered") {
      fleet.Heal();
      REQUIRE(fleet.Run(seconds(10), true) <= milliseconds(3500));
    }
    SECTION("it returns without callers, as nothing else can show it") {
      fleet.has_callers = false;
      fleet.Heal();
      REQUIRE(fleet.Run(seconds(20), true) <= milliseconds(7500));
    }
  }
  SECTION("the answers of both are lost, packets to them arrive") {
    fleet.Partition();
    REQUIRE(fleet.Run(seconds(3), false) <= milliseconds(1000));
  }
}

// Guards against readiness that follows every change of the network.
TEST_CASE("a flapping partition changes the readiness rarely") {
  // After 3 and 6 s of contact it returns, the next time 12 s are needed.
  const auto [period, changes] =
      GENERATE(table<seconds, int>({{seconds(2), 1}, {seconds(8), 5}}));
  entry_with_neighbours fleet;
  fleet.RunUntilSettled();
  for (instant end = fleet.now() + seconds(80); fleet.now() < end;) {
    fleet.Partition();
    fleet.Run(period);
    fleet.Heal();
    fleet.Run(period);
  }
  REQUIRE(fleet.readiness_changes == changes);
  REQUIRE(fleet.Run(seconds(30), true) <= seconds(25));
}

TEST_CASE("unanswered openings are weighed by their number and targets") {
  withdrawal readiness({"a"});
  instant now{seconds(100)};
  followed_state state{.closed = {{"a"}}, .others = {}};
  data_centre_contact& other = state.others[{"b"}];
  other = {.has_controls = true, .has_targets = true, .last_update = now};
  const auto review = [&](milliseconds time) {
    std::optional<withdrawal_change> last;
    for (const instant end = now + time; now < end;) {
      now += milliseconds(50);
      if (auto change = readiness.Reduce(now, state)) last = change;
    }
    return last;
  };
  const auto fail = [&](std::uint32_t openings, std::uint32_t targets) {
    for (std::uint32_t i = 0; i < openings; ++i) {
      readiness.Reduce(now, opening_outcome{{"b"}, {1 + i % targets}, now});
    }
  };
  readiness.Reduce(now, state);
  REQUIRE_FALSE(readiness.IsWithdrawn());
  review(milliseconds(100));

  SECTION("lost packets and one crashed target don't hasten it") {
    const bool one_target = GENERATE(false, true);
    one_target ? fail(100, 1) : fail(3, 3);
    REQUIRE_FALSE(review(milliseconds(1350)));
    REQUIRE(review(milliseconds(100))->cause ==
            withdrawal_cause::kControlsSilent);
  }
  SECTION("several to several targets do, with the evidence") {
    fail(4, 3);
    REQUIRE_FALSE(review(milliseconds(600)));
    const auto change = review(milliseconds(50));
    REQUIRE(change->cause == withdrawal_cause::kControlsAndOpenings);
    REQUIRE(change->controls_silent == milliseconds(750));
    REQUIRE(change->unanswered_openings == 4);
    REQUIRE(change->unanswered_targets == 3);
    REQUIRE(readiness.counts().at(change->cause) == 1);
  }
  SECTION("an answered opening clears them") {
    fail(4, 3);
    readiness.Reduce(now, opening_outcome{{"b"}, {1}, now, true});
    REQUIRE_FALSE(review(milliseconds(1450)));
  }
  SECTION("a loss outlasts what is known about the lost data centre") {
    fail(4, 3);
    REQUIRE(review(milliseconds(700)));
    state.others.clear();
    REQUIRE_FALSE(review(seconds(100)));
    REQUIRE(readiness.IsWithdrawn());
    SECTION("unless it is closed as well") {
      state.closed.insert({"b"});
      REQUIRE(review(milliseconds(50))->cause == withdrawal_cause::kNotClosed);
    }
  }
  SECTION("openings of before a suspension don't count") {
    const instant sent = now;
    now += seconds(5);
    fail(100, 4);
    readiness.Reduce(now, state);
    // Read after the first review that follows the suspension.
    for (std::uint32_t tag = 1; tag <= 100; ++tag) {
      readiness.Reduce(now, opening_outcome{{"b"}, {tag}, sent});
    }
    REQUIRE_FALSE(review(milliseconds(1450)));
    REQUIRE(review(milliseconds(50))->unanswered_openings == 0);
  }
}

TEST_CASE("a suspension during the start isn't taken for contact") {
  withdrawal readiness({"a"});
  instant now{seconds(100)};
  followed_state state{.closed = {{"a"}}, .others = {}};
  data_centre_contact& other = state.others[{"b"}];
  other = {.has_controls = true, .has_targets = true};
  readiness.Reduce(now, state);
  now += seconds(5);
  readiness.Reduce(now, state);
  now += milliseconds(10);
  other.last_update = now;  // Waited in a buffer.
  for (int i = 0; i < 100; ++i) {
    readiness.Reduce(now, state);
    REQUIRE(readiness.IsWithdrawn());
    now += milliseconds(50);
  }
  REQUIRE(readiness.phase() == withdrawal_phase::kUnreachable);
}

}  // namespace
}  // namespace lavendertack
