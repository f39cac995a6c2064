// A long random run of the ownership, roster and catch-up reducers over
// crashes, freezes, cuts and loss. At any instant at most one instance may act
// as the owner of a service in a data centre, and epochs only rise.
#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "Distribution/catch_up.h"
#include "Ownership/ownership.h"
#include "Ownership/roster_proposer.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {
namespace {

constexpr milliseconds kTick{50};
constexpr milliseconds kSilence{3000};
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

// One life of an instance.
struct process {
  process(const instance_name& name, const data_centre_name& place,
          std::uint64_t life, std::uint64_t seed)
      : owner({.self = name,
               .data_centre = place,
               .incarnation = life,
               .replicas = Replicas()}),
        keeper({.self = name,
                .incarnation = life,
                .replicas = Replicas(),
                .instances = Instances(),
                .seed = seed}),
        newest({.self = name, .replicas = Replicas(), .nonce = life}) {}

  roster_registry book;
  log_index applied;
  ownership owner;
  roster_proposer keeper;
  catch_up newest;
  std::map<service_name, instant> busy_until;
  std::map<instance_name, instant> heard;
  std::set<instance_name> ready;
};

struct machine {
  data_centre_name place;
  double clock_rate = 1;
  std::uint64_t lives = 0;
  bool frozen = false;
  std::vector<std::function<void()>> missed;  // While it was frozen.
  std::unique_ptr<process> running;
  log_index stored;  // What a replica's disk holds.
};

class world {
 public:
  explicit world(std::uint64_t seed) : random_(seed) {
    for (const auto& [place, names] : Instances()) {
      for (const instance_name& name : names) {
        machines_[name].place = place;
        machines_[name].clock_rate = 0.96 + 0.01 * static_cast<double>(Draw(9));
        Start(name);
      }
    }
    queue_.After(milliseconds(500), [this] { Fault(); });
  }

  void Run(std::uint64_t events) {
    while (events_ < events) REQUIRE(queue_.RunNext());
  }

  // Mends everything and tells how many services lack an owner afterwards.
  std::size_t Settle() {
    settling_ = true;
    cuts_.clear();
    loss_ = 0;
    for (auto& [name, m] : machines_) {
      Thaw(name);
      if (!m.running) Start(name);
    }
    queue_.RunUntil(queue_.Now() + seconds(40));
    std::size_t without = 0;
    for (const auto& [place, names] : Instances()) {
      for (const service_name& service : Services()) {
        std::size_t owners = 0;
        for (const auto& name : names)
          owners += IsActiveOwner(name, service) ? 1 : 0;
        without += owners == 1 ? 0 : 1;
      }
    }
    return without;
  }

  std::map<std::string, std::uint64_t> counts;

 private:
  std::uint64_t Draw(std::uint64_t below) {
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random_);
  }
  const instance_name& DrawName() {
    return std::next(machines_.begin(),
                     static_cast<std::ptrdiff_t>(Draw(machines_.size())))
        ->first;
  }

  instant LocalNow(const machine& m) const {
    const auto since =
        static_cast<double>(queue_.Now().time_since_epoch() / microseconds(1));
    return instant(seconds(1000) + microseconds(static_cast<std::int64_t>(
                                       since * m.clock_rate)));
  }

  void Start(const instance_name& name) {
    machine& m = machines_.at(name);
    const std::uint64_t life = ++m.lives;
    m.running = std::make_unique<process>(name, m.place, life, random_());
    if (life > 1 && Replicas().contains(name)) {
      m.running->newest.CountOwnState();
    }
    ApplyUpTo(name, m.stored);
    Tick(name, life);
  }

  // An event at the process; put off while it is frozen.
  void At(const instance_name& name, std::uint64_t life,
          const std::function<void()>& action) {
    machine& m = machines_.at(name);
    if (!m.running || m.lives != life) return;
    if (m.frozen) {
      m.missed.push_back([=, this] { At(name, life, action); });
      return;
    }
    ++events_;
    action();
    if (m.running) CheckSingleOwner(name);
  }

  void Tick(const instance_name& name, std::uint64_t life) {
    queue_.After(kTick, [=, this] {
      At(name, life, [=, this] {
        DoTick(name);
        Tick(name, life);
      });
    });
  }

