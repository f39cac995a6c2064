// Random simulation of ownership, roster proposals and catch-up with crashes,
// suspended processes, network partitions and message loss. At any time at most
// one instance may act as the owner of a service in a data centre, and the
// epochs of a service's owners must increase.
#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "Distribution/catch_up.h"
#include "Ownership/ownership.h"
#include "Ownership/roster_proposer.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {
namespace {

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kSilenceTimeout{3000};
constexpr std::uint64_t kEvents = 100000;

const std::map<data_centre_name, std::set<instance_name>>& Instances() {
  static const std::map<data_centre_name, std::set<instance_name>> all{
      {{"north"}, {{"a"}, {"b"}}},
      {{"east"}, {{"c"}, {"d"}, {"e"}, {"f"}}},
      {{"south"}, {{"g"}}}};
  return all;
}
const std::set<instance_name>& Replicas() {
  static const std::set<instance_name> all{{"a"}, {"c"}, {"g"}};
  return all;
}
const std::set<service_name>& Services() {
  static const std::set<service_name> all{
      {"s1"}, {"s2"}, {"s3"}, {"s4"}, {"s5"}};
  return all;
}

// State of an instance from one start to its next crash.
struct process {
  process(const instance_name& name, const data_centre_name& data_centre,
          std::uint64_t incarnation, std::uint64_t seed)
      : owner({.self = name,
               .data_centre = data_centre,
               .incarnation = incarnation,
               .replicas = Replicas()}),
        proposer({.self = name,
                  .incarnation = incarnation,
                  .replicas = Replicas(),
                  .instances = Instances(),
                  .seed = seed}),
        progress({.self = name, .replicas = Replicas(), .nonce = incarnation}) {
  }

  roster_registry registry;
  log_index applied;
  ownership owner;
  roster_proposer proposer;
  catch_up progress;
  std::map<service_name, instant> drained_at;
  std::map<instance_name, instant> last_heard;
  std::set<instance_name> ready;
};

struct simulated_instance {
  data_centre_name data_centre;
  double clock_rate = 1;
  std::uint64_t last_incarnation = 0;
  bool frozen = false;
  std::vector<std::function<void()>> deferred;  // Events while frozen.
  std::unique_ptr<process> running;
  log_index stored_index;  // Last entry on the disk of a replica.
};

class ownership_simulation {
 public:
  explicit ownership_simulation(std::uint64_t seed) : random_(seed) {
    for (const auto& [data_centre, names] : Instances()) {
      for (const instance_name& name : names) {
        instances_[name].data_centre = data_centre;
        instances_[name].clock_rate =
            0.96 + 0.01 * static_cast<double>(Random(9));
        Start(name);
      }
    }
    queue_.ScheduleAfter(milliseconds(500), [this] { InjectFault(); });
  }

  void Run(std::uint64_t events) {
    while (events_ < events) REQUIRE(queue_.RunNext());
  }

  // Repairs all faults, runs for 40 s and returns how many services don't have
  // exactly one owner, over all data centres.
  std::size_t CountUnownedAfterRecovery() {
    recovering_ = true;
    blocked_.clear();
    loss_percent_ = 0;
    for (auto& [name, m] : instances_) {
      Unfreeze(name);
      if (!m.running) Start(name);
    }
    queue_.RunUntil(queue_.Now() + seconds(40));
    std::size_t unowned = 0;
    for (const auto& [data_centre, names] : Instances()) {
      for (const service_name& service : Services()) {
        std::size_t owners = 0;
        for (const auto& name : names)
          owners += IsActiveOwner(name, service) ? 1 : 0;
        unowned += owners == 1 ? 0 : 1;
      }
    }
    return unowned;
  }

  std::map<std::string, std::uint64_t> counts;

 private:
  // Uniformly distributed in [0, below).
  std::uint64_t Random(std::uint64_t below) {
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random_);
  }
  const instance_name& RandomInstance() {
    return std::next(instances_.begin(),
                     static_cast<std::ptrdiff_t>(Random(instances_.size())))
        ->first;
  }

  instant LocalTime(const simulated_instance& m) const {
    const auto elapsed =
        static_cast<double>(queue_.Now().time_since_epoch() / microseconds(1));
    return instant(seconds(1000) + microseconds(static_cast<std::int64_t>(
                                       elapsed * m.clock_rate)));
  }

  void Start(const instance_name& name) {
    simulated_instance& m = instances_.at(name);
    const std::uint64_t incarnation = ++m.last_incarnation;
    m.running =
        std::make_unique<process>(name, m.data_centre, incarnation, random_());
    if (incarnation > 1 && Replicas().contains(name)) {
      m.running->progress.CountOwnState();
    }
    ApplyUpTo(name, m.stored_index);
    ScheduleTick(name, incarnation);
  }

