#include "Entry/withdrawal.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Control instances that send no update for this long, which is three request
// intervals of an entry instance, don't answer.
constexpr milliseconds kControlsTimeout{1500};
// Messages of the other data centre at a control instance elsewhere show that
// it is reachable for this long. They are known here after 1 s at most.
constexpr milliseconds kMessageTimeout{1250};
// The same as kControlsTimeout if openings fail too: more than one request
// interval.
constexpr milliseconds kControlsTimeoutWithOpenings{750};
// Openings fail if at least this many in a row went unanswered, to at least
// this many targets, and none was answered for this long. Fewer may be lost
// packets, and fewer targets may have crashed.
constexpr std::uint32_t kMinUnanswered = 4;
constexpr std::size_t kMinUnansweredTargets = 3;
constexpr milliseconds kMinOpeningsSilence{500};
// The same if control instances answer. Under overload, handshakes take more
// than a second, but some openings are still answered.
constexpr std::uint32_t kMinUnansweredAlone = 8;
constexpr milliseconds kMinOpeningsSilenceAlone{1500};
// An answered opening shows that a data centre is reachable for this long.
constexpr milliseconds kAnswerValidity{1500};
// Unanswered openings don't count after this time without another one. Longer
// than a caller's attempt to connect, which takes 1.4 s.
constexpr milliseconds kUnansweredValidity{3000};
// Observations of a data centre without openings are erased after this time.
constexpr milliseconds kOpeningsRetention{10'000};
// Time for which an open data centre must stay reachable before the instance is
// ready again. Longer than `kControlsTimeout`, so that a single update that was
// delayed by a pause or a partition isn't enough.
constexpr milliseconds kMinReturnTime{3000};
// It doubles with each loss within the window, up to the maximum: each change
// of readiness moves the callers of a whole data centre.
constexpr milliseconds kMaxReturnTime{24'000};
constexpr milliseconds kRepeatedLossWindow{60'000};
// Time between two openings that are forwarded as probes.
constexpr milliseconds kProbeInterval{250};
// The instance reviews its state every 50 ms; a gap longer than this means that
// the process was suspended.
constexpr milliseconds kSuspensionThreshold{250};

milliseconds ToMilliseconds(process_clock::duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

const char* ToString(withdrawal_phase phase) {
  switch (phase) {
    case withdrawal_phase::kStarting:
      return "starting";
    case withdrawal_phase::kServing:
      return "serving";
    case withdrawal_phase::kUnreachable:
      return "unreachable";
    case withdrawal_phase::kReturning:
      return "returning";
  }
  return "unknown";
}

const char* ToString(withdrawal_cause cause) {
  switch (cause) {
    case withdrawal_cause::kControlsSilent:
      return "controls_silent";
    case withdrawal_cause::kOpeningsUnanswered:
      return "openings_unanswered";
    case withdrawal_cause::kControlsAndOpenings:
      return "controls_and_openings";
    case withdrawal_cause::kControlsAnswered:
      return "controls_answered";
    case withdrawal_cause::kOpeningsAnswered:
      return "openings_answered";
    case withdrawal_cause::kNotClosed:
      return "not_closed";
  }
  return "unknown";
}

std::optional<withdrawal_change> withdrawal::Reduce(
    instant now, const withdrawal_event& event) {
  if (const auto* outcome = std::get_if<opening_outcome>(&event)) {
    RecordOpening(now, *outcome);
    return std::nullopt;
  }
  return Review(now, std::get<followed_state>(event));
}

void withdrawal::RecordOpening(instant now, const opening_outcome& outcome) {
  // A suspension that the next review will detect.
  if (!last_review_ || now - *last_review_ > kSuspensionThreshold) return;
  if (outcome.data_centre == own_ || outcome.sent < observed_since_) return;
  openings& seen = openings_[outcome.data_centre];
  if (outcome.answered) {
    seen.last_answered = now;
    seen.last_answered_sent = outcome.sent;
    seen.unanswered = 0;
    seen.targets.clear();
    return;
  }
  if (now - seen.last_unanswered > kUnansweredValidity) {
    seen.unanswered = 0;
    seen.targets.clear();
  }
  seen.last_unanswered = now;
  ++seen.unanswered;
  if (seen.targets.size() < kMinUnansweredTargets) {
    seen.targets.insert(outcome.target);
  }
}

void withdrawal::DiscardEvidence(instant now) {
  observed_since_ = now;
  resumed_at_ = now;
  openings_.clear();
  // Updates that arrived during the suspension are yet to be read. They must
  // not end the start or the time until the return.
  if (phase_ == withdrawal_phase::kStarting) {
    phase_ = withdrawal_phase::kReturning;
    return_after_ = kMinReturnTime;
  }
  if (phase_ == withdrawal_phase::kReturning) changed_at_ = now;
}

std::map<data_centre_name, data_centre_contact> withdrawal::OpenDataCentres(
    const followed_state& state) const {
  std::map<data_centre_name, data_centre_contact> open;
  bool any_targets = false;
  for (const auto& [name, contact] : state.others) {
    if (name.value.empty() || state.closed.contains(name)) continue;
    open[name] = contact;
    any_targets = any_targets || contact.has_targets;
  }
  if (any_targets) {
    std::erase_if(open,
                  [](const auto& entry) { return !entry.second.has_targets; });
  }
  for (const data_centre_name& name : lost_) {
    if (state.closed.contains(name)) continue;
    const auto known = state.others.find(name);
    open.try_emplace(name, known == state.others.end() ? data_centre_contact{}
                                                       : known->second);
  }
  if (!open.empty()) return open;
  // After a start, the data centre of a control instance isn't known before its
  // first update. It may be one of the closed ones that aren't known otherwise.
  const auto unknown = state.others.find({});
  const bool all_closed_known = std::all_of(
      state.closed.begin(), state.closed.end(), [&](const auto& name) {
        return name == own_ || state.others.contains(name);
      });
  const bool any_other_known =
      state.others.size() > (unknown == state.others.end() ? 0U : 1U);
  if (unknown != state.others.end() && all_closed_known && !any_other_known) {
    open.insert(*unknown);
  }
  return open;
}

const withdrawal::openings& withdrawal::OpeningsOf(
    const data_centre_name& name) const {
  static const openings none;
  auto it = openings_.find(name);
  return it == openings_.end() ? none : it->second;
}

milliseconds withdrawal::ControlsSilent(
    instant now, const data_centre_contact& contact) const {
  return ToMilliseconds(
      now - std::max(observed_since_, contact.last_update.value_or(instant{})));
}

milliseconds withdrawal::OpeningsSilent(instant now,
                                        const openings& seen) const {
  return ToMilliseconds(
      now - std::max(observed_since_, seen.last_answered.value_or(instant{})));
}

std::optional<withdrawal_cause> withdrawal::LossOf(
    instant now, const data_centre_name& name,
    const data_centre_contact& contact) const {
  const openings& seen = OpeningsOf(name);
  const milliseconds openings_silent = OpeningsSilent(now, seen);
  const bool openings_fail = seen.unanswered >= kMinUnanswered &&
                             seen.targets.size() >= kMinUnansweredTargets &&
                             now - seen.last_unanswered < kUnansweredValidity &&
                             openings_silent >= kMinOpeningsSilence;
  if (openings_fail && seen.unanswered >= kMinUnansweredAlone &&
      openings_silent >= kMinOpeningsSilenceAlone) {
    return ControlsSilent(now, contact) < kControlsTimeoutWithOpenings
               ? withdrawal_cause::kOpeningsUnanswered
               : withdrawal_cause::kControlsAndOpenings;
  }
  // Targets of a data centre without control instances prove nothing by being
  // known, but neither does silence.
  if (!contact.has_controls) {
    if (contact.has_targets) return std::nullopt;
    return withdrawal_cause::kControlsSilent;
  }
  const milliseconds controls_silent = ControlsSilent(now, contact);
  if (openings_fail && controls_silent >= kControlsTimeoutWithOpenings) {
    return withdrawal_cause::kControlsAndOpenings;
  }
  const bool answered =
      seen.last_answered && now - *seen.last_answered < kAnswerValidity;
  const bool is_active =
      contact.last_message && now - *contact.last_message < kMessageTimeout;
  if (controls_silent >= kControlsTimeout && !is_active && !answered) {
    return withdrawal_cause::kControlsSilent;
  }
  return std::nullopt;
}

std::optional<withdrawal_cause> withdrawal::AnswerOf(
    instant now, const data_centre_name& name,
    const data_centre_contact& contact) const {
  const instant since = std::max(changed_at_, resumed_at_);
  const openings& seen = OpeningsOf(name);
  if (seen.last_answered && seen.last_answered_sent > since &&
      now - *seen.last_answered < kAnswerValidity) {
    return withdrawal_cause::kOpeningsAnswered;
  }
  if (!contact.last_update || *contact.last_update <= since ||
      now - *contact.last_update >= kControlsTimeout) {
    return std::nullopt;
  }
  // The control instances answered all the time. Without callers no opening can
  // show that the targets are back, so they are tried after some time.
  if (phase_ == withdrawal_phase::kUnreachable &&
      lost_by_ == withdrawal_cause::kOpeningsUnanswered &&
      now - changed_at_ < return_after_) {
    return std::nullopt;
  }
  return withdrawal_cause::kControlsAnswered;
}

std::optional<withdrawal_change> withdrawal::Review(
    instant now, const followed_state& state) {
  if (!last_review_) {
    observed_since_ = now;
  } else if (now - *last_review_ > kSuspensionThreshold) {
    DiscardEvidence(now);
  }
  last_review_ = now;
  std::erase_if(openings_, [now](const auto& entry) {
    const openings& seen = entry.second;
    return now - std::max(seen.last_unanswered,
                          seen.last_answered.value_or(instant{})) >
           kOpeningsRetention;
  });
  const auto open = OpenDataCentres(state);
  if (!state.closed.contains(own_) || open.empty()) {
    lost_.clear();
    if (phase_ == withdrawal_phase::kServing) return std::nullopt;
    return ChangeTo(now, withdrawal_phase::kServing,
                    withdrawal_cause::kNotClosed, open);
  }
  std::optional<withdrawal_cause> loss;
  std::optional<withdrawal_cause> answer;
  bool any_reachable = false;
  for (const auto& [name, contact] : open) {
    if (auto cause = LossOf(now, name, contact)) {
      // Control instances of one data centre that answer decide how evidence of
      // the return is judged.
      if (!loss || *cause == withdrawal_cause::kOpeningsUnanswered) {
        loss = cause;
      }
    } else {
      any_reachable = true;
    }
    if (auto cause = AnswerOf(now, name, contact)) answer = cause;
  }
  switch (phase_) {
    case withdrawal_phase::kStarting:
    case withdrawal_phase::kServing:
    case withdrawal_phase::kReturning:
      if (!any_reachable) {
        return ChangeTo(now, withdrawal_phase::kUnreachable, *loss, open);
      }
      if (phase_ == withdrawal_phase::kServing || !answer) return std::nullopt;
      if (phase_ == withdrawal_phase::kReturning &&
          now - changed_at_ < return_after_) {
        return std::nullopt;
      }
      return ChangeTo(now, withdrawal_phase::kServing, *answer, open);
    case withdrawal_phase::kUnreachable:
      if (!answer) return std::nullopt;
      return ChangeTo(now, withdrawal_phase::kReturning, *answer, open);
  }
  return std::nullopt;
}

withdrawal_change withdrawal::ChangeTo(
    instant now, withdrawal_phase to, withdrawal_cause cause,
    const std::map<data_centre_name, data_centre_contact>& open) {
  withdrawal_change change{.from = phase_,
                           .to = to,
                           .cause = cause,
                           .open_data_centres = open.size()};
  bool first = true;
  for (const auto& [name, contact] : open) {
    const openings& seen = OpeningsOf(name);
    const milliseconds controls_silent = ControlsSilent(now, contact);
    const milliseconds openings_silent = OpeningsSilent(now, seen);
    if (!first &&
        std::min(controls_silent, openings_silent) >=
            std::min(change.controls_silent, change.openings_silent)) {
      continue;
    }
    first = false;
    change.controls_silent = controls_silent;
    change.openings_silent = openings_silent;
    change.unanswered_openings = seen.unanswered;
    change.unanswered_targets = seen.targets.size();
  }
  if (to == withdrawal_phase::kUnreachable) {
    ++counts_[cause];
    lost_by_ = cause;
    const bool is_repeated =
        last_loss_ && now - *last_loss_ < kRepeatedLossWindow;
    return_after_ = is_repeated ? std::min(return_after_ * 2, kMaxReturnTime)
                                : kMinReturnTime;
    last_loss_ = now;
    for (const auto& [name, contact] : open) {
      if (!name.value.empty()) lost_.insert(name);
    }
  } else {
    // The openings that led to the loss don't count against the return.
    for (auto& [name, seen] : openings_) {
      seen.unanswered = 0;
      seen.targets.clear();
    }
  }
  if (to == withdrawal_phase::kServing) lost_.clear();
  change.return_after = return_after_;
  phase_ = to;
  changed_at_ = now;
  return change;
}

bool withdrawal::RefuseOpening(instant now) {
  if (phase_ != withdrawal_phase::kUnreachable) return false;
  if (now - last_probe_ < kProbeInterval) return true;
  last_probe_ = now;
  return false;
}

}  // namespace lavendertack
