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
  static const std::map<data_centre_name, std::set<instance_name>> instances{
      {{"north"}, {{"a"}, {"b"}}},
      {{"east"}, {{"c"}, {"d"}, {"e"}, {"f"}}},
      {{"south"}, {{"g"}}}};
  return instances;
}
const std::set<instance_name>& Replicas() {
  static const std::set<instance_name> replicas{{"a"}, {"c"}, {"g"}};
  return replicas;
}
const std::set<service_name>& Services() {
  static const std::set<service_name> services{
      {"s1"}, {"s2"}, {"s3"}, {"s4"}, {"s5"}};
  return services;
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
  log_index applied;  // Last log entry applied.
  ownership owner;
  roster_proposer proposer;
  catch_up progress;
  // Local time at which the last request of a draining service ends.
  std::map<service_name, instant> drained_at;
  // Local time of the latest heartbeat of each instance.
  std::map<instance_name, instant> last_heartbeat;
  // Instances whose latest heartbeat reported that they have caught up.
  std::set<instance_name> caught_up;
};

struct simulated_instance {
  data_centre_name data_centre;
  double clock_rate = 1;  // Local time per simulated time.
  std::uint64_t last_incarnation = 0;
  bool frozen = false;                          // The process is suspended.
  std::vector<std::function<void()>> deferred;  // Events while frozen.
  std::unique_ptr<process> running;             // Null after a crash.
  log_index stored_index;  // Last entry on the disk of a replica.
};