  // Runs `action` in the given incarnation, after the freeze if it is frozen.
  // Does nothing if that incarnation has ended.
  void RunOrDefer(const instance_name& name, std::uint64_t incarnation,
                  const std::function<void()>& action) {
    simulated_instance& m = instances_.at(name);
    if (!m.running || m.last_incarnation != incarnation) return;
    if (m.frozen) {
      m.deferred.push_back(
          [=, this] { RunOrDefer(name, incarnation, action); });
      return;
    }
    ++events_;
    action();
    if (m.running) CheckSingleOwner(name);
  }

  void ScheduleTick(const instance_name& name, std::uint64_t incarnation) {
    queue_.ScheduleAfter(kTickInterval, [=, this] {
      RunOrDefer(name, incarnation, [=, this] {
        HandleTick(name);
        ScheduleTick(name, incarnation);
      });
    });
  }

  void HandleTick(const instance_name& name) {
    simulated_instance& m = instances_.at(name);
    process& p = *m.running;
    const instant now = LocalTime(m);
    for (const auto& replica : p.progress.ReplicasToQuery(now))
      QueryIndex(name, replica);
    RunOwner(name, ownership_tick{});
    if (Random(4) == 0) SendHeartbeat(name);
    if (!Replicas().contains(name) || !IsCurrent(p)) return;
    const roster_proposer_view view{
        .rosters = p.registry, .status_of = [&](const instance_name& other) {
          return StatusOf(p, name, other, now);
        }};
    for (roster_proposer_effect& effect : p.proposer.Tick(now, view)) {
      if (auto* send = std::get_if<send_ownership_message>(&effect)) {
        Send(name, *send);
      } else {
        Propose(name, std::get<propose_roster>(effect).change);
      }
    }
  }

  static bool IsCurrent(const process& p) {
    return p.progress.IsCurrent(p.applied);
  }

  static instance_status StatusOf(const process& p, const instance_name& self,
                                  const instance_name& other, instant now) {
    if (self == other) return instance_status::kReady;
    auto it = p.last_heard.find(other);
    if (it == p.last_heard.end()) return instance_status::kUndetermined;
    if (now - it->second >= kSilenceTimeout) return instance_status::kSilent;
    return p.ready.contains(other) ? instance_status::kReady
                                   : instance_status::kUndetermined;
  }

  void RunOwner(const instance_name& name, const ownership_event& event) {
    simulated_instance& m = instances_.at(name);
    process& p = *m.running;
    const instant now = LocalTime(m);
    const ownership_view view{.rosters = p.registry,
                              .services = Services(),
                              .current = IsCurrent(p),
                              .drained = [&](const service_name& service) {
                                return p.drained_at[service] <= now;
                              }};
    for (ownership_effect& effect : p.owner.Reduce(now, view, event)) {
      if (auto* send = std::get_if<send_ownership_message>(&effect)) {
        Send(name, *send);
      } else if (auto* started = std::get_if<ownership_acquired>(&effect)) {
        auto& newest = epochs_[{m.data_centre, started->service}];
        if (started->epoch <= newest) FAIL("an owner epoch did not increase");
        newest = started->epoch;
        ++counts["tenures"];
      } else if (auto* closing = std::get_if<ownership_draining>(&effect)) {
        p.drained_at[closing->service] = now + milliseconds(Random(4000));
        ++counts["hand-overs"];
      }
    }
  }

  bool IsActiveOwner(const instance_name& name,
                     const service_name& service) const {
    const simulated_instance& m = instances_.at(name);
    return m.running && m.running->owner.IsActiveOwner(LocalTime(m), service);
  }

  void CheckSingleOwner(const instance_name& name) {
    for (const service_name& service : Services()) {
      if (!IsActiveOwner(name, service)) continue;
      for (const auto& other :
           Instances().at(instances_.at(name).data_centre)) {
        if (other == name || !IsActiveOwner(other, service)) continue;
        FAIL(name << " and " << other << " both act as owner of " << service);
      }
    }
  }

