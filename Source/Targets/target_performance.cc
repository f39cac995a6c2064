#include "Targets/target_performance.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace lavendertack {
namespace {

// Time between two evaluations, and the factor by which counts decay with each:
// they cover about 3 s.
constexpr milliseconds kEvaluationInterval{500};
constexpr double kDecay = 0.85;
// After a longer gap between two checks, the reports that were queued meanwhile
// don't belong to one span of time.
constexpr milliseconds kSuspensionThreshold{1000};
// Evaluations after which the previous set of callers is forgotten.
constexpr std::uint64_t kCallerSpan = 8;
// Counts below this value are erased.
constexpr double kMinCount = 0.05;
// Maximum number of targets whose outcomes are kept between two evaluations.
constexpr std::size_t kMaxObservedTargets = 8192;
constexpr std::size_t kMaxTotals = 1024;

// A target with fewer expected requests, or a service with fewer targets that
// can be compared, isn't judged.
constexpr double kMinRequests = 5;
constexpr std::size_t kMinTargets = 3;
// Quantile of the targets' shares of bad outcomes that counts as usual. Below
// the median, because half of the targets in one data centre may be bad.
constexpr double kUsualQuantile = 0.4;
// A finding needs this many bad outcomes, of this many callers unless the
// service has fewer.
constexpr double kMinBad = 5;
constexpr int kMinCallers = 3;
// A finding needs a share of bad outcomes of at least this value, and this
// multiple of the usual share.
constexpr double kMinBadShare = 0.25;
constexpr double kMinBadRatio = 4;
// A finding needs a count this many standard deviations above the usual one.
// With 10 percent of the answers late at all targets, 4 gave a false finding
// in one of 25 simulated runs of 20 s.
constexpr double kDeviations = 5;

constexpr percent kProbingWeight{2};
constexpr percent kMinSlowWeight{10};
constexpr percent kMaxSlowWeight{50};
// At most this share of the slots of a service is reduced.
constexpr double kMaxReducedShare = 0.4;
// A target that is reduced already counts as worse by this factor, so that
// equally bad targets don't take turns.
constexpr double kStability = 1.25;
// Outcomes that arrive sooner after a change of the weight may belong to the
// time before it: entry instances report once a second.
constexpr milliseconds kSettleTime{2000};
// Good outcomes that a target needs to recover by one step. At the probing
// weight fewer are required, because they take long to collect.
constexpr double kMinProbes = 8;
constexpr double kMinFailingProbes = 4;
// A smaller change of a slow target's weight is noise.
constexpr double kSimilar = 1.25;
// The weight is multiplied by this value with each step of the recovery.
constexpr std::uint32_t kRecoveryFactor = 4;
// A target that is found again within this time after its recovery began needs
// twice as many good outcomes, with each relapse up to the maximum.
constexpr milliseconds kRelapseMemory{120'000};
constexpr int kMaxRelapses = 3;
// A reduced target whose outcomes weren't reported for this long, such as in a
// service without callers, recovers by one step.
constexpr milliseconds kMaxEvidenceAge{300'000};

int CountCallers(caller_set current, caller_set previous) {
  return std::popcount(current.value | previous.value);
}

double UsualShare(std::vector<double> shares) {
  if (shares.empty()) return 0;
  const auto usual =
      shares.begin() + static_cast<std::ptrdiff_t>(
                           kUsualQuantile * static_cast<double>(shares.size()));
  std::nth_element(shares.begin(), usual, shares.end());
  return *usual;
}

// Whether `bad` of `requests` outcomes differ from the usual share by more than
// chance.
bool IsOutlier(double bad, double requests, double usual_share) {
  const double usual = usual_share * requests;
  return bad >= kMinBad && bad >= kMinBadShare * requests &&
         bad >= kMinBadRatio * usual &&
         bad >= usual + kDeviations * std::sqrt(usual + 1);
}

percent SlowWeight(double requests, double slow, double slow_ratio) {
  const double share = std::min(1.0, slow / std::max(requests, slow));
  const double ratio = slow_ratio / std::max(slow, 1.0);
  const double mean_time = 1 - share + share * std::max(ratio, 1.0);
  return {static_cast<std::uint32_t>(
      std::clamp(100 / mean_time, static_cast<double>(kMinSlowWeight.value),
                 static_cast<double>(kMaxSlowWeight.value)))};
}

}  // namespace

const char* ToString(performance_finding finding) {
  switch (finding) {
    case performance_finding::kNone:
      return "none";
    case performance_finding::kSlow:
      return "slow";
    case performance_finding::kFailing:
      return "failing";
  }
  return "unknown";
}

void target_performance::evidence::Add(const evidence& other) {
  requests += other.requests;
  slow += other.slow;
  too_short += other.too_short;
  no_answer += other.no_answer;
  slow_ratio += other.slow_ratio;
  callers.value |= other.callers.value;
  previous_callers.value |= other.previous_callers.value;
}

void target_performance::AddReport(const data_centre_name& reporter,
                                   const outcome_report& report) {
  for (const auto& [tag, outcomes] : report.targets) {
    if (evidence_.size() >= kMaxObservedTargets && !evidence_.contains(tag)) {
      continue;
    }
    evidence_[tag][reporter].Add(
        {.requests = static_cast<double>(outcomes.requests),
         .slow = static_cast<double>(outcomes.slow),
         .too_short = static_cast<double>(outcomes.too_short),
         .no_answer = static_cast<double>(outcomes.no_answer),
         .slow_ratio = static_cast<double>(outcomes.slow_ratio),
         .callers = outcomes.callers,
         .previous_callers = {}});
  }
  for (const auto& [key, total] : report.totals) {
    if (totals_.size() >= kMaxTotals && !totals_.contains(key)) continue;
    request_total& added = totals_[key][reporter];
    added.requests += total.requests;
    added.callers.value |= total.callers.value;
  }
}

bool target_performance::IsDue(instant now) {
  if (last_check_ && now - *last_check_ > kSuspensionThreshold) {
    evidence_.clear();
    totals_.clear();
  }
  last_check_ = now;
  if (now - last_evaluation_ < kEvaluationInterval) return false;
  if (!evidence_.empty() || !reduced_.empty()) return true;
  last_evaluation_ = now;
  Decay();
  return false;
}

bool target_performance::IsReduced(const target_id& id) const {
  auto it = reduced_.find(id);
  return it != reduced_.end() && it->second.weight < kFullWeight;
}

percent target_performance::WeightOf(const target_id& id,
                                     std::uint64_t started_ms) const {
  auto it = reduced_.find(id);
  return it == reduced_.end() || it->second.started_ms != started_ms
             ? kFullWeight
             : it->second.weight;
}

std::map<performance_finding, std::size_t> target_performance::ReducedTargets()
    const {
  std::map<performance_finding, std::size_t> counts{
      {performance_finding::kSlow, 0}, {performance_finding::kFailing, 0}};
  for (const auto& [id, state] : reduced_) {
    if (state.weight < kFullWeight) ++counts[state.finding];
  }
  return counts;
}

void target_performance::Decay() {
  ++evaluations_;
  const bool new_span = evaluations_ % kCallerSpan == 0;
  const auto rotate = [new_span](auto* entry) {
    if (!new_span) return;
    entry->previous_callers = entry->callers;
    entry->callers = {};
  };
  for (auto& [tag, by_reporter] : evidence_) {
    for (auto& [reporter, counts] : by_reporter) {
      for (double* count : {&counts.requests, &counts.slow, &counts.too_short,
                            &counts.no_answer, &counts.slow_ratio}) {
        *count *= kDecay;
      }
      rotate(&counts);
    }
    std::erase_if(by_reporter, [](const auto& entry) {
      return entry.second.requests + entry.second.Bad() < kMinCount;
    });
  }
  std::erase_if(evidence_,
                [](const auto& entry) { return entry.second.empty(); });
  for (auto& [key, by_reporter] : totals_) {
    for (auto& [reporter, total] : by_reporter) {
      total.requests *= kDecay;
      rotate(&total);
    }
    std::erase_if(by_reporter, [](const auto& entry) {
      return entry.second.requests < kMinCount;
    });
  }
  std::erase_if(totals_,
                [](const auto& entry) { return entry.second.empty(); });
}

void target_performance::EraseUnknown(
    const std::vector<evaluated_target>& targets) {
  std::map<target_id, std::uint64_t> starts;
  std::set<target_tag> tags;
  for (const evaluated_target& target : targets) {
    starts[target.id] = target.started_ms;
    tags.insert(TagOf(target.id));
  }
  std::erase_if(evidence_,
                [&](const auto& entry) { return !tags.contains(entry.first); });
  for (auto it = reduced_.begin(); it != reduced_.end();) {
    auto found = starts.find(it->first);
    if (found != starts.end() && found->second == it->second.started_ms) {
      ++it;
      continue;
    }
    // Outcomes from before a restart say nothing about the new process.
    evidence_.erase(TagOf(it->first));
    it = reduced_.erase(it);
  }
}

// The control instance that a target reports to decides on its weight. Here it
// counts towards the bound, and is known if the target changes over.
void target_performance::FollowPublished(instant now,
                                         const evaluated_target& target) {
  if (!target.published) return;
  auto it = reduced_.find(target.id);
  if (*target.published < kFullWeight) {
    if (it != reduced_.end() && it->second.weight == *target.published) return;
    reduced_target& state = reduced_[target.id];
    state.started_ms = target.started_ms;
    state.weight = *target.published;
    state.found_weight = std::min(*target.published, state.found_weight);
    state.finding = state.found_weight <= kProbingWeight
                        ? performance_finding::kFailing
                        : performance_finding::kSlow;
    state.changed = now;
    state.last_evidence = now;
    state.probes = {};
  } else if (it != reduced_.end() && it->second.weight < kFullWeight &&
             now - it->second.changed > kSettleTime + kEvaluationInterval) {
    it->second.weight = kFullWeight;
    it->second.changed = now;
  }
}

target_performance::comparison target_performance::Compare(
    const data_centre_name& reporter,
    const std::vector<const evaluated_target*>& targets) const {
  // New flows are spread evenly over the targets of a data centre that have the
  // full weight, so each one's requests are an even share.
  std::map<data_centre_name, double> shares;
  for (const evaluated_target* target : targets) {
    if (!IsReduced(target->id)) ++shares[target->data_centre];
  }
  caller_set all_callers;
  for (auto& [data_centre, share] : shares) {
    auto found = totals_.find({targets.front()->service, data_centre});
    const request_total* seen = nullptr;
    if (found != totals_.end()) {
      auto by_reporter = found->second.find(reporter);
      if (by_reporter != found->second.end()) seen = &by_reporter->second;
    }
    share = seen == nullptr ? 0 : seen->requests / share;
    if (seen == nullptr) continue;
    all_callers.value |= seen->callers.value | seen->previous_callers.value;
  }
  const int callers = CountCallers(all_callers, {});
  struct row {
    const evaluated_target* target;
    evidence seen;
  };
  std::vector<row> rows;
  std::vector<double> bad_shares;
  for (const evaluated_target* target : targets) {
    if (IsReduced(target->id)) continue;
    const double expected = shares[target->data_centre];
    if (expected < kMinRequests) continue;
    evidence seen;
    auto found = evidence_.find(TagOf(target->id));
    if (found != evidence_.end()) {
      auto by_reporter = found->second.find(reporter);
      if (by_reporter != found->second.end()) seen = by_reporter->second;
    }
    // Before its weight was known to all, a reduced target's requests were
    // counted one by one.
    seen.requests = std::max(expected, seen.Bad());
    bad_shares.push_back(seen.Bad() / seen.requests);
    rows.push_back({target, seen});
  }
  comparison result;
  result.usual_share = UsualShare(std::move(bad_shares));
  const bool is_comparable = rows.size() >= kMinTargets;
  for (const auto& [target, seen] : rows) {
    auto finding = performance_finding::kNone;
    const bool has_callers =
        CountCallers(seen.callers, seen.previous_callers) >=
        std::min(kMinCallers, callers);
    if (is_comparable && has_callers) {
      if (IsOutlier(seen.Failed(), seen.requests, result.usual_share)) {
        finding = performance_finding::kFailing;
      } else if (IsOutlier(seen.Bad(), seen.requests, result.usual_share)) {
        finding = performance_finding::kSlow;
      }
    }
    result.targets[target->id] = {finding, seen};
  }
  return result;
}

// The target's own data centre decides if it sees enough requests. Otherwise
// most of the others have to agree, and at least two of them if requests had no
// answer at all: that also happens when one data centre can't reach the target.
std::optional<target_performance::candidate> target_performance::Judge(
    const evaluated_target& target,
    const std::map<data_centre_name, comparison>& comparisons) {
  std::size_t observers = 0;
  std::size_t blamers = 0;
  candidate result{.target = &target, .weight = kFullWeight, .seen = {}};
  for (const auto& [reporter, compared] : comparisons) {
    auto it = compared.targets.find(target.id);
    if (it == compared.targets.end()) continue;
    const auto& [finding, seen] = it->second;
    const bool is_own = reporter == target.data_centre;
    if (is_own) {
      observers = 0;
      blamers = 0;
      result.seen = {};
      result.finding = performance_finding::kNone;
    }
    ++observers;
    if (finding != performance_finding::kNone) {
      ++blamers;
      result.seen.Add(seen);
      result.finding = std::max(result.finding, finding);
      result.usual_share = std::max(result.usual_share, compared.usual_share);
    }
    if (!is_own) continue;
    if (blamers == 0) return std::nullopt;
    break;
  }
  if (blamers * 2 <= observers) return std::nullopt;
  const bool is_own_view =
      comparisons.contains(target.data_centre) &&
      comparisons.at(target.data_centre).targets.contains(target.id);
  const bool is_mostly_unanswered =
      result.seen.no_answer > result.seen.slow + result.seen.too_short;
  if (!is_own_view && is_mostly_unanswered && blamers < 2) return std::nullopt;
  const evidence& seen = result.seen;
  if (result.finding == performance_finding::kFailing) {
    result.weight = kProbingWeight;
    result.severity = kMaxSlowWeight.value + seen.Failed() / seen.requests;
  } else {
    result.weight = SlowWeight(seen.requests, seen.slow, seen.slow_ratio);
    result.severity = 1.0 / result.weight.value;
  }
  return result;
}

void target_performance::SetWeight(instant now, const evaluated_target& target,
                                   percent weight, const evidence& seen,
                                   double usual_share,
                                   std::vector<weight_change>* changes) {
  reduced_target& state = reduced_[target.id];
  const percent from = std::exchange(state.weight, weight);
  state.changed = now;
  state.last_evidence = now;
  state.probes = {};
  evidence_.erase(TagOf(target.id));
  if (from == weight) return;
  changes->push_back({.id = target.id,
                      .service = target.service,
                      .finding = state.finding,
                      .from = from,
                      .to = weight,
                      .requests = seen.requests,
                      .slow = seen.slow,
                      .failed = seen.Failed(),
                      .usual_share = usual_share});
}

void target_performance::UpdateReduced(instant now,
                                       const evaluated_target& target,
                                       double usual_share,
                                       std::vector<weight_change>* changes) {
  reduced_target& state = reduced_.at(target.id);
  auto found = evidence_.find(TagOf(target.id));
  if (found != evidence_.end()) {
    if (now - state.changed >= kSettleTime) {
      for (const auto& [reporter, seen] : found->second) {
        // A partition must not keep the target reduced.
        if (reporter != target.data_centre && seen.no_answer > 0 &&
            found->second.contains(target.data_centre)) {
          continue;
        }
        state.probes.Add(seen);
        state.last_evidence = now;
      }
    }
    evidence_.erase(found);
  }
  const evidence probes = state.probes;
  const double limit = std::max(kMinBadShare, kMinBadRatio * usual_share);
  const double needed =
      (state.weight <= kProbingWeight ? kMinFailingProbes : kMinProbes) *
      (1 << state.relapses);
  const bool is_bad = probes.Bad() >= kMinFailingProbes / 2 &&
                      probes.Bad() >= limit * probes.requests;
  if (is_bad) {
    if (probes.requests < kMinFailingProbes) return;
    // A failing target that only is slow now needs no probing share.
    const bool is_slow = probes.slow > 2 * probes.Failed();
    state.finding =
        is_slow ? performance_finding::kSlow : performance_finding::kFailing;
    const percent weight =
        is_slow ? SlowWeight(probes.requests, probes.slow, probes.slow_ratio)
                : kProbingWeight;
    if (state.weight > state.found_weight) {
      state.relapses = std::min(kMaxRelapses, state.relapses + 1);
    }
    state.found_weight = weight;
    const bool is_similar = weight.value <= state.weight.value * kSimilar &&
                            weight.value * kSimilar >= state.weight.value;
    SetWeight(now, target, is_similar ? state.weight : weight, probes,
              usual_share, changes);
    return;
  }
  const bool is_forgotten = now - state.last_evidence >= kMaxEvidenceAge;
  if (probes.requests < needed && !is_forgotten) return;
  SetWeight(
      now, target,
      std::min(kFullWeight, percent{state.weight.value * kRecoveryFactor}),
      probes, usual_share, changes);
}

void target_performance::Admit(
    instant now, const std::vector<const evaluated_target*>& targets,
    std::vector<candidate> candidates, std::vector<weight_change>* changes) {
  const auto slots_of = [](const evaluated_target& target) {
    return std::max<std::uint32_t>(1, target.slots);
  };
  double total_slots = 0;
  for (const evaluated_target* target : targets) {
    total_slots += slots_of(*target);
    if (!IsReduced(target->id)) continue;
    const reduced_target& state = reduced_.at(target->id);
    candidates.push_back({.target = target,
                          .finding = state.finding,
                          .weight = state.weight,
                          .severity = state.severity * kStability,
                          .seen = state.probes});
  }
  // The ids make all control instances choose the same ones of equally bad
  // targets.
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              return a.severity != b.severity ? a.severity > b.severity
                                              : a.target->id < b.target->id;
            });
  double reduced_slots = 0;
  for (const candidate& entry : candidates) {
    const evaluated_target& target = *entry.target;
    const double slots = slots_of(target);
    const bool is_reduced = IsReduced(target.id);
    if (reduced_slots + slots > kMaxReducedShare * total_slots) {
      if (is_reduced) {
        SetWeight(now, target, kFullWeight, entry.seen, entry.usual_share,
                  changes);
      }
      continue;
    }
    reduced_slots += slots;
    if (is_reduced) continue;
    auto [it, added] = reduced_.try_emplace(target.id);
    reduced_target& state = it->second;
    const bool is_relapse = !added && now - state.changed < kRelapseMemory;
    state.relapses =
        is_relapse ? std::min(kMaxRelapses, state.relapses + 1) : 0;
    state.started_ms = target.started_ms;
    state.finding = entry.finding;
    state.found_weight = entry.weight;
    state.severity = entry.severity;
    SetWeight(now, target, entry.weight, entry.seen, entry.usual_share,
              changes);
  }
}

