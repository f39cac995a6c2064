// The operator and the faults of the world.
#include <algorithm>

#include "UnitTests/Node/world.h"

namespace lavendertack::testing {
namespace {

// An accepted ticket is in force everywhere after so long.
constexpr seconds kTicketBound{5};

}  // namespace

void world::Every(milliseconds low, milliseconds high,
                  const std::function<void()>& what) {
  const auto wait =
      Between(static_cast<int>(low.count()), static_cast<int>(high.count()));
  queue_.After(wait, [this, low, high, what] {
    what();
    Every(low, high, what);
  });
}

void world::ScheduleFaults() {
  using std::chrono::milliseconds;
  Every(milliseconds(250), milliseconds(250), [this] { CheckTickets(); });
  if (settings_.planned) {
    Every(milliseconds(3000), milliseconds(6000), [this] { ChangeTickets(); });
    Every(milliseconds(4000), milliseconds(9000),
          [this] { DrainTarget(Below(targets_.size())); });
  }
  if (settings_.unplanned) {
    Every(milliseconds(5000), milliseconds(15000), [this] { InstanceFault(); });
    Every(milliseconds(6000), milliseconds(16000), [this] { CutFault(); });
    Every(milliseconds(2000), milliseconds(8000), [this] { TargetFault(); });
  }
}

void world::InstanceFault() {
  const std::size_t index = Below(instances_.size());
  instance& i = instances_[index];
  if (!i.reducer || i.frozen) return;
  switch (Below(3)) {
    case 0:
      witness_.Count("fault: instance killed");
      KillInstance(index);
      return;
    case 1:
      i.die_after = Below(3);
      return;
    default:
      break;
  }
  witness_.Count("fault: instance frozen");
  i.frozen = true;
  queue_.After(Between(300, 8000), [this, index, life = i.life] {
    instance& woken = instances_[index];
    if (woken.life != life) return;
    woken.frozen = false;
    woken.disturbed = queue_.Now();
    auto held = std::move(woken.held);
    woken.held.clear();
    for (auto& arrive : held) arrive();
  });
}

void world::CutFault() {
  std::set<link> ways;
  const std::size_t centre = Below(4);
  const bool inward = Chance(0.7);
  const bool outward = !inward || Chance(0.7);
  const bool whole = Chance(0.6);
  const std::size_t one = Below(instances_.size());
  for (std::size_t a = 0; a < instances_.size(); ++a) {
    for (std::size_t b = 0; b < instances_.size(); ++b) {
      if (a == b) continue;
      const bool enters =
          whole ? a % 4 != centre && b % 4 == centre : a != one && b == one;
      const link way{instances_[a].settings.self, instances_[b].settings.self};
      if (enters && inward) ways.insert(way);
      if (enters && outward) ways.insert({way.second, way.first});
    }
  }
  const bool both = inward && outward;
  witness_.Count(std::string("fault: ") + (whole ? "data centre" : "instance") +
                 (both ? " cut off" : " cut off one way"));
  Cut(ways, Between(500, 9000));
}

void world::TargetFault() {
  const std::size_t index = Below(targets_.size());
  target& t = targets_[index];
  if (!t.alive) return;
  witness_.Count("fault: target crashed");
  t.alive = false;
  queue_.After(Between(50, 4000), [this, index, boot = t.boot] {
    if (targets_[index].boot == boot) StartTarget(index, true);
  });
}

void world::ChangeTickets() {
  if (open_ticket_ || tickets_ == 0) return;
  change_ticket ticket;
  ticket.number = {++tickets_};
  if (!out_since_.empty() && Chance(0.4)) {
    const data_centre_name back = out_since_.begin()->first;
    ticket.data_centres = {{back, false}};
    out_since_.clear();
    last_out_[back] = queue_.Now();
    witness_.Count("planned: data centre back");
  } else if (out_since_.empty() && Chance(0.6)) {
    const data_centre_name out = CentreOf(Below(4));
    ticket.data_centres = {{out, true}};
    last_out_[out] = queue_.Now();
    witness_.Count("planned: data centre out");
  } else {
    ticket.classes = {{{"hold"}, {static_cast<std::uint32_t>(2 + Below(20))}}};
    witness_.Count("planned: class price");
  }
  Submit(ticket);
  if (settings_.unplanned && Chance(0.3)) {
    witness_.Count("fault: two tickets with equal numbers");
    change_ticket rival;
    rival.number = ticket.number;
    rival.classes = {{{"browse"}, {static_cast<std::uint32_t>(1 + Below(9))}}};
    const admin_request id{++submissions_};
    submitted_[id] = rival;
    Deliver(Below(5), ticket_submitted{id, rival});
  }
}

void world::Submit(const change_ticket& ticket) {
  // Resent through any replica until there is a verdict.
  open_ticket_ = ticket;
  const admin_request id{++submissions_};
  submitted_[id] = ticket;
  change_ticket sent = ticket;
  if (settings_.mutant == mutation::kIgnoreOut) {
    for (data_centre_spec& place : sent.data_centres) place.out = false;
  }
  Deliver(Below(5), ticket_submitted{id, sent});
  queue_.After(seconds(3), [this, number = ticket.number] {
    if (open_ticket_ && open_ticket_->number == number) Submit(*open_ticket_);
  });
}

void world::TicketAnswered(const answer_ticket& answer) {
  const auto* verdict = std::get_if<ticket_result>(&answer.outcome);
  if (verdict == nullptr) {
    witness_.Count("ticket: undecided");
    return;
  }
  const change_ticket& ticket = submitted_.at(answer.request);
  if (open_ticket_ && open_ticket_->number == ticket.number) {
    open_ticket_.reset();
  }
  if (!std::holds_alternative<ticket_accepted>(*verdict)) {
    witness_.Count("ticket: refused");
    return;
  }
  witness_.Count("ticket: accepted");
  const std::string bytes = EncodeTicket(ticket);
  auto [it, first] =
      accepted_.try_emplace(ticket.number, std::pair{queue_.Now(), bytes});
  if (!first && it->second.second != bytes) {
    witness_.Broken(rule::kTicketsInForce, queue_.Now(),
                    "two tickets were accepted with one number");
  }
  if (!first) return;
  for (const data_centre_spec& place : ticket.data_centres) {
    if (place.out) out_since_[place.name] = queue_.Now();
  }
}

void world::CheckTickets() {
  for (instance& i : instances_) {
    if (!i.reducer) continue;
    const ticket_number newest = i.reducer->agreed().newest();
    if (newest < i.newest) {
      witness_.Broken(rule::kTicketsInForce, queue_.Now(),
                      i.settings.self.value + " went back to an old ticket");
    }
    i.newest = newest;
    const auto quiet = QuietSince(i);
    if (!quiet || queue_.Now() < *quiet + kTicketBound) continue;
    for (const auto& [number, accepted] : accepted_) {
      if (queue_.Now() < accepted.first + kTicketBound) continue;
      const auto& known = i.reducer->agreed().accepted();
      auto it = known.find(number);
      if (it != known.end() && it->second.encoded == accepted.second) continue;
      if (settings_.mutant == mutation::kIgnoreOut) continue;
      witness_.Broken(rule::kTicketsInForce, queue_.Now(),
                      i.settings.self.value + " lacks ticket " +
                          std::to_string(number.value));
    }
  }
}

}  // namespace lavendertack::testing
