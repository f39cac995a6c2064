#include "Forwarding/request_outcomes.h"

#include <algorithm>
#include <utility>

namespace lavendertack {
namespace {

// Size of the hash table, and so the maximum number of observed requests.
constexpr std::size_t kMaxObservedRequests = 2048;
// An answer that takes more than this multiple of the route's median is slow.
constexpr double kSlowRatio = 4;
// Shorter times count as this long: they vary with the load of this host.
constexpr double kMinUsualTimeUs = 2000;
// One extreme time counts no more than this multiple.
constexpr double kMaxSlowRatio = 20;
// An answer with less than this fraction of the route's median is too short.
constexpr double kShortAnswer = 0.5;
// A caller that leaves sooner than this doesn't show that the target fails, and
// a packet may have overtaken another one. Callers retransmit after 200 ms at
// the earliest.
constexpr milliseconds kMinWait{150};
// The first retransmission may be due to a lost packet; the second one, after
// 600 ms, shows that there is no answer.
constexpr int kMaxRetransmissions = 2;
// An answer without a further acknowledgement for this time is complete.
constexpr milliseconds kAnswerEnd{300};
// Time after which a request without any further packet is overdue.
constexpr milliseconds kMaxWait{3000};
// On a route with at least this share of promptly acknowledged answers, an
// overdue request has got no answer. On others, the answer may be acknowledged
// with the next request.
constexpr double kPromptShare = 0.9;
// Weight of one answer in the prompt share.
constexpr double kPromptStep = 0.02;
// Relative change of a median per sample, as in response_time_estimator.
constexpr double kMedianStep = 0.05;
// A median of fewer samples isn't compared with.
constexpr std::uint32_t kMinSamples = 30;
// Limits for what is kept by route and reported by target.
constexpr std::size_t kMaxRoutes = 4096;
constexpr std::size_t kMaxReportedTargets = 64;

caller_set CallerBit(const flow_key& flow) {
  // Multiplicative hash, as addresses of callers are often consecutive.
  return {1U << ((flow.caller.ip.value * 2'654'435'769U) >> 27)};
}

void Merge(caller_set from, caller_set* into) { into->value |= from.value; }

}  // namespace

const char* ToString(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kAnswered:
      return "answered";
    case request_outcome::kSlow:
      return "slow";
    case request_outcome::kTooShort:
      return "too_short";
    case request_outcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

void running_median::Add(double sample) {
  sample = std::max(1.0, sample);
  if (samples_ == 0) {
    value_ = sample;
  } else if (sample > value_) {
    value_ = std::min(sample, value_ * (1 + kMedianStep));
  } else {
    value_ = std::max(sample, value_ / (1 + kMedianStep));
  }
  if (samples_ < kMinSamples) ++samples_;
}

bool running_median::IsKnown() const { return samples_ >= kMinSamples; }

request_outcomes::request_outcomes(const target_view* targets)
    : targets_(targets), requests_(kMaxObservedRequests) {}

void request_outcomes::ObserveHandshake(const data_centre_name& data_centre,
                                        microseconds round_trip) {
  handshakes_us_[data_centre].Add(static_cast<double>(round_trip.count()));
}

void request_outcomes::Observe(instant now, const flow_packet& packet,
                               const known_target& target) {
  observed_request& request =
      requests_[std::hash<flow_key>()(packet.flow) % kMaxObservedRequests];
  const bool is_request = packet.data_bytes > 0;
  if (request.in_use && request.flow == packet.flow &&
      request.tag == packet.tag) {
    if (packet.acknowledged != request.answered_to) {
      if (!request.answered) {
        request.answered = true;
        request.timed = !is_request && !packet.resets;
        request.answer_time =
            std::chrono::duration_cast<microseconds>(now - request.sent);
      }
      request.answered_to = packet.acknowledged;
      request.last_progress = now;
    } else if (!request.answered) {
      ObserveWait(now, packet, &request);
      if (request.in_use) return;
    }
    const bool is_next = is_request && packet.sequence != request.sequence;
    if (request.in_use && (is_next || packet.resets)) {
      Conclude(&request, true);
    }
    if (!is_next) return;
  }
  if (!is_request) return;
  if (request.in_use) {
    // A request without an answer stays observed until its end is known:
    // otherwise few failures would be seen among many requests.
    if (!request.answered && now - request.sent < kMaxWait) return;
    Conclude(&request, false);
  }
  request = {.flow = packet.flow,
             .tag = target.tag,
             .sent = now,
             .sequence = packet.sequence,
             .acknowledged = packet.acknowledged,
             .answered_to = packet.acknowledged,
             .in_use = true};
}

void request_outcomes::ObserveWait(instant now, const flow_packet& packet,
                                   observed_request* request) {
  const auto waited = now - request->sent;
  if (packet.data_bytes > 0 && packet.sequence != request->sequence) {
    // The request consists of several packets.
    request->sent = now;
    request->sequence = packet.sequence;
    return;
  }
  if (packet.data_bytes > 0 && !packet.resets) {
    if (waited < kMinWait) return;
    if (++request->retransmissions < kMaxRetransmissions) return;
    ConcludeWithoutAnswer(request);
    return;
  }
  const auto usual = usual_.find(packet.flow.route);
  const bool is_patient =
      usual != usual_.end() && usual->second.time_us.IsKnown() &&
      waited > microseconds(static_cast<std::int64_t>(
                   kSlowRatio * usual->second.time_us.value()));
  if (waited >= kMinWait && is_patient) {
    ConcludeWithoutAnswer(request);
  } else if (packet.resets) {
    request->in_use = false;
  }
}

void request_outcomes::ConcludeWithoutAnswer(observed_request* request) {
  request->in_use = false;
  Count(*request, request_outcome::kNoAnswer, 0);
}

void request_outcomes::Conclude(observed_request* request, bool is_complete) {
  request->in_use = false;
  if (!request->answered) return;
  if (usual_.size() >= kMaxRoutes) usual_.clear();
  usual_answer& usual = usual_[request->flow.route];
  usual.prompt_share +=
      kPromptStep * ((request->timed ? 1.0 : 0.0) - usual.prompt_share);
  request_outcome outcome = request_outcome::kAnswered;
  double slow_ratio = 0;
  if (request->timed) {
    auto time_us = static_cast<double>(request->answer_time.count());
    const known_target* target = targets_->FindByTag(request->tag);
    if (target != nullptr) {
      const auto handshake = handshakes_us_.find(target->report.data_centre);
      if (handshake != handshakes_us_.end()) {
        time_us = std::max(1.0, time_us - handshake->second.value());
      }
    }
    const double ratio =
        time_us / std::max(kMinUsualTimeUs, usual.time_us.value());
    if (usual.time_us.IsKnown() && ratio > kSlowRatio) {
      outcome = request_outcome::kSlow;
      slow_ratio = std::min(kMaxSlowRatio, ratio);
    }
    usual.time_us.Add(time_us);
  }
  if (is_complete) {
    const auto bytes =
        static_cast<double>(request->answered_to - request->acknowledged);
    if (usual.bytes.IsKnown() && bytes < kShortAnswer * usual.bytes.value()) {
      outcome = request_outcome::kTooShort;
    }
    usual.bytes.Add(bytes);
  }
  Count(*request, outcome, slow_ratio);
}

void request_outcomes::Count(const observed_request& request,
                             request_outcome outcome, double slow_ratio) {
  ++counts_[static_cast<std::size_t>(outcome)];
  const known_target* target = targets_->FindByTag(request.tag);
  if (target == nullptr) return;
  const caller_set caller = CallerBit(request.flow);
  const bool is_reduced = target->report.weight < kFullWeight;
  if (!is_reduced) {
    outcome_total& total =
        totals_[target->report.service][target->report.data_centre];
    ++total.requests;
    Merge(caller, &total.callers);
    if (outcome == request_outcome::kAnswered) return;
  }
  auto it = by_target_.find(request.tag);
  if (it == by_target_.end()) {
    if (by_target_.size() >= kMaxReportedTargets) return;
    it = by_target_.try_emplace(request.tag).first;
  }
  target_outcomes& outcomes = it->second;
  if (is_reduced) ++outcomes.requests;
  switch (outcome) {
    case request_outcome::kAnswered:
      return;
    case request_outcome::kSlow:
      ++outcomes.slow;
      outcomes.slow_ratio += static_cast<std::uint32_t>(slow_ratio);
      break;
    case request_outcome::kTooShort:
      ++outcomes.too_short;
      break;
    case request_outcome::kNoAnswer:
      ++outcomes.no_answer;
      break;
  }
  Merge(caller, &outcomes.callers);
}

void request_outcomes::Tick(instant now) {
  for (observed_request& request : requests_) {
    if (!request.in_use) continue;
    if (request.answered) {
      if (now - request.last_progress >= kAnswerEnd) Conclude(&request, true);
    } else if (now - request.sent >= kMaxWait) {
      const auto usual = usual_.find(request.flow.route);
      const bool is_prompt =
          usual != usual_.end() && usual->second.prompt_share >= kPromptShare;
      if (is_prompt) {
        ConcludeWithoutAnswer(&request);
      } else {
        request.in_use = false;
      }
    }
  }
}

void request_outcomes::DiscardPending() {
  for (observed_request& request : requests_) request.in_use = false;
}

outcome_report request_outcomes::TakeReport() {
  outcome_report report{.targets = std::exchange(by_target_, {}), .totals = {}};
  for (auto& [service, by_data_centre] : totals_) {
    for (auto& [data_centre, total] : by_data_centre) {
      if (total.requests == 0) continue;
      report.totals[{service, data_centre}] = std::exchange(total, {});
    }
  }
  return report;
}

}  // namespace lavendertack