void target_performance::EvaluateService(
    instant now, const std::vector<const evaluated_target*>& targets,
    std::vector<weight_change>* changes) {
  std::set<data_centre_name> reporters;
  for (const auto& [key, by_reporter] : totals_) {
    if (key.first != targets.front()->service) continue;
    for (const auto& [reporter, total] : by_reporter) {
      reporters.insert(reporter);
    }
  }
  std::map<data_centre_name, comparison> comparisons;
  double usual_share = 0;
  for (const data_centre_name& reporter : reporters) {
    const auto& compared = comparisons[reporter] = Compare(reporter, targets);
    usual_share = std::max(usual_share, compared.usual_share);
  }
  std::vector<candidate> candidates;
  for (const evaluated_target* target : targets) {
    if (IsReduced(target->id)) {
      UpdateReduced(now, *target, usual_share, changes);
    } else if (auto found = Judge(*target, comparisons)) {
      candidates.push_back(*found);
    }
  }
  Admit(now, targets, std::move(candidates), changes);
}

std::vector<weight_change> target_performance::Evaluate(
    instant now, const std::vector<evaluated_target>& targets) {
  std::vector<weight_change> changes;
  last_evaluation_ = now;
  EraseUnknown(targets);
  std::map<service_name, std::vector<const evaluated_target*>> by_service;
  for (const evaluated_target& target : targets) {
    if (!target.is_ready) continue;
    FollowPublished(now, target);
    by_service[target.service].push_back(&target);
  }
  for (const auto& [service, list] : by_service) {
    EvaluateService(now, list, &changes);
  }
  std::erase_if(reduced_, [now](const auto& entry) {
    return entry.second.weight == kFullWeight &&
           now - entry.second.changed >= kRelapseMemory;
  });
  Decay();
  return changes;
}

}  // namespace lavendertack
