#include "UnitTests/Node/world.h"

#include <algorithm>
#include <array>

namespace lavendertack::testing {
namespace {

constexpr milliseconds kTick{50};
// A data centre that is out gets no packet after so long.
constexpr seconds kOutBound{5};

constexpr std::array<const char*, 4> kCentres{"a", "b", "c", "d"};

microseconds LinkDelay(const data_centre_name& a, const data_centre_name& b) {
  return a == b ? microseconds(200) : microseconds(4000);
}

}  // namespace

world::world(world_settings settings)
    : settings_(settings), random_(settings.seed) {
  std::vector<member> members;
  for (int number = 1; number <= 2; ++number) {
    for (const std::string centre : kCentres) {
      member m;
      m.name = {centre + std::to_string(number)};
      m.data_centre = {centre};
      m.replica = number == 1 || centre == "a";
      members.push_back(m);
    }
  }
  for (const member& m : members) {
    instance& i = instances_.emplace_back();
    i.settings.self = m.name;
    i.settings.data_centre = m.data_centre;
    i.settings.deployment = "test";
    i.settings.replica = m.replica;
    i.settings.members = members;
    i.clock_offset = seconds(Below(100'000));
  }
  for (int number = 0; number < 18; ++number) {
    target& t = targets_.emplace_back();
    t.name = {"t" + std::to_string(number)};
    t.data_centre = {kCentres[static_cast<std::size_t>(number) % 4]};
    t.home = {number < 14 ? "catalogue" : "guides"};
  }
  flows_.resize(settings_.flows);
}

void world::Run() {
  for (std::size_t i = 0; i < instances_.size(); ++i) StartInstance(i);
  for (std::size_t i = 0; i < targets_.size(); ++i) StartTarget(i, false);
  change_ticket first{
      .number = {++tickets_},
      .services = {{{"catalogue"}, {{"browse"}, {"hold"}}, seconds(60)},
                   {{"guides"}, {{"browse"}}, seconds(60)}},
      .classes = {{{"browse"}, {1}}, {{"hold"}, {10}}},
      .data_centres = {}};
  for (const std::string centre : kCentres) {
    first.data_centres.push_back({{centre}, false});
  }
  queue_.After(seconds(1), [this, first] { Submit(first); });
  for (std::size_t i = 0; i < flows_.size(); ++i) {
    queue_.After(Between(4000, 8000), [this, i] { OpenFlow(i); });
  }
  ScheduleFaults();
  queue_.RunUntil(instant(settings_.length));
}

void world::StartInstance(std::size_t index) {
  instance& i = instances_[index];
  ++i.life;
  i.settings.incarnation =
      static_cast<std::uint64_t>(queue_.Now().time_since_epoch().count()) +
      i.life;
  i.settings.seed = random_();
  i.reducer = std::make_unique<node>(i.settings);
  i.disturbed = queue_.Now();
  if (!i.settings.replica) i.newest = {};
  if (settings_.mutant == mutation::kLoseRecords) {
    i.disk.resize(i.disk.size() / 2);
  }
  for (const wire::stored_record& record : i.disk) i.reducer->Restore(record);
  Tick(index, i.life);
}

void world::KillInstance(std::size_t index) {
  instance& i = instances_[index];
  if (!i.reducer) return;
  i.reducer.reset();
  i.held.clear();
  i.frozen = false;
  i.die_after.reset();
  ++i.life;
  queue_.After(Between(200, 6000), [this, index] {
    if (!instances_[index].reducer) StartInstance(index);
  });
}

void world::Tick(std::size_t index, std::uint64_t life) {
  if (instances_[index].life != life) return;
  Deliver(index, node_tick{});
  queue_.After(kTick, [this, index, life] { Tick(index, life); });
}

void world::Deliver(std::size_t index, const node_event& event) {
  instance& i = instances_[index];
  if (!i.reducer) return;
  if (i.frozen) {
    if (!std::holds_alternative<node_tick>(event)) {
      i.held.emplace_back([this, index, event] { Deliver(index, event); });
    }
    return;
  }
  Reduce(index, event);
}

void world::Reduce(std::size_t index, const node_event& event) {
  instance& i = instances_[index];
  ++events_;
  const auto effects = i.reducer->Reduce(queue_.Now() + i.clock_offset, event);
  std::size_t carried = 0;
  for (const node_effect& effect : effects) {
    if (i.die_after && carried++ >= *i.die_after) {
      witness_.Count("fault: instance killed between effects");
      KillInstance(index);
      return;
    }
    Carry(index, effect);
  }
}

void world::Carry(std::size_t from, const node_effect& effect) {
  if (const auto* persist = std::get_if<persist_record>(&effect)) {
    if (instances_[from].settings.replica) {
      instances_[from].disk.push_back(persist->record);
    }
  } else if (const auto* peer = std::get_if<send_peer>(&effect)) {
    CarryPeer(from, *peer);
  } else if (const auto* run = std::get_if<send_run>(&effect)) {
    CarryRun(from, *run);
  } else if (const auto* ticket = std::get_if<answer_ticket>(&effect)) {
    TicketAnswered(*ticket);
  } else if (const auto* answer = std::get_if<send_answer>(&effect)) {
    if (settings_.unplanned && Chance(0.02)) return;
    caller_answer told = answer->answer;
    if (settings_.mutant == mutation::kFalseNotRun &&
        told.kind == answer_kind::kOutcomeUnknown) {
      told.kind = answer_kind::kNotRun;
    }
    if (settings_.mutant == mutation::kDropAnswers &&
        told.request.value % 16 == 3) {
      return;
    }
    if (settings_.mutant == mutation::kRetryUnknown &&
        told.kind == answer_kind::kOutcomeUnknown) {
      if (auto it = last_run_.find({told.flow, told.request});
          it != last_run_.end()) {
        CarryRun(it->second.first, send_run{it->second.second});
      }
    }
    caller_address to = answer->to;
    if (settings_.mutant == mutation::kWrongCaller && Chance(0.02)) {
      to = flows_[Below(flows_.size())].address;
    }
    const int copies = settings_.unplanned && Chance(0.02) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      queue_.After(Between(3, 5), [this, to, told] { Receive(to, told); });
    }
  }
}

void world::CarryPeer(std::size_t from, const send_peer& effect) {
  const std::size_t to = IndexOf(effect.to);
  const data_centre_name into = CentreOf(to);
  if (effect.message.has_packet() && CentreOf(from) != into) {
    const auto out = out_since_.find(into);
    const auto quiet = QuietSince(instances_[from]);
    if (out != out_since_.end() && quiet &&
        queue_.Now() > std::max(out->second, *quiet) + kOutBound) {
      witness_.Broken(rule::kDataCentreOut, queue_.Now(),
                      "a packet was forwarded into " + into.value);
    }
  }
  if (settings_.unplanned && Chance(0.005)) return;
  const bool twice = settings_.unplanned && Chance(0.005);
  const link way{instances_[from].settings.self, effect.to};
  for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
    auto arrive = [this, to, message = effect.message] {
      Deliver(to, peer_message_received{message});
    };
    if (auto cut = cut_.find(way); cut != cut_.end()) {
      if (Chance(0.3)) cut->second.emplace_back(arrive);
      return;
    }
    instant& last = last_delivery_[way];
    microseconds delay = LinkDelay(CentreOf(from), into);
    delay += microseconds(Below(Chance(0.02) ? 40'000 : 500));
    last = std::max(last, queue_.Now() + delay);
    queue_.After(std::chrono::duration_cast<microseconds>(last - queue_.Now()),
                 arrive);
  }
}

void world::CarryRun(std::size_t from, const send_run& effect) {
  auto known = connections_.find(effect.to);
  std::size_t to = known->second.first;
  const bool gone =
      !targets_[to].alive || targets_[to].boot != known->second.second;
  if (gone) {
    queue_.After(microseconds(10), [this, from, at = effect.to] {
      Deliver(from, target_unreachable{at});
    });
    return;
  }
  if (settings_.mutant == mutation::kWrongTarget && Chance(0.01)) {
    to = Below(targets_.size());
  }
  if (settings_.mutant == mutation::kRetryUnknown) {
    last_run_[{effect.order.flow, effect.order.request}] = {from, effect};
  }
  const bool twice = settings_.mutant == mutation::kSendTwice && Chance(0.01);
  for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
    queue_.After(microseconds(100), [this, to, from, order = effect.order] {
      RunAtTarget(to, from, order);
    });
  }
  const data_centre_name& place = targets_[to].data_centre;
  const auto out = out_since_.find(place);
  const auto quiet = QuietSince(instances_[from]);
  if (out != out_since_.end() && quiet &&
      queue_.Now() > std::max(out->second, *quiet) + kOutBound) {
    witness_.Broken(rule::kDataCentreOut, queue_.Now(),
                    "a request was sent to " + effect.order.target.value);
  }
}

void world::Cut(const std::set<link>& links, milliseconds length) {
  for (const link& way : links) {
    if (!cut_.try_emplace(way).second) continue;
    ++instances_[IndexOf(way.first)].cuts;
    ++instances_[IndexOf(way.second)].cuts;
    queue_.After(length, [this, way] {
      auto held = std::move(cut_[way]);
      cut_.erase(way);
      for (const auto& name : {way.first, way.second}) {
        --instances_[IndexOf(name)].cuts;
        instances_[IndexOf(name)].disturbed = queue_.Now();
      }
      for (auto& arrive : held) arrive();
    });
  }
}

std::optional<instant> world::QuietSince(const instance& who) const {
  if (who.frozen || who.cuts > 0) return std::nullopt;
  return who.disturbed;
}

bool world::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::uint64_t world::Below(std::uint64_t bound) { return random_() % bound; }

milliseconds world::Between(int low_ms, int high_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(low_ms, high_ms)(random_));
}

std::size_t world::IndexOf(const instance_name& name) const {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].settings.self == name) return i;
  }
  return 0;
}

data_centre_name world::CentreOf(std::size_t index) const {
  return instances_[index].settings.data_centre;
}

}  // namespace lavendertack::testing