  void DoTick(const instance_name& name) {
    machine& m = machines_.at(name);
    process& p = *m.running;
    const instant now = LocalNow(m);
    for (const auto& replica : p.newest.ReplicasToQuery(now))
      AskIndex(name, replica);
    RunOwner(name, ownership_tick{});
    if (Draw(4) == 0) Greet(name);
    if (!Replicas().contains(name) || !IsCurrent(p)) return;
    const roster_proposer_view view{
        .rosters = p.book, .status_of = [&](const instance_name& other) {
          return Standing(p, name, other, now);
        }};
    for (roster_proposer_effect& effect : p.keeper.Tick(now, view)) {
      if (auto* send = std::get_if<send_ownership_message>(&effect)) {
        Send(name, *send);
      } else {
        Propose(name, std::get<propose_roster>(effect).change);
      }
    }
  }

  static bool IsCurrent(const process& p) {
    return p.newest.IsCurrent(p.applied);
  }

  static instance_status Standing(const process& p, const instance_name& self,
                                  const instance_name& other, instant now) {
    if (self == other) return instance_status::kReady;
    auto it = p.heard.find(other);
    if (it == p.heard.end()) return instance_status::kUndetermined;
    if (now - it->second >= kSilence) return instance_status::kSilent;
    return p.ready.contains(other) ? instance_status::kReady
                                   : instance_status::kUndetermined;
  }

  void RunOwner(const instance_name& name, const ownership_event& event) {
    machine& m = machines_.at(name);
    process& p = *m.running;
    const instant now = LocalNow(m);
    const ownership_view view{.rosters = p.book,
                              .services = Services(),
                              .current = IsCurrent(p),
                              .drained = [&](const service_name& service) {
                                return p.busy_until[service] <= now;
                              }};
    for (ownership_effect& effect : p.owner.Reduce(now, view, event)) {
      if (auto* send = std::get_if<send_ownership_message>(&effect)) {
        Send(name, *send);
      } else if (auto* started = std::get_if<ownership_acquired>(&effect)) {
        auto& newest = epochs_[{m.place, started->service}];
        if (started->epoch <= newest) FAIL("an epoch didn't rise");
        newest = started->epoch;
        ++counts["tenures"];
      } else if (auto* closing = std::get_if<ownership_draining>(&effect)) {
        p.busy_until[closing->service] = now + milliseconds(Draw(4000));
        ++counts["hand-overs"];
      }
    }
  }

  bool IsActiveOwner(const instance_name& name,
                     const service_name& service) const {
    const machine& m = machines_.at(name);
    return m.running && m.running->owner.IsActiveOwner(LocalNow(m), service);
  }

  void CheckSingleOwner(const instance_name& name) {
    for (const service_name& service : Services()) {
      if (!IsActiveOwner(name, service)) continue;
      for (const auto& other : Instances().at(machines_.at(name).place)) {
        if (other == name || !IsActiveOwner(other, service)) continue;
        FAIL(name << " and " << other << " both own " << service);
      }
    }
  }

