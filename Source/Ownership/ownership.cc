#include "Ownership/ownership.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
namespace {

// Number of low bits of an epoch that hold the incarnation. The bits above hold
// the log index of the roster.
constexpr unsigned kIncarnationBits = 38;
// Number of low bits of a lease request or claim round number that count within
// one incarnation. The bits above hold the incarnation.
constexpr unsigned kCounterBits = 24;
// Remaining validity of the lease below which its renewal is also requested
// from the control replicas.
constexpr milliseconds kReplicaRequestThreshold{1500};

}  // namespace

owner_epoch MakeOwnerEpoch(log_index roster_index, std::uint64_t incarnation) {
  CHECK_LT(incarnation, std::uint64_t{1} << kIncarnationBits)
      << "the incarnation is too large for an owner epoch";
  CHECK_LT(roster_index.value, std::uint64_t{1} << (64 - kIncarnationBits))
      << "the log index is too large for an owner epoch";
  return owner_epoch{(roster_index.value << kIncarnationBits) | incarnation};
}

ownership::ownership(ownership_settings settings)
    : settings_(std::move(settings)),
      lease_(lease_sequence{settings_.incarnation << kCounterBits}),
      last_round_(settings_.incarnation << kCounterBits) {}

std::vector<ownership_effect> ownership::Reduce(instant now,
                                                const ownership_view& view,
                                                const ownership_event& event) {
  now_ = now;
  view_ = &view;
  effects_.clear();
  ApplyRosterChange();
  DrainLostServices();
  ReleaseDrainedServices();
  if (const auto* received = std::get_if<ownership_received>(&event)) {
    Receive(*received);
  } else {
    RenewLease();
  }
  ClaimServices();
  view_ = nullptr;
  return std::move(effects_);
}

bool ownership::IsActiveOwner(instant now, const service_name& service) const {
  auto it = held_.find(service);
  return it != held_.end() && !it->second.drain_deadline && lease_.IsValid(now);
}

void ownership::Receive(const ownership_received& event) {
  const wire::ownership_message& message = event.message;
  const data_centre_name data_centre{message.data_centre()};
  const roster& applied_roster = view_->rosters.Find(data_centre);
  if (message.has_request()) {
    // A grant is valid for one roster only: an instance that a roster change
    // has removed gets no grant from instances that have applied the change.
    if (!view_->current || !applied_roster.Contains(event.from) ||
        applied_roster.index.value != message.roster_index()) {
      return;
    }
    wire::ownership_message grant = NewMessage(data_centre);
    grant.mutable_grant()->set_sequence(message.request().sequence());
    effects_.emplace_back(send_ownership_message{event.from, std::move(grant)});
  } else if (message.has_claim()) {
    SendAnswer(event.from, message.claim(), data_centre);
  } else if (message.has_grant()) {
    if (data_centre != settings_.data_centre ||
        message.roster_index() != roster_index_.value) {
      return;
    }
    lease_.RecordGrant(event.from, lease_sequence{message.grant().sequence()});
    lease_.Extend(Quorums());
  } else if (message.has_answer() && round_) {
    round_->Receive(event.from, message);
  }
}

void ownership::SendAnswer(const instance_name& to,
                           const wire::ownership_claim& claim,
                           const data_centre_name& data_centre) {
  if (!view_->current) return;
  wire::ownership_message message = NewMessage(data_centre);
  auto* answer = message.mutable_answer();
  answer->set_round(claim.round());
  *answer->mutable_asked() = claim.services();
  for (const std::string& service : claim.services()) {
    if (held_.contains(service_name{service})) answer->add_held(service);
  }
  effects_.emplace_back(send_ownership_message{to, std::move(message)});
}

void ownership::ApplyRosterChange() {
  const roster& own_roster = OwnRoster();
  CHECK(own_roster.index >= roster_index_) << "the roster index decreased";
  if (own_roster.index == roster_index_) return;
  roster_index_ = own_roster.index;
  round_.reset();
  fence_start_.reset();
  lease_.ResetForNewRoster();
  last_renewal_.reset();
  if (!own_roster.Contains(settings_.self)) lease_.Revoke();
  for (const instance_name& name : own_roster.instances) fenced_.erase(name);
}

void ownership::DrainLostServices() {
  for (auto& [service, held] : held_) {
    if (held.drain_deadline || IsAssigned(service)) continue;
    held.drain_deadline = now_ + kMaxDrainTime;
    effects_.emplace_back(ownership_draining{service});
  }
}

void ownership::ReleaseDrainedServices() {
  for (auto it = held_.begin(); it != held_.end();) {
    const auto& [service, held] = *it;
    const bool ended = held.drain_deadline && (view_->drained(service) ||
                                               now_ >= *held.drain_deadline);
    if (!ended) {
      ++it;
      continue;
    }
    effects_.emplace_back(ownership_released{service});
    it = held_.erase(it);
  }
}