class ownership_simulation {
 public:
  explicit ownership_simulation(std::uint64_t seed) : random_(seed) {
    for (const auto& [data_centre, names] : Instances()) {
      for (const instance_name& name : names) {
        instances_[name].data_centre = data_centre;
        // 0.96 to 1.04; kFenceWait allows clocks to differ by 10 %.
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
    for (auto& [name, instance] : instances_) {
      Unfreeze(name);
      if (!instance.running) Start(name);
    }
    queue_.RunUntil(queue_.Now() + seconds(40));
    std::size_t unowned = 0;
    for (const auto& [data_centre, names] : Instances()) {
      for (const service_name& service : Services()) {
        std::size_t owners = 0;
        for (const auto& name : names) {
          owners += IsActiveOwner(name, service) ? 1 : 0;
        }
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

  instant LocalTime(const simulated_instance& instance) const {
    const auto elapsed =
        static_cast<double>(queue_.Now().time_since_epoch() / microseconds(1));
    return instant(seconds(1000) + microseconds(static_cast<std::int64_t>(
                                       elapsed * instance.clock_rate)));
  }

  void Start(const instance_name& name) {
    simulated_instance& instance = instances_.at(name);
    const std::uint64_t incarnation = ++instance.last_incarnation;
    instance.running = std::make_unique<process>(name, instance.data_centre,
                                                 incarnation, random_());
    if (incarnation > 1 && Replicas().contains(name)) {
      instance.running->progress.CountOwnState();
    }
    ApplyUpTo(name, instance.stored_index);
    ScheduleTick(name, incarnation);
  }

  // Runs `action` on an instance. Defers the action while the instance is
  // frozen, and drops it if the given incarnation has ended.
  void RunOrDefer(const instance_name& name, std::uint64_t incarnation,
                  const std::function<void()>& action) {
    simulated_instance& instance = instances_.at(name);
    if (!instance.running || instance.last_incarnation != incarnation) return;
    if (instance.frozen) {
      instance.deferred.push_back(
          [=, this] { RunOrDefer(name, incarnation, action); });
      return;
    }
    ++events_;
    action();
    if (instance.running) CheckSingleOwner(name);
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
    simulated_instance& instance = instances_.at(name);
    process& p = *instance.running;
    const instant now = LocalTime(instance);
    for (const auto& replica : p.progress.ReplicasToQuery(now)) {
      QueryIndex(name, replica);
    }
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
    auto it = p.last_heartbeat.find(other);
    if (it == p.last_heartbeat.end()) return instance_status::kUndetermined;
    if (now - it->second >= kSilenceTimeout) return instance_status::kSilent;
    return p.caught_up.contains(other) ? instance_status::kReady
                                       : instance_status::kUndetermined;
  }

  void RunOwner(const instance_name& name, const ownership_event& event) {
    simulated_instance& instance = instances_.at(name);
    process& p = *instance.running;
    const instant now = LocalTime(instance);
    const ownership_view view{.rosters = p.registry,
                              .services = Services(),
                              .current = IsCurrent(p),
                              .drained = [&](const service_name& service) {
                                return p.drained_at[service] <= now;
                              }};
    for (ownership_effect& effect : p.owner.Reduce(now, view, event)) {
      if (auto* send = std::get_if<send_ownership_message>(&effect)) {
        Send(name, *send);
      } else if (auto* acquired = std::get_if<ownership_acquired>(&effect)) {
        auto& newest = epochs_[{instance.data_centre, acquired->service}];
        if (acquired->epoch <= newest) FAIL("an owner epoch did not increase");
        newest = acquired->epoch;
        ++counts["tenures"];
      } else if (auto* draining = std::get_if<ownership_draining>(&effect)) {
        p.drained_at[draining->service] = now + milliseconds(Random(4000));
        ++counts["hand-overs"];
      }
    }
  }

  bool IsActiveOwner(const instance_name& name,
                     const service_name& service) const {
    const simulated_instance& instance = instances_.at(name);
    return instance.running &&
           instance.running->owner.IsActiveOwner(LocalTime(instance), service);
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

  // Sends a heartbeat to each other instance. It also carries the log entries
  // that the receiver hasn't applied.
  void SendHeartbeat(const instance_name& name) {
    for (const auto& [to, instance] : instances_) {
      if (to == name) continue;
      const process& p = *instances_.at(name).running;
      const bool current = IsCurrent(p);
      const log_index applied = p.applied;
      Deliver(name, to, [=, this, to = to] {
        simulated_instance& receiver = instances_.at(to);
        receiver.running->last_heartbeat[name] = LocalTime(receiver);
        if (current) receiver.running->caught_up.insert(name);
        if (!current) receiver.running->caught_up.erase(name);
        ApplyUpTo(to, applied);
      });
    }
  }

  void ApplyUpTo(const instance_name& name, log_index last) {
    simulated_instance& instance = instances_.at(name);
    process& p = *instance.running;
    while (p.applied < last) {
      ++p.applied.value;
      p.registry.Apply(p.applied, log_[p.applied.value - 1]);
    }
    if (Replicas().contains(name)) instance.stored_index = p.applied;
  }

  // Simulates the agreement protocol: an entry is chosen if a majority of the
  // replicas is reachable and the proposer has applied all chosen entries.
  void Propose(const instance_name& name, const roster_change& change) {
    std::size_t reached = 0;
    for (const instance_name& other : Replicas()) {
      const simulated_instance& instance = instances_.at(other);
      reached += instance.running && !instance.frozen &&
                 !blocked_.contains({name, other}) &&
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
    simulated_instance& instance = instances_.at(name);
    instance.frozen = false;
    for (auto& action : std::exchange(instance.deferred, {})) {
      queue_.ScheduleAfter(microseconds(0), std::move(action));
    }
  }

  void InjectFault() {
    if (recovering_) return;
    const instance_name name = RandomInstance();
    simulated_instance& instance = instances_.at(name);
    const milliseconds duration(100 + Random(9000));
    switch (Random(7)) {
      case 0:
        ++counts["kills"];
        instance.running.reset();
        instance.deferred.clear();
        instance.frozen = false;
        queue_.ScheduleAfter(duration, [=, this] {
          if (!instances_.at(name).running) Start(name);
        });
        break;
      case 1:
        ++counts["freezes"];
        instance.frozen = true;
        queue_.ScheduleAfter(duration, [=, this] { Unfreeze(name); });
        break;
      case 2:
        ++counts["one-way link failures"];
        BlockLinks({{name, RandomInstance()}}, duration);
        break;
      case 3:
        ++counts["data centres isolated"];
        Isolate(Instances().at(instance.data_centre), duration);
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
    for (const auto& [other, instance] : instances_) {
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
  // Links that deliver no messages, as sender and receiver.
  std::set<std::pair<instance_name, instance_name>> blocked_;
  std::uint64_t loss_percent_ = 0;
  std::uint64_t events_ = 0;
  bool recovering_ = false;
  std::vector<roster_change> log_;  // The agreed log; index 1 is first.
  // Latest epoch of an owner of each service.
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
    for (const auto& [name, count] : simulation.counts) total[name] += count;
  });
  std::string text;
  for (const auto& [name, count] : total) {
    text += name + " " + std::to_string(count) + ", ";
    REQUIRE(count > 0);
  }
  WARN(text);
}

}  // namespace
}  // namespace lavendertack::testing