  void Deliver(const instance_name& from, const instance_name& to,
               const std::function<void()>& action) {
    if (cuts_.contains({from, to}) || Draw(100) < loss_) return;
    const std::uint64_t copies = Draw(50) == 0 ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i) {
      const auto delay = Draw(100) == 0 ? microseconds(Draw(3000000))
                                        : microseconds(500 + Draw(9000));
      queue_.After(delay,
                   [=, this] { At(to, machines_.at(to).lives, action); });
    }
  }

  void Send(const instance_name& from, const send_ownership_message& send) {
    Deliver(from, send.to, [=, this] {
      if (send.message.has_answer()) {
        machines_.at(send.to).running->keeper.Receive(from, send.message);
      }
      RunOwner(send.to, ownership_received{from, send.message});
    });
  }

  void AskIndex(const instance_name& from, const instance_name& replica) {
    const std::uint64_t nonce = machines_.at(from).lives;
    Deliver(from, replica, [=, this] {
      const log_index applied = machines_.at(replica).running->applied;
      Deliver(replica, from, [=, this] {
        machines_.at(from).running->newest.HandleIndexReport(replica, nonce,
                                                             applied);
      });
    });
  }

  // Says that it is there, and passes on entries that the other one lacks.
  void Greet(const instance_name& name) {
    for (const auto& [to, m] : machines_) {
      if (to == name) continue;
      const process& p = *machines_.at(name).running;
      const bool current = IsCurrent(p);
      const log_index applied = p.applied;
      Deliver(name, to, [=, this, to = to] {
        machine& receiver = machines_.at(to);
        receiver.running->heard[name] = LocalNow(receiver);
        if (current) receiver.running->ready.insert(name);
        if (!current) receiver.running->ready.erase(name);
        ApplyUpTo(to, applied);
      });
    }
  }

  void ApplyUpTo(const instance_name& name, log_index last) {
    machine& m = machines_.at(name);
    process& p = *m.running;
    while (p.applied < last) {
      ++p.applied.value;
      p.book.Apply(p.applied, log_[p.applied.value - 1]);
    }
    if (Replicas().contains(name)) m.stored = p.applied;
  }

  // Stands for the agreement: counts when a majority can be reached and the
  // proposer knows every chosen entry.
  void Propose(const instance_name& name, const roster_change& change) {
    std::size_t reached = 0;
    for (const instance_name& other : Replicas()) {
      const machine& m = machines_.at(other);
      reached += m.running && !m.frozen && !cuts_.contains({name, other}) &&
                 !cuts_.contains({other, name});
    }
    process& p = *machines_.at(name).running;
    if (reached <= Replicas().size() / 2 || p.applied.value != log_.size()) {
      return;
    }
    if (!p.book.CanApply(change)) return;
    log_.push_back(change);
    ++counts["rosters"];
    ApplyUpTo(name, log_index{log_.size()});
  }

  void Thaw(const instance_name& name) {
    machine& m = machines_.at(name);
    m.frozen = false;
    for (auto& action : std::exchange(m.missed, {})) {
      queue_.After(microseconds(0), std::move(action));
    }
  }

  void Fault() {
    if (settling_) return;
    const instance_name name = DrawName();
    machine& m = machines_.at(name);
    const milliseconds length(100 + Draw(9000));
    switch (Draw(7)) {
      case 0:
        ++counts["kills"];
        m.running.reset();
        m.missed.clear();
        m.frozen = false;
        queue_.After(length, [=, this] {
          if (!machines_.at(name).running) Start(name);
        });
        break;
      case 1:
        ++counts["freezes"];
        m.frozen = true;
        queue_.After(length, [=, this] { Thaw(name); });
        break;
      case 2:
        ++counts["one-way cuts"];
        Cut({{name, DrawName()}}, length);
        break;
      case 3:
        ++counts["data centres cut off"];
        CutOff(Instances().at(m.place), length);
        break;
      case 4:
        ++counts["instances cut off"];
        CutOff({name}, length);
        break;
      case 5:
        ++counts["pairs cut off"];
        CutOff({name, DrawName()}, length);
        break;
      default:
        loss_ = Draw(3) == 0 ? Draw(30) : 0;
        break;
    }
    queue_.After(milliseconds(Draw(4000)), [this] { Fault(); });
  }

  void CutOff(const std::set<instance_name>& inside, milliseconds length) {
    std::set<std::pair<instance_name, instance_name>> links;
    for (const auto& [other, m] : machines_) {
      if (inside.contains(other)) continue;
      for (const instance_name& name : inside) {
        links.insert({name, other});
        links.insert({other, name});
      }
    }
    Cut(links, length);
  }

  void Cut(const std::set<std::pair<instance_name, instance_name>>& links,
           milliseconds length) {
    cuts_.insert(links.begin(), links.end());
    queue_.After(length, [=, this] {
      for (const auto& link : links) cuts_.erase(link);
    });
  }

  std::mt19937_64 random_;
  event_queue queue_;
  std::map<instance_name, machine> machines_;
  std::set<std::pair<instance_name, instance_name>> cuts_;
  std::uint64_t loss_ = 0;  // Percent.
  std::uint64_t events_ = 0;
  bool settling_ = false;
  std::vector<roster_change> log_;
  std::map<std::pair<data_centre_name, service_name>, owner_epoch> epochs_;
};

TEST_CASE("at most one owner acts at any instant, whatever fails") {
  std::map<std::string, std::uint64_t> total;
  ForEachSeed([&](std::uint64_t seed) {
    INFO("seed " << seed);
    world w(seed);
    w.Run(kEvents);
    REQUIRE(w.Settle() == 0);  // Services without an owner.
    for (const auto& [what, count] : w.counts) total[what] += count;
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
