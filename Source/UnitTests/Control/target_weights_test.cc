// Replays targets that are slow or fail through entry and control instances in
// virtual time, with simulated callers and targets.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "Common/event_queue.h"
#include "Control/control_instance.h"
#include "Entry/entry_instance.h"

namespace lavendertack {
namespace {

const ipv4_endpoint kRoute{{0xc6120001}, {443}};
const service_name kDesk{"desk"};
constexpr std::size_t kTargets = 20;  // Half of them in each data centre.
constexpr std::size_t kEntries = 4;
constexpr std::uint32_t kCallers = 200;
constexpr milliseconds kServiceTime{15};
constexpr milliseconds kReportInterval{1000};

// How a target answers, and which callers' packets reach it.
struct target_behaviour {
  int slow_factor = 1;
  std::uint32_t answer_bytes = 1000;
  bool answers = true;
  std::set<data_centre_name> unreachable_from;
};

// Message filter between instances; returns false for a lost message.
using message_filter = std::function<bool(wire::fleet_message*)>;

class weighted_fleet {
 public:
  explicit weighted_fleet(bool observe_targets, std::uint64_t seed = 1)
      : observes_(observe_targets), random_(seed) {
    for (std::size_t i = 0; i < 2; ++i) StartControl(i);
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries.push_back(std::make_unique<entry_instance>(
          entry_settings{.self = {"10.1.0." + std::to_string(i + 1)},
                         .data_centre = DataCentre(i),
                         .seeds = {Control(0), Control(1)},
                         .seed = seed * kEntries + i,
                         .stop_within = milliseconds(6000),
                         .observe_targets = observe_targets}));
    }
    for (std::size_t i = 0; i < kTargets; ++i) ReportTarget(i);
    Tick();
    queue.RunUntil(Now() + milliseconds(2000));
    Dispatch(0, operator_order_received{{1}, publish_manifest{{1}, "1"}});
    queue.RunUntil(Now() + milliseconds(3000));
    REQUIRE(entries[0]->IsReady(Now()));
    NextRequest();
    Run(seconds(5));
  }

  instant Now() const { return queue.Now(); }
  void Run(milliseconds time) { queue.RunUntil(Now() + time); }

  // Share of the new flows in `time` that go to the targets below `count`.
  double ShareOfFirst(std::size_t count, milliseconds time) {
    flows.assign(kTargets, 0);
    Run(time);
    double first = 0;
    double all = 0;
    for (std::size_t i = 0; i < kTargets; ++i) {
      all += flows[i];
      if (i < count) first += flows[i];
    }
    return first / all;
  }

  percent WeightOf(std::size_t target) const {
    return entries[0]
        ->follower()
        .state()
        .targets.Find(Report(target).id)
        ->report.weight;
  }
  std::size_t ReducedCount() const {
    std::size_t reduced = 0;
    for (std::size_t i = 0; i < kTargets; ++i) {
      if (WeightOf(i) < kFullWeight) ++reduced;
    }
    return reduced;
  }

  void StartControl(std::size_t i) {
    controls[i] = std::make_unique<control_instance>(
        control_settings{.self = Control(i),
                         .data_centre = DataCentre(i),
                         .seeds = {Control(0), Control(1)},
                         .bootstrap_voters = {Control(0)},
                         .new_storage_id = {i + 1},
                         .seed = i + 1 + restarts_++,
                         .tolerated_losses = 0,
                         .heartbeat_interval = kReportInterval,
                         .limits = {.kept_entries = 24,
                                    .rewrite_bytes = 1 << 20,
                                    .snapshot_interval = seconds(1)},
                         .observe_targets = observes_},
        [](const std::string&) {
          manifest published{.version = {1}};
          published.routes[kRoute] = {.shares = {{kDesk, 1}}, .priority = 1};
          published.services.push_back({.name = kDesk});
          return published;
        });
  }

  // The target's process restarts with the same id.
  void RestartTarget(std::size_t i) { started_ms[i] += 1000; }

  target_report Report(std::size_t i) const {
    return {.id = {"i-" + std::to_string(i)},
            .version = {started_ms[i], report_number_},
            .service = kDesk,
            .address = {{static_cast<std::uint32_t>(0x0a400000 + i)}, {8080}},
            .data_centre = DataCentre(i),
            .slots = 2};
  }