  void Deliver(const instance_name& from, const instance_name& to,
               const std::function<void()>& action) {
    if (blocked_.contains({from, to}) || Random(100) < loss_percent_) return;
    const std::uint64_t copies = Random(50) == 0 ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i) {
      const auto delay = Random(100) == 0 ? microseconds(Random(3000000))
                                          : microseconds(500 + Random(9000));
      queue_.ScheduleAfter(delay, [=, this] {
        RunOrDefer(to, instances_.at(to).last_incarnation, action);
      });
    }
  }

  void Send(const instance_name& from, const send_ownership_message& send) {
    Deliver(from, send.to, [=, this] {
      if (send.message.has_answer()) {
        instances_.at(send.to).running->proposer.Receive(from, send.message);
      }
      RunOwner(send.to, ownership_received{from, send.message});
    });
  }

  void QueryIndex(const instance_name& from, const instance_name& replica) {
    const std::uint64_t nonce = instances_.at(from).last_incarnation;
    Deliver(from, replica, [=, this] {
      const log_index applied = instances_.at(replica).running->applied;
      Deliver(replica, from, [=, this] {
        instances_.at(from).running->progress.HandleIndexReport(replica, nonce,
                                                                applied);
      });
    });
  }

  // Sends heartbeats to all others, which also carry missing log entries.
  void SendHeartbeat(const instance_name& name) {
    for (const auto& [to, m] : instances_) {
      if (to == name) continue;
      const process& p = *instances_.at(name).running;
      const bool current = IsCurrent(p);
      const log_index applied = p.applied;
      Deliver(name, to, [=, this, to = to] {
        simulated_instance& receiver = instances_.at(to);
        receiver.running->last_heard[name] = LocalTime(receiver);
        if (current) receiver.running->ready.insert(name);
        if (!current) receiver.running->ready.erase(name);
        ApplyUpTo(to, applied);
      });
    }
  }

  void ApplyUpTo(const instance_name& name, log_index last) {
    simulated_instance& m = instances_.at(name);
    process& p = *m.running;
    while (p.applied < last) {
      ++p.applied.value;
      p.registry.Apply(p.applied, log_[p.applied.value - 1]);
    }
    if (Replicas().contains(name)) m.stored_index = p.applied;
  }

  // Replaces the agreement protocol: an entry is chosen if a majority of the
  // replicas is reachable and the proposer has applied all chosen entries.
  void Propose(const instance_name& name, const roster_change& change) {
    std::size_t reached = 0;
    for (const instance_name& other : Replicas()) {
      const simulated_instance& m = instances_.at(other);
      reached += m.running && !m.frozen && !blocked_.contains({name, other}) &&
                 !blocked_.contains({other, name});
    }
    process& p = *instances_.at(name).running;
    if (reached <= Replicas().size() / 2 || p.applied.value != log_.size()) {
      return;
    }
    if (!p.registry.CanApply(change)) return;
    log_.push_back(change);
    ++counts["rosters"];
    ApplyUpTo(name, log_index{log_.size()});
  }

  void Unfreeze(const instance_name& name) {
    simulated_instance& m = instances_.at(name);
    m.frozen = false;
    for (auto& action : std::exchange(m.deferred, {})) {
      queue_.ScheduleAfter(microseconds(0), std::move(action));
    }
  }

  void InjectFault() {
    if (recovering_) return;
    const instance_name name = RandomInstance();
    simulated_instance& m = instances_.at(name);
    const milliseconds duration(100 + Random(9000));
    switch (Random(7)) {
      case 0:
        ++counts["kills"];
        m.running.reset();
        m.deferred.clear();
        m.frozen = false;
        queue_.ScheduleAfter(duration, [=, this] {
          if (!instances_.at(name).running) Start(name);
        });
        break;
      case 1:
        ++counts["freezes"];
        m.frozen = true;
        queue_.ScheduleAfter(duration, [=, this] { Unfreeze(name); });
        break;
      case 2:
        ++counts["one-way link failures"];
        BlockLinks({{name, RandomInstance()}}, duration);
        break;
      case 3:
        ++counts["data centres isolated"];
        Isolate(Instances().at(m.data_centre), duration);
        break;
      case 4:
        ++counts["instances isolated"];
        Isolate({name}, duration);
        break;
      case 5:
        ++counts["pairs isolated"];
        Isolate({name, RandomInstance()}, duration);
        break;
      default:
        loss_percent_ = Random(3) == 0 ? Random(30) : 0;
        break;
    }
    queue_.ScheduleAfter(milliseconds(Random(4000)), [this] { InjectFault(); });
  }

  void Isolate(const std::set<instance_name>& isolated, milliseconds duration) {
    std::set<std::pair<instance_name, instance_name>> links;
    for (const auto& [other, m] : instances_) {
      if (isolated.contains(other)) continue;
      for (const instance_name& name : isolated) {
        links.insert({name, other});
        links.insert({other, name});
      }
    }
    BlockLinks(links, duration);
  }

  void BlockLinks(
      const std::set<std::pair<instance_name, instance_name>>& links,
      milliseconds duration) {
    blocked_.insert(links.begin(), links.end());
    queue_.ScheduleAfter(duration, [=, this] {
      for (const auto& link : links) blocked_.erase(link);
    });
  }

  std::mt19937_64 random_;
  event_queue queue_;
  std::map<instance_name, simulated_instance> instances_;
  std::set<std::pair<instance_name, instance_name>> blocked_;
  std::uint64_t loss_percent_ = 0;
  std::uint64_t events_ = 0;
  bool recovering_ = false;
  std::vector<roster_change> log_;
  std::map<std::pair<data_centre_name, service_name>, owner_epoch> epochs_;
};

TEST_CASE(
    "at most one instance acts as owner at any time under random faults") {
  std::map<std::string, std::uint64_t> total;
  ForEachSeed([&](std::uint64_t seed) {
    INFO("seed " << seed);
    ownership_simulation simulation(seed);
    simulation.Run(kEvents);
    REQUIRE(simulation.CountUnownedAfterRecovery() == 0);
    for (const auto& [what, count] : simulation.counts) total[what] += count;
  });
  std::string text;
  for (const auto& [what, count] : total) {
    text += what + " " + std::to_string(count) + ", ";
    REQUIRE(count > 0);
  }
  WARN(text);
}

}  // namespace
}  // namespace lavendertack::testing
