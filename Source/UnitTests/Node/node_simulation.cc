#include "UnitTests/Node/node_simulation.h"

#include <algorithm>
#include <array>

namespace lavendertack::testing {
namespace {

constexpr milliseconds kTickInterval{50};
// Time after which a data centre that was taken out of service gets no more
// packets or requests.
constexpr seconds kOutOfServiceBound{5};

constexpr std::array<const char*, 4> kDataCentres{"a", "b", "c", "d"};

microseconds LinkDelay(const data_centre_name& a, const data_centre_name& b) {
  return a == b ? microseconds(200) : microseconds(4000);
}

}  // namespace

node_simulation::node_simulation(simulation_settings settings)
    : settings_(settings), random_(settings.seed) {
  std::vector<member> members;
  for (int number = 1; number <= 2; ++number) {
    for (const std::string data_centre : kDataCentres) {
      member m;
      m.name = {data_centre + std::to_string(number)};
      m.data_centre = {data_centre};
      m.replica = number == 1 || data_centre == "a";
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
    i.clock_offset = seconds(RandomBelow(100'000));
  }
  for (int number = 0; number < 18; ++number) {
    target& t = targets_.emplace_back();
    t.name = {"t" + std::to_string(number)};
    t.data_centre = {kDataCentres[static_cast<std::size_t>(number) % 4]};
    t.default_service = {number < 14 ? "catalogue" : "guides"};
  }
  flows_.resize(settings_.flows);
}

void node_simulation::Run() {
  for (std::size_t i = 0; i < instances_.size(); ++i) StartInstance(i);
  for (std::size_t i = 0; i < targets_.size(); ++i) StartTarget(i, false);
  change_ticket first{
      .number = {++last_ticket_number_},
      .services = {{{"catalogue"}, {{"browse"}, {"hold"}}, seconds(60)},
                   {{"guides"}, {{"browse"}}, seconds(60)}},
      .classes = {{{"browse"}, {1}}, {{"hold"}, {10}}},
      .data_centres = {}};
  for (const std::string data_centre : kDataCentres) {
    first.data_centres.push_back({{data_centre}, false});
  }
  queue_.ScheduleAfter(seconds(1), [this, first] { SubmitTicket(first); });
  for (std::size_t i = 0; i < flows_.size(); ++i) {
    queue_.ScheduleAfter(RandomDuration(4000, 8000),
                         [this, i] { OpenFlow(i); });
  }
  ScheduleFaults();
  queue_.RunUntil(instant(settings_.length));
}

void node_simulation::StartInstance(std::size_t index) {
  instance& i = instances_[index];
  ++i.generation;
  i.settings.incarnation =
      static_cast<std::uint64_t>(queue_.Now().time_since_epoch().count()) +
      i.generation;
  i.settings.seed = random_();
  i.reducer = std::make_unique<node>(i.settings);
  i.last_disturbance = queue_.Now();
  if (!i.settings.replica) i.newest_ticket = {};
  if (settings_.active_mutation == mutation::kLoseRecords) {
    i.disk.resize(i.disk.size() / 2);
  }
  for (const wire::stored_record& record : i.disk) i.reducer->Restore(record);
  Tick(index, i.generation);
}

void node_simulation::KillInstance(std::size_t index) {
  instance& i = instances_[index];
  if (!i.reducer) return;
  i.reducer.reset();
  i.deferred_events.clear();
  i.frozen = false;
  i.crash_after_effects.reset();
  ++i.generation;
  queue_.ScheduleAfter(RandomDuration(200, 6000), [this, index] {
    if (!instances_[index].reducer) StartInstance(index);
  });
}

void node_simulation::Tick(std::size_t index, std::uint64_t generation) {
  if (instances_[index].generation != generation) return;
  Deliver(index, node_tick{});
  queue_.ScheduleAfter(kTickInterval,
                       [this, index, generation] { Tick(index, generation); });
}

void node_simulation::Deliver(std::size_t index, const node_event& event) {
  instance& i = instances_[index];
  if (!i.reducer) return;
  if (i.frozen) {
    if (!std::holds_alternative<node_tick>(event)) {
      i.deferred_events.emplace_back(
          [this, index, event] { Deliver(index, event); });
    }
    return;
  }
  Reduce(index, event);
}

void node_simulation::Reduce(std::size_t index, const node_event& event) {
  instance& i = instances_[index];
  ++events_;
  const auto effects = i.reducer->Reduce(queue_.Now() + i.clock_offset, event);
  std::size_t applied = 0;
  for (const node_effect& effect : effects) {
    if (i.crash_after_effects && applied++ >= *i.crash_after_effects) {
      checker_.Count("fault: instance killed between effects");
      KillInstance(index);
      return;
    }
    Apply(index, effect);
  }
}

void node_simulation::Apply(std::size_t from, const node_effect& effect) {
  if (const auto* persist = std::get_if<persist_record>(&effect)) {
    if (instances_[from].settings.replica) {
      instances_[from].disk.push_back(persist->record);
    }
  } else if (const auto* peer = std::get_if<send_peer_message>(&effect)) {
    SendPeerMessage(from, *peer);
  } else if (const auto* run = std::get_if<send_run>(&effect)) {
    SendRunOrder(from, *run);
  } else if (const auto* ticket = std::get_if<answer_ticket>(&effect)) {
    HandleTicketAnswer(*ticket);
  } else if (const auto* answer = std::get_if<send_answer>(&effect)) {
    if (settings_.inject_faults && Chance(0.02)) return;
    caller_answer delivered = answer->answer;
    if (settings_.active_mutation == mutation::kFalseNotRun &&
        delivered.kind == answer_kind::kOutcomeUnknown) {
      delivered.kind = answer_kind::kNotRun;
    }
    if (settings_.active_mutation == mutation::kDropAnswers &&
        delivered.request.value % 16 == 3) {
      return;
    }
    if (settings_.active_mutation == mutation::kRetryUnknownOutcome &&
        delivered.kind == answer_kind::kOutcomeUnknown) {
      if (auto it = last_orders_.find({delivered.flow, delivered.request});
          it != last_orders_.end()) {
        SendRunOrder(it->second.first, send_run{it->second.second});
      }
    }
    caller_address to = answer->to;
    if (settings_.active_mutation == mutation::kWrongCaller && Chance(0.02)) {
      to = flows_[RandomBelow(flows_.size())].address;
    }
    const int copies = settings_.inject_faults && Chance(0.02) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      queue_.ScheduleAfter(RandomDuration(3, 5), [this, to, delivered] {
        ReceiveAnswer(to, delivered);
      });
    }
  }
}

void node_simulation::SendPeerMessage(std::size_t from,
                                      const send_peer_message& effect) {
  const std::size_t to = IndexOf(effect.to);
  const data_centre_name destination = DataCentreOf(to);
  if (effect.message.has_packet() && DataCentreOf(from) != destination) {
    const auto out_since = out_of_service_since_.find(destination);
    const auto undisturbed_since = UndisturbedSince(instances_[from]);
    if (out_since != out_of_service_since_.end() && undisturbed_since &&
        queue_.Now() > std::max(out_since->second, *undisturbed_since) +
                           kOutOfServiceBound) {
      checker_.RecordViolation(
          invariant::kOutOfServiceDataCentre, queue_.Now(),
          "a packet was forwarded to data centre " + destination.value);
    }
  }
  if (settings_.inject_faults && Chance(0.005)) return;
  const bool duplicated = settings_.inject_faults && Chance(0.005);
  const link edge{instances_[from].settings.self, effect.to};
  for (int copy = 0; copy < (duplicated ? 2 : 1); ++copy) {
    auto deliver = [this, to, message = effect.message] {
      Deliver(to, peer_message_received{message});
    };
    if (auto partition = partitioned_links_.find(edge);
        partition != partitioned_links_.end()) {
      if (Chance(0.3)) partition->second.emplace_back(deliver);
      return;
    }
    instant& last = last_delivery_[edge];
    microseconds delay = LinkDelay(DataCentreOf(from), destination);
    delay += microseconds(RandomBelow(Chance(0.02) ? 40'000 : 500));
    last = std::max(last, queue_.Now() + delay);
    queue_.ScheduleAfter(
        std::chrono::duration_cast<microseconds>(last - queue_.Now()), deliver);
  }
}

void node_simulation::SendRunOrder(std::size_t from, const send_run& effect) {
  auto connection = connections_.find(effect.to);
  std::size_t to = connection->second.first;
  const bool is_disconnected =
      !targets_[to].alive || targets_[to].boot != connection->second.second;
  if (is_disconnected) {
    queue_.ScheduleAfter(microseconds(10), [this, from, at = effect.to] {
      Deliver(from, target_disconnected{at});
    });
    return;
  }
  if (settings_.active_mutation == mutation::kWrongTarget && Chance(0.01)) {
    to = RandomBelow(targets_.size());
  }
  if (settings_.active_mutation == mutation::kRetryUnknownOutcome) {
    last_orders_[{effect.order.flow, effect.order.request}] = {from, effect};
  }
  const bool duplicated =
      settings_.active_mutation == mutation::kSendOrderTwice && Chance(0.01);
  for (int copy = 0; copy < (duplicated ? 2 : 1); ++copy) {
    queue_.ScheduleAfter(microseconds(100),
                         [this, to, from, order = effect.order] {
                           RunRequest(to, from, order);
                         });
  }
  const data_centre_name& data_centre = targets_[to].data_centre;
  const auto out_since = out_of_service_since_.find(data_centre);
  const auto undisturbed_since = UndisturbedSince(instances_[from]);
  if (out_since != out_of_service_since_.end() && undisturbed_since &&
      queue_.Now() > std::max(out_since->second, *undisturbed_since) +
                         kOutOfServiceBound) {
    checker_.RecordViolation(
        invariant::kOutOfServiceDataCentre, queue_.Now(),
        "a request was sent to " + effect.order.target.value);
  }
}

void node_simulation::PartitionLinks(const std::set<link>& links,
                                     milliseconds length) {
  for (const link& edge : links) {
    if (!partitioned_links_.try_emplace(edge).second) continue;
    ++instances_[IndexOf(edge.first)].active_partitions;
    ++instances_[IndexOf(edge.second)].active_partitions;
    queue_.ScheduleAfter(length, [this, edge] {
      auto deferred_messages = std::move(partitioned_links_[edge]);
      partitioned_links_.erase(edge);
      for (const auto& name : {edge.first, edge.second}) {
        --instances_[IndexOf(name)].active_partitions;
        instances_[IndexOf(name)].last_disturbance = queue_.Now();
      }
      for (auto& deliver : deferred_messages) deliver();
    });
  }
}

std::optional<instant> node_simulation::UndisturbedSince(
    const instance& node_instance) const {
  if (node_instance.frozen || node_instance.active_partitions > 0) {
    return std::nullopt;
  }
  return node_instance.last_disturbance;
}

bool node_simulation::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::uint64_t node_simulation::RandomBelow(std::uint64_t bound) {
  return random_() % bound;
}

milliseconds node_simulation::RandomDuration(int low_ms, int high_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(low_ms, high_ms)(random_));
}

std::size_t node_simulation::IndexOf(const instance_name& name) const {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].settings.self == name) return i;
  }
  return 0;
}

data_centre_name node_simulation::DataCentreOf(std::size_t index) const {
  return instances_[index].settings.data_centre;
}

}  // namespace lavendertack::testing