  event_queue queue;
  std::array<std::unique_ptr<control_instance>, 2> controls;
  std::vector<std::unique_ptr<entry_instance>> entries;
  std::array<target_behaviour, kTargets> behaviour;
  std::vector<std::uint64_t> started_ms =
      std::vector<std::uint64_t>(kTargets, 1000);
  std::vector<int> flows = std::vector<int>(kTargets, 0);
  std::vector<weight_change> changes;
  message_filter to_control = [](wire::fleet_message*) { return true; };
  message_filter to_entry = [](wire::fleet_message*) { return true; };
  std::function<microseconds()> caller_delay = [] { return microseconds(500); };
  milliseconds request_interval{3};
  std::optional<std::size_t> silent;  // A target that sends no reports.
  std::optional<std::size_t> reports_to_second;  // Instead of the first.
  double lost_share = 0;         // Of answers; callers get them 200 ms later.
  double short_class_share = 0;  // Answers that are short at every target.

 private:
  static instance_name Control(std::size_t i) {
    return {"10.0.0." + std::to_string(i + 1)};
  }
  static data_centre_name DataCentre(std::size_t i) {
    return {i % 2 == 0 ? "a" : "b"};
  }

  void ReportTarget(std::size_t i) {
    ++report_number_;
    // The last targets report to the second control instance.
    const bool to_second = i >= kTargets / 2 || reports_to_second == i;
    if (silent != i) {
      Dispatch(to_second ? 1 : 0, target_report_received{Report(i)});
    }
    queue.ScheduleAfter(kReportInterval, [this, i] { ReportTarget(i); });
  }

  void Tick() {
    for (std::size_t i = 0; i < 2; ++i) Dispatch(i, control_tick{});
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries[i]->Tick(Now());
      for (follow_request& request : entries[i]->Requests(Now())) {
        if (!to_control(&request.message)) continue;
        DeliverToControl(request.to, {"entry " + std::to_string(i)},
                         request.message);
      }
    }
    queue.ScheduleAfter(milliseconds(25), [this] { Tick(); });
  }

  void DeliverToControl(const instance_name& to, const link_id& link,
                        const wire::fleet_message& message) {
    const std::size_t i = to == Control(0) ? 0 : 1;
    queue.ScheduleAfter(milliseconds(1), [this, i, link, message] {
      Dispatch(i, control_message_received{link, message});
    });
  }

  void Dispatch(std::size_t i, const control_event& event) {
    for (control_effect& effect : controls[i]->Reduce(Now(), event)) {
      if (auto* send = std::get_if<send_to_control>(&effect)) {
        DeliverToControl(send->to, {"control " + std::to_string(i)},
                         send->message);
      } else if (auto* reply = std::get_if<send_to_follower>(&effect)) {
        const std::size_t to = reply->to.value.back() - '0';
        if (reply->to.value.starts_with("control")) {
          DeliverToControl(Control(to), {}, reply->message);
        } else if (to_entry(&reply->message)) {
          entries[to]->Receive(Now(), reply->message);
        }
      } else if (auto* change = std::get_if<target_weight_changed>(&effect)) {
        changes.push_back(change->change);
      }
    }
  }

