#include "Ownership/ownership.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
namespace {

// An epoch holds the index of the roster entry above the incarnation.
constexpr unsigned kIncarnationBits = 38;
// Requests and rounds of one life; a later life starts above them.
constexpr unsigned kCounterBits = 24;
// The replicas are asked too when the lease has less than this left.
constexpr milliseconds kAskReplicasBelow{1500};

}  // namespace

owner_epoch EpochOf(log_index roster_index, std::uint64_t incarnation) {
  CHECK_LT(incarnation, std::uint64_t{1} << kIncarnationBits)
      << "the incarnation doesn't fit an epoch";
  CHECK_LT(roster_index.value, std::uint64_t{1} << (64 - kIncarnationBits))
      << "the log index doesn't fit an epoch";
  return owner_epoch{(roster_index.value << kIncarnationBits) | incarnation};
}

ownership::ownership(ownership_settings settings)
    : settings_(std::move(settings)),
      lease_(lease_sequence{settings_.incarnation << kCounterBits}),
      rounds_(settings_.incarnation << kCounterBits) {}

std::vector<ownership_effect> ownership::Reduce(instant now,
                                                const ownership_view& view,
                                                const ownership_event& event) {
  now_ = now;
  view_ = &view;
  effects_.clear();
  FollowRoster();
  CloseTenures();
  EndDrained();
  if (const auto* received = std::get_if<ownership_received>(&event)) {
    Receive(*received);
  } else {
    RenewLease();
  }
  Claim();
  view_ = nullptr;
  return std::move(effects_);
}

bool ownership::IsActiveOwner(instant now, const service_name& service) const {
  auto it = tenures_.find(service);
  return it != tenures_.end() && !it->second.closing_until &&
         lease_.IsValid(now);
}

void ownership::Receive(const ownership_received& event) {
  const wire::ownership_message& message = event.message;
  const data_centre_name place{message.data_centre()};
  const roster& known = view_->rosters.Find(place);
  if (message.has_request()) {
    // A grant counts for one roster only: an owner that an entry has removed
    // gets none from those who have applied that entry.
    if (!view_->current || !known.Contains(event.from) ||
        known.index.value != message.roster_index()) {
      return;
    }
    wire::ownership_message grant = NewMessage(place);
    grant.mutable_grant()->set_sequence(message.request().sequence());
    effects_.emplace_back(send_ownership_message{event.from, std::move(grant)});
  } else if (message.has_claim()) {
    Answer(event.from, message.claim(), place);
  } else if (message.has_grant()) {
    if (place != settings_.data_centre ||
        message.roster_index() != followed_.value) {
      return;
    }
    lease_.Granted(event.from, lease_sequence{message.grant().sequence()});
    lease_.Extend(Quorums());
  } else if (message.has_answer() && round_) {
    round_->Receive(event.from, message);
  }
}

void ownership::Answer(const instance_name& to,
                       const wire::ownership_claim& claim,
                       const data_centre_name& data_centre) {
  if (!view_->current) return;
  wire::ownership_message message = NewMessage(data_centre);
  auto* answer = message.mutable_answer();
  answer->set_round(claim.round());
  *answer->mutable_asked() = claim.services();
  for (const std::string& service : claim.services()) {
    if (tenures_.contains(service_name{service})) answer->add_held(service);
  }
  effects_.emplace_back(send_ownership_message{to, std::move(message)});
}

void ownership::FollowRoster() {
  const roster& mine = MyRoster();
  CHECK(mine.index >= followed_) << "the roster went back";
  if (mine.index == followed_) return;
  followed_ = mine.index;
  round_.reset();
  fence_start_.reset();
  lease_.StartRoster();
  last_renewal_.reset();
  if (!mine.Contains(settings_.self)) lease_.End();
  for (const instance_name& name : mine.instances) fenced_.erase(name);
}

void ownership::CloseTenures() {
  for (auto& [service, held] : tenures_) {
    if (held.closing_until || IsMine(service)) continue;
    held.closing_until = now_ + kDrainBound;
    effects_.emplace_back(ownership_draining{service});
  }
}

