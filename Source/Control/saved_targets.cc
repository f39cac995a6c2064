#include "Control/saved_targets.h"

#include <algorithm>

#include "Following/target_codec.h"

namespace lavendertack {
namespace {

// Time after a restart in which restored targets must report again. Their calls
// failed while this instance was down, and targets wait longer after each
// failure.
constexpr milliseconds kRestoredTargetGrace{10'000};
// Minimum time between two writes.
constexpr milliseconds kSaveInterval{3000};
// The same if a target has ended or drains: a process that is killed before the
// write would restore it as ready.
constexpr milliseconds kWithdrawalSaveInterval{200};
// Highest rate of the writes. With 22,000 targets the file has 2 MB.
constexpr std::size_t kMaxSavedBytesPerMs = 1000;

// Whether the report of a target shows to this instance that the target is
// alive, although it isn't sent to this instance.
bool IsAlive(instant now, const known_target& target) {
  if (target.IsTerminated() || !target.IsReporting(now)) return false;
  // A report that another instance restored doesn't show it.
  return std::any_of(target.reported_by.begin(), target.reported_by.end(),
                     [&](const auto& source) {
                       return source.second > now &&
                              !target.restored_by.contains(source.first);
                     });
}

// Whether the registry knows more about the target than other control
// instances do.
bool IsRegistered(const target_registry& own, const target_report& report) {
  auto it = own.targets().find(report.id);
  return it != own.targets().end() &&
         it->second.report.phase != target_phase::kSilent &&
         it->second.report.version >= report.version;
}

}  // namespace

std::size_t saved_targets::Restore(instant now,
                                   const wire::target_snapshot& saved,
                                   target_registry* own) {
  std::size_t skipped = 0;
  for (const wire::target_record& record : saved.targets()) {
    if (auto report = DecodeTarget(record)) {
      own->Restore(now, *report, now + kRestoredTargetGrace);
    } else {
      ++skipped;
    }
  }
  saved_revision_ = own->revision();
  // What is known right after the start is less than what is saved.
  last_save_at_ = now;
  peer_targets_until_ = now + kRestoredTargetGrace;
  for (const wire::target_record& record : saved.peer_targets()) {
    if (auto report = DecodeTarget(record)) {
      report->restored = true;
      const instant cold_until = now + report->cold_left;
      peer_targets_.push_back(
          {.report = *std::move(report), .cold_until = cold_until});
    } else {
      ++skipped;
    }
  }
  return skipped;
}

void saved_targets::RecordPeerChange(target_phase phase) {
  has_other_change_ = true;
  if (phase != target_phase::kReady) has_unsaved_withdrawal_ = true;
}

bool saved_targets::IsDue(instant now, const target_registry& own) const {
  const bool has_changed = own.revision() != saved_revision_ ||
                           has_other_change_ ||
                           (saved_cold_until_ && now >= *saved_cold_until_);
  if (!has_changed) return false;
  if (!last_save_at_) return true;
  const milliseconds transfer(last_save_bytes_ / kMaxSavedBytesPerMs);
  return now - *last_save_at_ >=
         std::max(transfer, has_unsaved_withdrawal_ ? kWithdrawalSaveInterval
                                                    : kSaveInterval);
}

std::optional<wire::target_snapshot> saved_targets::TakeDue(
    instant now, const target_registry& own, const target_view& peers) {
  if (!IsDue(now, own)) return std::nullopt;
  last_save_at_ = now;
  has_unsaved_withdrawal_ = false;
  has_other_change_ = false;
  saved_revision_ = own.revision();
  saved_cold_until_.reset();
  const auto note_cold_start = [&](instant cold_until) {
    if (cold_until <= now) return;
    saved_cold_until_ = std::max(cold_until, saved_cold_until_.value_or(now));
  };
  wire::target_snapshot save;
  for (const auto& [id, target] : own.targets()) {
    if (target.report.phase == target_phase::kSilent) continue;
    *save.add_targets() = EncodeTarget(now, target);
    note_cold_start(target.cold_until);
  }
  for (const auto& [id, target] : peers.targets()) {
    if (!IsAlive(now, *target) || IsRegistered(own, target->report)) continue;
    *save.add_peer_targets() = EncodeTarget(
        now, {.report = target->report, .cold_until = target->cold_until});
    note_cold_start(target->cold_until);
  }
  last_save_bytes_ = save.ByteSizeLong();
  return save;
}

const std::vector<registered_target>& saved_targets::PeerTargets(instant now) {
  if (now >= peer_targets_until_) peer_targets_.clear();
  return peer_targets_;
}

}  // namespace lavendertack
