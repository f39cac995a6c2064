// The operator and the fault injection of the simulation.
#include <algorithm>

#include "UnitTests/Node/node_simulation.h"

namespace lavendertack::testing {
namespace {

// Time within which every undisturbed instance applies an accepted ticket.
constexpr seconds kTicketAppliedBound{5};

}  // namespace

void node_simulation::RepeatEvery(milliseconds low, milliseconds high,
                                  const std::function<void()>& action) {
  const auto wait = RandomDuration(static_cast<int>(low.count()),
                                   static_cast<int>(high.count()));
  queue_.ScheduleAfter(wait, [this, low, high, action] {
    action();
    RepeatEvery(low, high, action);
  });
}

void node_simulation::ScheduleFaults() {
  using std::chrono::milliseconds;
  RepeatEvery(milliseconds(250), milliseconds(250), [this] { CheckTickets(); });
  if (settings_.planned_changes) {
    RepeatEvery(milliseconds(3000), milliseconds(6000),
                [this] { SubmitPlannedChange(); });
    RepeatEvery(milliseconds(4000), milliseconds(9000),
                [this] { DrainTarget(RandomBelow(targets_.size())); });
  }
  if (settings_.inject_faults) {
    RepeatEvery(milliseconds(5000), milliseconds(15000),
                [this] { InjectInstanceFault(); });
    RepeatEvery(milliseconds(6000), milliseconds(16000),
                [this] { InjectPartition(); });
    RepeatEvery(milliseconds(2000), milliseconds(8000),
                [this] { InjectTargetCrash(); });
  }
}

void node_simulation::InjectInstanceFault() {
  const std::size_t index = RandomBelow(instances_.size());
  instance& i = instances_[index];
  if (!i.reducer || i.frozen) return;
  switch (RandomBelow(3)) {
    case 0:
      checker_.Count("fault: instance killed");
      KillInstance(index);
      return;
    case 1:
      i.crash_after_effects = RandomBelow(3);
      return;
    default:
      break;
  }
  checker_.Count("fault: instance frozen");
  i.frozen = true;
  queue_.ScheduleAfter(
      RandomDuration(300, 8000), [this, index, generation = i.generation] {
        instance& resumed = instances_[index];
        if (resumed.generation != generation) return;
        resumed.frozen = false;
        resumed.last_disturbance = queue_.Now();
        auto deferred_events = std::move(resumed.deferred_events);
        resumed.deferred_events.clear();
        for (auto& deliver : deferred_events) deliver();
      });
}

void node_simulation::InjectPartition() {
  // Instance i is in data centre i % 4.
  std::set<link> edges;
  const std::size_t isolated_data_centre = RandomBelow(4);
  const bool cut_inbound = Chance(0.7);
  const bool cut_outbound = !cut_inbound || Chance(0.7);
  const bool whole_data_centre = Chance(0.6);
  const std::size_t isolated_instance = RandomBelow(instances_.size());
  for (std::size_t a = 0; a < instances_.size(); ++a) {
    for (std::size_t b = 0; b < instances_.size(); ++b) {
      if (a == b) continue;
      const bool inbound =
          whole_data_centre
              ? a % 4 != isolated_data_centre && b % 4 == isolated_data_centre
              : a != isolated_instance && b == isolated_instance;
      const link edge{instances_[a].settings.self, instances_[b].settings.self};
      if (inbound && cut_inbound) edges.insert(edge);
      if (inbound && cut_outbound) edges.insert({edge.second, edge.first});
    }
  }
  const bool both = cut_inbound && cut_outbound;
  checker_.Count(std::string("fault: ") +
                 (whole_data_centre ? "data centre" : "instance") +
                 (both ? " partitioned" : " partitioned one way"));
  PartitionLinks(edges, RandomDuration(500, 9000));
}

void node_simulation::InjectTargetCrash() {
  const std::size_t index = RandomBelow(targets_.size());
  target& t = targets_[index];
  if (!t.alive) return;
  checker_.Count("fault: target crashed");
  t.alive = false;
  queue_.ScheduleAfter(RandomDuration(50, 4000), [this, index, boot = t.boot] {
    if (targets_[index].boot == boot) StartTarget(index, true);
  });
}

void node_simulation::SubmitPlannedChange() {
  if (pending_ticket_ || last_ticket_number_ == 0) return;
  change_ticket ticket;
  ticket.number = {++last_ticket_number_};
  if (!out_of_service_since_.empty() && Chance(0.4)) {
    const data_centre_name returning = out_of_service_since_.begin()->first;
    ticket.data_centres = {{returning, false}};
    out_of_service_since_.clear();
    last_out_change_[returning] = queue_.Now();
    checker_.Count("planned: data centre back in service");
  } else if (out_of_service_since_.empty() && Chance(0.6)) {
    const data_centre_name out = DataCentreOf(RandomBelow(4));
    ticket.data_centres = {{out, true}};
    last_out_change_[out] = queue_.Now();
    checker_.Count("planned: data centre out of service");
  } else {
    ticket.classes = {
        {{"hold"}, {static_cast<std::uint32_t>(2 + RandomBelow(20))}}};
    checker_.Count("planned: class price");
  }
  SubmitTicket(ticket);
  if (settings_.inject_faults && Chance(0.3)) {
    checker_.Count("fault: two tickets with equal numbers");
    change_ticket conflicting;
    conflicting.number = ticket.number;
    conflicting.classes = {
        {{"browse"}, {static_cast<std::uint32_t>(1 + RandomBelow(9))}}};
    const admin_request_id id{++last_request_id_};
    submitted_tickets_[id] = conflicting;
    Deliver(RandomBelow(5), ticket_submitted{id, conflicting});
  }
}

void node_simulation::SubmitTicket(const change_ticket& ticket) {
  // Resends the ticket through any replica until a result arrives. Instances 0
  // to 4 are the replicas.
  pending_ticket_ = ticket;
  const admin_request_id id{++last_request_id_};
  submitted_tickets_[id] = ticket;
  change_ticket sent = ticket;
  if (settings_.active_mutation == mutation::kIgnoreOutOfService) {
    for (data_centre_spec& spec : sent.data_centres) spec.out = false;
  }
  Deliver(RandomBelow(5), ticket_submitted{id, sent});
  queue_.ScheduleAfter(seconds(3), [this, number = ticket.number] {
    if (pending_ticket_ && pending_ticket_->number == number) {
      SubmitTicket(*pending_ticket_);
    }
  });
}

void node_simulation::HandleTicketAnswer(const answer_ticket& answer) {
  const auto* result = std::get_if<ticket_result>(&answer.outcome);
  if (result == nullptr) {
    checker_.Count("ticket: undecided");
    return;
  }
  const change_ticket& ticket = submitted_tickets_.at(answer.request);
  if (pending_ticket_ && pending_ticket_->number == ticket.number) {
    pending_ticket_.reset();
  }
  if (!std::holds_alternative<ticket_accepted>(*result)) {
    checker_.Count("ticket: refused");
    return;
  }
  checker_.Count("ticket: accepted");
  const std::string bytes = EncodeTicket(ticket);
  auto [it, first] = accepted_tickets_.try_emplace(
      ticket.number, std::pair{queue_.Now(), bytes});
  if (!first && it->second.second != bytes) {
    checker_.RecordViolation(invariant::kTicketsApplied, queue_.Now(),
                             "two tickets were accepted with one number");
  }
  if (!first) return;
  for (const data_centre_spec& spec : ticket.data_centres) {
    if (spec.out) out_of_service_since_[spec.name] = queue_.Now();
  }
}

void node_simulation::CheckTickets() {
  for (instance& i : instances_) {
    if (!i.reducer) continue;
    const ticket_number newest = i.reducer->agreed_directory().newest();
    if (newest < i.newest_ticket) {
      checker_.RecordViolation(
          invariant::kTicketsApplied, queue_.Now(),
          i.settings.self.value + " reverted to an older ticket");
    }
    i.newest_ticket = newest;
    const auto undisturbed_since = UndisturbedSince(i);
    if (!undisturbed_since ||
        queue_.Now() < *undisturbed_since + kTicketAppliedBound) {
      continue;
    }
    for (const auto& [number, accepted] : accepted_tickets_) {
      if (queue_.Now() < accepted.first + kTicketAppliedBound) continue;
      const auto& applied = i.reducer->agreed_directory().accepted();
      auto it = applied.find(number);
      if (it != applied.end() && it->second.encoded == accepted.second) {
        continue;
      }
      if (settings_.active_mutation == mutation::kIgnoreOutOfService) continue;
      checker_.RecordViolation(invariant::kTicketsApplied, queue_.Now(),
                               i.settings.self.value +
                                   " has not applied ticket " +
                                   std::to_string(number.value));
    }
  }
}

}  // namespace lavendertack::testing
