#include "Node/ticket_relay.h"

namespace lavendertack {

std::vector<relay_effect> ticket_relay::Submit(
    instant now, admin_request_id request, const change_ticket& ticket,
    const std::vector<instance_name>& replicas) {
  if (replicas.empty()) return {answer_ticket{request, ticket_undecided{}}};
  const std::uint64_t id = next_id_++;
  pending_ticket& added = pending_[id];
  added = {.request = request,
           .entry = EncodeTicket(ticket),
           .attempts = 0,
           .next_attempt_at = now,
           .deadline = now + kRelayTimeout};
  return {SendToNextReplica(now, id, &added, replicas)};
}

relay_effect ticket_relay::SendToNextReplica(
    instant now, std::uint64_t id, pending_ticket* ticket,
    const std::vector<instance_name>& replicas) {
  wire::ticket_ask message;
  message.set_id(id);
  message.set_entry(ticket->entry);
  ticket->next_attempt_at = now + kRelayAttemptTimeout;
  const std::size_t index = ticket->attempts++ % replicas.size();
  return relay_ticket{replicas[index], std::move(message)};
}

std::vector<relay_effect> ticket_relay::Receive(
    instant now, const wire::ticket_reply& reply,
    const std::vector<instance_name>& replicas) {
  auto it = pending_.find(reply.id());
  // Already answered, or sent before a restart.
  if (it == pending_.end()) return {};
  const ticket_outcome outcome = DecodeOutcome(reply);
  if (std::holds_alternative<ticket_undecided>(outcome) && !replicas.empty()) {
    return {SendToNextReplica(now, it->first, &it->second, replicas)};
  }
  const admin_request_id request = it->second.request;
  pending_.erase(it);
  return {answer_ticket{request, outcome}};
}

std::vector<relay_effect> ticket_relay::Tick(
    instant now, const std::vector<instance_name>& replicas) {
  std::vector<relay_effect> effects;
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& [id, ticket] = *it;
    if (ticket.deadline <= now) {
      effects.emplace_back(answer_ticket{ticket.request, ticket_undecided{}});
      it = pending_.erase(it);
      continue;
    }
    if (ticket.next_attempt_at <= now && !replicas.empty()) {
      effects.push_back(SendToNextReplica(now, id, &ticket, replicas));
    }
    ++it;
  }
  return effects;
}

wire::ticket_reply EncodeOutcome(std::uint64_t id,
                                 const ticket_outcome& outcome) {
  wire::ticket_reply reply;
  reply.set_id(id);
  const auto* result = std::get_if<ticket_result>(&outcome);
  if (result == nullptr) return reply;
  if (const auto* accepted = std::get_if<ticket_accepted>(result)) {
    reply.mutable_accepted()->set_entry(accepted->index.value);
  } else if (const auto* conflict = std::get_if<ticket_conflict>(result)) {
    reply.mutable_conflict()->set_number(conflict->number.value);
    reply.mutable_conflict()->set_entry(conflict->index.value);
  } else if (const auto* outdated = std::get_if<ticket_outdated>(result)) {
    reply.mutable_outdated()->set_newest_number(outdated->newest.value);
  } else if (const auto* invalid = std::get_if<ticket_invalid>(result)) {
    reply.mutable_invalid()->set_field(invalid->error.field);
    reply.mutable_invalid()->set_reason(invalid->error.reason);
  }
  return reply;
}

ticket_outcome DecodeOutcome(const wire::ticket_reply& reply) {
  switch (reply.outcome_case()) {
    case wire::ticket_reply::kAccepted:
      return ticket_result{ticket_accepted{{reply.accepted().entry()}}};
    case wire::ticket_reply::kConflict:
      return ticket_result{ticket_conflict{{reply.conflict().number()},
                                           {reply.conflict().entry()}}};
    case wire::ticket_reply::kOutdated:
      return ticket_result{ticket_outdated{{reply.outdated().newest_number()}}};
    case wire::ticket_reply::kInvalid:
      return ticket_result{
          ticket_invalid{{reply.invalid().field(), reply.invalid().reason()}}};
    case wire::ticket_reply::OUTCOME_NOT_SET:
      break;
  }
  return ticket_undecided{};
}

}  // namespace lavendertack