  bool Draw(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  // One request on a flow of its own.
  struct call {
    std::size_t entry = 0;
    std::size_t target = 0;
    flow_packet packet;
    microseconds delay{0};  // Between the caller and the instance.
  };

  void NextRequest() {
    queue.ScheduleAfter(request_interval, [this] { NextRequest(); });
    call opened{.entry = random_() % kEntries,
                .packet = {.flow = {{{0x64400000 + static_cast<std::uint32_t>(
                                                       random_() % kCallers)},
                                     {next_port_++}},
                                    kRoute},
                           .opens = true,
                           .sequence = 1},
                .delay = caller_delay()};
    const auto decision = entries[opened.entry]->Route(Now(), opened.packet);
    const auto* forward = std::get_if<forward_to_target>(&decision);
    if (forward == nullptr) return;
    opened.target = std::stoul(forward->target->report.id.value.substr(2));
    ++flows[opened.target];
    if (!IsReachable(opened)) return;
    opened.packet.opens = false;
    opened.packet.tag = forward->target->tag;
    opened.packet.sequence = 2;
    opened.packet.acknowledged = 1;
    queue.ScheduleAfter(2 * opened.delay, [this, opened] {
      entries[opened.entry]->Route(Now(), opened.packet);
      SendRequest(opened);
    });
  }

  bool IsReachable(const call& made) const {
    return !behaviour[made.target].unreachable_from.contains(
        DataCentre(made.entry));
  }

  void SendRequest(const call& made) {
    flow_packet request = made.packet;
    request.data_bytes = 100;
    entries[made.entry]->Route(Now(), request);
    const target_behaviour& target = behaviour[made.target];
    const auto service_time = microseconds(kServiceTime) * target.slow_factor +
                              microseconds(random_() % 5000) + 2 * made.delay;
    flow_packet last = made.packet;
    last.sequence += 100;
    if (!target.answers || !IsReachable(made)) {
      // The caller retransmits the request twice and then leaves.
      for (const milliseconds after : {milliseconds(200), milliseconds(600)}) {
        queue.ScheduleAfter(after, [this, made, request] {
          entries[made.entry]->Route(Now(), request);
        });
      }
      last.resets = true;
      queue.ScheduleAfter(milliseconds(1000), [this, made, last] {
        entries[made.entry]->Route(Now(), last);
      });
      return;
    }
    last.acknowledged += Draw(short_class_share) ? 100 : target.answer_bytes;
    const bool is_lost = Draw(lost_share);
    if (is_lost) {
      queue.ScheduleAfter(milliseconds(200), [this, made, request] {
        entries[made.entry]->Route(Now(), request);
      });
    }
    queue.ScheduleAfter(
        service_time + (is_lost ? milliseconds(200) : milliseconds(0)),
        [this, made, last] { entries[made.entry]->Route(Now(), last); });
  }

  bool observes_;
  std::uint64_t restarts_ = 0;
  std::uint64_t report_number_ = 0;
  std::uint16_t next_port_ = 1024;
  std::mt19937_64 random_;
};

constexpr std::size_t kBad = 6;  // 30 percent of the targets.
// Share of the new flows that 30 percent of the targets may get at the weight
// of a factor of 8 and at the probing weight, with a margin for chance.
constexpr double kMaxSlowShare = 0.08;
constexpr double kMaxFailingShare = 0.03;

// Guards against targets that report to be ready and get their full share of
// the new flows although callers see that they are slow or fail.
TEST_CASE("targets that are slow or fail get few new flows") {
  const bool observes = GENERATE(true, false);
  weighted_fleet fleet(observes);
  REQUIRE(fleet.changes.empty());

  SECTION("30 percent are slow by a factor of 8") {
    for (std::size_t i = 0; i < kBad; ++i) fleet.behaviour[i].slow_factor = 8;
    fleet.Run(seconds(5));
    const double share = fleet.ShareOfFirst(kBad, seconds(3));
    if (!observes) {
      REQUIRE(share > 0.2);
      return;
    }
    REQUIRE(share < kMaxSlowShare);
    REQUIRE(fleet.ReducedCount() == kBad);
    SECTION("and get their share again when they are as fast as the others") {
      for (std::size_t i = 0; i < kBad; ++i) fleet.behaviour[i].slow_factor = 1;
      fleet.Run(seconds(40));
      REQUIRE(fleet.ReducedCount() == 0);
      REQUIRE(fleet.ShareOfFirst(kBad, seconds(3)) > 0.2);
    }
    SECTION("and keep their low weight while they report to be ready") {
      fleet.Run(seconds(20));
      REQUIRE(fleet.ReducedCount() == kBad);
    }
  }
  SECTION("30 percent answer with errors") {
    for (std::size_t i = 0; i < kBad; ++i) fleet.behaviour[i].answer_bytes = 90;
    fleet.Run(seconds(5));
    const double share = fleet.ShareOfFirst(kBad, seconds(3));
    if (!observes) {
      REQUIRE(share > 0.2);
      return;
    }
    REQUIRE(share < kMaxFailingShare);
    REQUIRE(fleet.WeightOf(0) == percent{2});
    SECTION("and one that doesn't report for some seconds keeps its weight") {
      fleet.silent = 0;
      fleet.Run(seconds(4));
      fleet.silent.reset();
      fleet.Run(milliseconds(1500));
      REQUIRE(fleet.WeightOf(0) == percent{2});
    }
    SECTION("and one that changes over to another control instance, too") {
      fleet.reports_to_second = 0;
      fleet.Run(milliseconds(1500));
      REQUIRE(fleet.WeightOf(0) == percent{2});
      fleet.Run(seconds(5));
      REQUIRE(fleet.WeightOf(0) == percent{2});
    }
    SECTION("and a restarted one starts without the finding") {
      fleet.behaviour[0].answer_bytes = 1000;
      fleet.RestartTarget(0);
      fleet.Run(milliseconds(2500));
      REQUIRE(fleet.WeightOf(0) == kFullWeight);
      REQUIRE(fleet.WeightOf(1) == percent{2});
    }
  }
  SECTION("30 percent accept requests and don't answer them") {
    for (std::size_t i = 0; i < kBad; ++i) fleet.behaviour[i].answers = false;
    fleet.Run(seconds(6));
    const double share = fleet.ShareOfFirst(kBad, seconds(3));
    if (!observes) {
      REQUIRE(share > 0.2);
      return;
    }
    REQUIRE(share < kMaxFailingShare);
  }
}

// Guards against taking capacity from a service because of something that isn't
// the fault of its targets.
TEST_CASE("targets aren't blamed for what isn't their fault") {
  weighted_fleet fleet(true, GENERATE(range(1U, 21U)));

  SECTION("lost packets") { fleet.lost_share = 0.1; }
  SECTION("some callers with slow links") {
    fleet.caller_delay = [n = 0]() mutable {
      return ++n % 10 == 0 ? microseconds(100'000) : microseconds(500);
    };
  }
  SECTION("a partition between one data centre and a target") {
    fleet.behaviour[0].unreachable_from = {{"b"}};
    fleet.behaviour[1].unreachable_from = {{"a"}};
  }
  SECTION("a class with short answers") { fleet.short_class_share = 0.3; }
  SECTION("too few requests") {
    fleet.request_interval = milliseconds(200);
    fleet.behaviour[0].slow_factor = 8;
    fleet.behaviour[1].answer_bytes = 90;
  }
  fleet.Run(seconds(20));
  for (const weight_change& change : fleet.changes) {
    UNSCOPED_INFO(change.id << " " << ToString(change.finding) << " of "
                            << change.requests << " requests " << change.slow
                            << " slow, " << change.failed << " failed, usual "
                            << change.usual_share);
  }
  REQUIRE(fleet.changes.empty());
}

// Guards against a service that loses most of its capacity.
TEST_CASE("at most 0.4 of the slots of a service are reduced") {
  weighted_fleet fleet(true);
  for (std::size_t i = 0; i < 9; ++i) fleet.behaviour[i].slow_factor = 8;
  fleet.Run(seconds(10));
  REQUIRE(fleet.ReducedCount() <= 8);
  REQUIRE(fleet.ReducedCount() >= 7);
}

TEST_CASE("findings survive failures of the instances") {
  weighted_fleet fleet(true);

  SECTION("half of the reports are lost") {
    fleet.to_control = [random = std::mt19937_64(7)](auto*) mutable {
      return random() % 2 == 0;
    };
    for (std::size_t i = 0; i < kBad; ++i) fleet.behaviour[i].answer_bytes = 90;
    fleet.Run(seconds(8));
    REQUIRE(fleet.ShareOfFirst(kBad, seconds(3)) < kMaxFailingShare);
  }
  SECTION("a control instance restarts") {
    for (std::size_t i = 0; i < kBad; ++i) fleet.behaviour[i].answer_bytes = 90;
    fleet.Run(seconds(5));
    fleet.StartControl(1);
    fleet.Run(seconds(6));
    REQUIRE(fleet.ShareOfFirst(kBad, seconds(3)) < kMaxFailingShare);
  }
  SECTION("entry instances of an older build report and read nothing") {
    fleet.to_control = [](wire::fleet_message* message) {
      message->mutable_follow()->clear_outcomes();
      message->mutable_follow()->clear_outcome_totals();
      return true;
    };
    fleet.to_entry = [](wire::fleet_message* message) {
      for (auto& record : *message->mutable_update()->mutable_targets()) {
        record.clear_weight_percent();
      }
      return true;
    };
    for (std::size_t i = 0; i < kBad; ++i) fleet.behaviour[i].answer_bytes = 90;
    fleet.Run(seconds(8));
    REQUIRE(fleet.changes.empty());
    REQUIRE(fleet.ShareOfFirst(kBad, seconds(3)) > 0.2);
  }
}

// Guards against a target that recovers as soon as few requests reach it, and
// takes its full share each time before it fails again.
TEST_CASE("a flapping target needs longer to recover each time") {
  weighted_fleet fleet(true);
  std::vector<milliseconds> recoveries;
  for (int round = 0; round < 3; ++round) {
    fleet.behaviour[0].slow_factor = 8;
    fleet.Run(seconds(5));
    REQUIRE(fleet.WeightOf(0) < kFullWeight);
    fleet.behaviour[0].slow_factor = 1;
    const instant fast_since = fleet.Now();
    while (fleet.WeightOf(0) < kFullWeight &&
           fleet.Now() - fast_since < seconds(90)) {
      fleet.Run(milliseconds(500));
    }
    recoveries.push_back(
        std::chrono::duration_cast<milliseconds>(fleet.Now() - fast_since));
  }
  INFO(recoveries[0].count()
       << " " << recoveries[1].count() << " " << recoveries[2].count());
  REQUIRE(recoveries[0] < seconds(30));
  REQUIRE(recoveries[2] > recoveries[0]);
}

}  // namespace
}  // namespace lavendertack