void ownership::EndDrained() {
  for (auto it = tenures_.begin(); it != tenures_.end();) {
    const auto& [service, held] = *it;
    const bool ended = held.closing_until &&
                       (view_->drained(service) || now_ >= *held.closing_until);
    if (!ended) {
      ++it;
      continue;
    }
    effects_.emplace_back(ownership_released{service});
    it = tenures_.erase(it);
  }
}

void ownership::RenewLease() {
  const roster& mine = MyRoster();
  if (!view_->current || !mine.Contains(settings_.self)) return;
  if (tenures_.empty() && Waiting().empty()) return;
  if (last_renewal_ && now_ - *last_renewal_ < kRenewInterval) return;
  last_renewal_ = now_;
  const lease_sequence sequence = lease_.Request(now_);
  std::set<instance_name> asked = Others();
  if (!lease_.IsValid(now_ + kAskReplicasBelow)) {
    asked.insert(settings_.replicas.begin(), settings_.replicas.end());
    asked.erase(settings_.self);
  }
  for (const instance_name& name : asked) {
    wire::ownership_message message = NewMessage(settings_.data_centre);
    message.mutable_request()->set_sequence(sequence.value);
    effects_.emplace_back(send_ownership_message{name, std::move(message)});
  }
  lease_.Granted(settings_.self, sequence);
  lease_.Extend(Quorums());
}

void ownership::Claim() {
  const std::set<service_name> waiting = Waiting();
  if (waiting.empty() || !view_->current) return;
  if (!round_) {
    round_.emplace(claim_settings{.self = settings_.self,
                                  .data_centre = settings_.data_centre,
                                  .roster_index = followed_,
                                  .replicas = settings_.replicas,
                                  .round = ++rounds_});
  }
  std::set<instance_name> asked = Others();
  asked.merge(Unfenced());
  for (send_ownership_message& question : round_->Tick(now_, asked, waiting)) {
    effects_.emplace_back(std::move(question));
  }
  PassFence();
  if (!lease_.IsValid(now_)) return;
  for (const service_name& service : waiting) {
    if (!IsClear(service)) continue;
    const owner_epoch epoch = EpochOf(followed_, settings_.incarnation);
    tenures_[service] = {.epoch = epoch, .closing_until = {}};
    effects_.emplace_back(ownership_acquired{service, epoch});
  }
}

void ownership::PassFence() {
  const std::set<instance_name> others = Others();
  const bool known_by_all =
      round_->replicas_done() &&
      std::all_of(others.begin(), others.end(), [&](const instance_name& name) {
        return round_->HasApplied(name);
      });
  if (!known_by_all) return;
  if (!fence_start_) fence_start_ = now_;
  for (const instance_name& name : Unfenced()) {
    // One that answers drains, and is waited for; a silent one can't have a
    // lease any more.
    const milliseconds wait =
        round_->HasApplied(name) ? kFenceWait + kDrainBound : kFenceWait;
    if (now_ - *fence_start_ >= wait) fenced_.insert(name);
  }
}

bool ownership::IsClear(const service_name& service) const {
  if (!fence_start_) return false;
  std::set<instance_name> blocking = Others();
  blocking.merge(Unfenced());
  return std::all_of(blocking.begin(), blocking.end(),
                     [&](const instance_name& name) {
                       return round_->HasCleared(name, service);
                     });
}

bool ownership::IsMine(const service_name& service) const {
  return view_->services.contains(service) &&
         view_->rosters.OwnerOf(service, settings_.data_centre) ==
             settings_.self;
}

std::set<service_name> ownership::Waiting() const {
  std::set<service_name> waiting;
  for (const service_name& service : view_->services) {
    if (!tenures_.contains(service) && IsMine(service)) waiting.insert(service);
  }
  return waiting;
}

std::set<instance_name> ownership::Others() const {
  std::set<instance_name> others = MyRoster().instances;
  others.erase(settings_.self);
  return others;
}

std::set<instance_name> ownership::Unfenced() const {
  std::set<instance_name> unfenced = MyRoster().removed;
  for (const instance_name& name : fenced_) unfenced.erase(name);
  return unfenced;
}

std::vector<lease_quorum> ownership::Quorums() const {
  const std::set<instance_name>& peers = MyRoster().instances;
  return {{.granters = peers, .needed = peers.size() / 2 + 1},
          {.granters = settings_.replicas,
           .needed = settings_.replicas.size() / 2 + 1}};
}

const roster& ownership::MyRoster() const {
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