void ownership::RenewLease() {
  const roster& own_roster = OwnRoster();
  if (!view_->current || !own_roster.Contains(settings_.self)) return;
  if (held_.empty() && PendingServices().empty()) return;
  if (last_renewal_ && now_ - *last_renewal_ < kRenewInterval) return;
  last_renewal_ = now_;
  const lease_sequence sequence = lease_.StartRequest(now_);
  std::set<instance_name> recipients = OtherMembers();
  if (!lease_.IsValid(now_ + kReplicaRequestThreshold)) {
    recipients.insert(settings_.replicas.begin(), settings_.replicas.end());
    recipients.erase(settings_.self);
  }
  for (const instance_name& name : recipients) {
    wire::ownership_message message = NewMessage(settings_.data_centre);
    message.mutable_request()->set_sequence(sequence.value);
    effects_.emplace_back(send_ownership_message{name, std::move(message)});
  }
  lease_.RecordGrant(settings_.self, sequence);
  lease_.Extend(Quorums());
}

void ownership::ClaimServices() {
  const std::set<service_name> pending = PendingServices();
  if (pending.empty() || !view_->current) return;
  if (!round_) {
    round_.emplace(claim_settings{.self = settings_.self,
                                  .data_centre = settings_.data_centre,
                                  .roster_index = roster_index_,
                                  .replicas = settings_.replicas,
                                  .round = ++last_round_});
  }
  std::set<instance_name> recipients = OtherMembers();
  recipients.merge(UnfencedRemoved());
  for (send_ownership_message& claim :
       round_->Tick(now_, recipients, pending)) {
    effects_.emplace_back(std::move(claim));
  }
  UpdateFencing();
  if (!lease_.IsValid(now_)) return;
  for (const service_name& service : pending) {
    if (!IsReleasedByOthers(service)) continue;
    const owner_epoch epoch =
        MakeOwnerEpoch(roster_index_, settings_.incarnation);
    held_[service] = {.epoch = epoch, .drain_deadline = {}};
    effects_.emplace_back(ownership_acquired{service, epoch});
  }
}

void ownership::UpdateFencing() {
  const std::set<instance_name> others = OtherMembers();
  const bool applied_by_all =
      round_->replica_majority_applied() &&
      std::all_of(others.begin(), others.end(), [&](const instance_name& name) {
        return round_->HasApplied(name);
      });
  if (!applied_by_all) return;
  if (!fence_start_) fence_start_ = now_;
  for (const instance_name& name : UnfencedRemoved()) {
    // A removed instance that answers may still be draining. The lease of one
    // that doesn't answer has expired after kFenceWait.
    const milliseconds wait =
        round_->HasApplied(name) ? kFenceWait + kMaxDrainTime : kFenceWait;
    if (now_ - *fence_start_ >= wait) fenced_.insert(name);
  }
}

bool ownership::IsReleasedByOthers(const service_name& service) const {
  if (!fence_start_) return false;
  std::set<instance_name> blocking = OtherMembers();
  blocking.merge(UnfencedRemoved());
  return std::all_of(blocking.begin(), blocking.end(),
                     [&](const instance_name& name) {
                       return round_->HasReleased(name, service);
                     });
}

bool ownership::IsAssigned(const service_name& service) const {
  return view_->services.contains(service) &&
         view_->rosters.OwnerOf(service, settings_.data_centre) ==
             settings_.self;
}

std::set<service_name> ownership::PendingServices() const {
  std::set<service_name> result;
  for (const service_name& service : view_->services) {
    if (!held_.contains(service) && IsAssigned(service)) result.insert(service);
  }
  return result;
}

std::set<instance_name> ownership::OtherMembers() const {
  std::set<instance_name> others = OwnRoster().instances;
  others.erase(settings_.self);
  return others;
}

std::set<instance_name> ownership::UnfencedRemoved() const {
  std::set<instance_name> unfenced = OwnRoster().removed;
  for (const instance_name& name : fenced_) unfenced.erase(name);
  return unfenced;
}

std::vector<lease_quorum> ownership::Quorums() const {
  const std::set<instance_name>& members = OwnRoster().instances;
  return {{.granters = members, .required = members.size() / 2 + 1},
          {.granters = settings_.replicas,
           .required = settings_.replicas.size() / 2 + 1}};
}

const roster& ownership::OwnRoster() const {
  return view_->rosters.Find(settings_.data_centre);
}

wire::ownership_message ownership::NewMessage(
    const data_centre_name& name) const {
  wire::ownership_message message;
  message.set_data_centre(name.value);
  message.set_roster_index(view_->rosters.Find(name).index.value);
  return message;
}

}  // namespace lavendertack
