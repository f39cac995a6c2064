// Finds targets that are slow or fail, by the outcomes of requests that all
// entry instances report, and decides on their weights.
//
// Each target is compared with the other targets of its service as seen from
// the same data centre. What affects all of them alike (lost packets, a class
// with short answers, overload) isn't a finding. Each control instance
// evaluates all targets and applies the weights of those that report to it.
#ifndef LAVENDERTACK_TARGETS_TARGET_PERFORMANCE_H_
#define LAVENDERTACK_TARGETS_TARGET_PERFORMANCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Common/instant.h"
#include "Targets/outcome_report.h"
#include "Targets/target_report.h"

namespace lavendertack {

// What is wrong with a target.
enum class performance_finding { kNone, kSlow, kFailing };
// The finding's name in logs and metrics.
const char* ToString(performance_finding finding);

// One target of the fleet, to be evaluated.
struct evaluated_target {
  target_id id;
  service_name service;
  data_centre_name data_centre;
  std::uint32_t slots = 0;
  std::uint64_t started_ms = 0;
  bool is_ready = true;
  // The weight that another control instance has published, if the target
  // reports to that one.
  std::optional<percent> published;
};

// A changed weight, with the figures that decided.
struct weight_change {
  target_id id;
  service_name service;
  performance_finding finding{};
  percent from;
  percent to;
  double requests = 0;  // Observed, or expected by an even share.
  double slow = 0;
  double failed = 0;
  // Share of bad outcomes that is usual among the targets of the service.
  double usual_share = 0;
};

// Not thread-safe; all times are passed in.
class target_performance {
 public:
  // Adds what an entry instance in the data centre has observed.
  void AddReport(const data_centre_name& reporter,
                 const outcome_report& report);
  // Whether `Evaluate` is due and has something to decide on. Call it several
  // times a second: a longer gap means that this process was suspended.
  bool IsDue(instant now);
  // Compares the targets and returns the changed weights, also those of targets
  // of other control instances. `targets` are all targets of the fleet that
  // haven't ended; those that aren't ready keep their weight.
  std::vector<weight_change> Evaluate(
      instant now, const std::vector<evaluated_target>& targets);
  // The weight of the target that started at `started_ms`.
  percent WeightOf(const target_id& id, std::uint64_t started_ms) const;
  // Number of targets with a reduced weight, by finding.
  std::map<performance_finding, std::size_t> ReducedTargets() const;

 private:
  // Outcomes of one target. They are fractional because they decay.
  struct evidence {
    double requests = 0;
    double slow = 0;
    double too_short = 0;
    double no_answer = 0;
    double slow_ratio = 0;
    // Callers with bad outcomes in the current and the previous span.
    caller_set callers;
    caller_set previous_callers;

    double Failed() const { return too_short + no_answer; }
    double Bad() const { return slow + Failed(); }
    void Add(const evidence& other);
  };
  using evidence_by_reporter = std::map<data_centre_name, evidence>;
  // Requests to all targets of a service in a data centre.
  struct request_total {
    double requests = 0;
    caller_set callers;
    caller_set previous_callers;
  };
  using totals_by_reporter = std::map<data_centre_name, request_total>;
  // State of a target that is reduced, or was within the memory.
  struct reduced_target {
    std::uint64_t started_ms = 0;
    performance_finding finding{};
    percent weight = kFullWeight;
    percent found_weight = kFullWeight;  // When it was found.
    double severity = 0;
    int relapses = 0;
    instant changed;        // Last change of the weight.
    instant last_evidence;  // Last time that its outcomes were reported.
    evidence probes;        // Since the last change or decision.
  };
  // A target with the evidence against it.
  struct candidate {
    const evaluated_target* target = nullptr;
    performance_finding finding{};
    percent weight;
    double severity = 0;
    evidence seen;
    double usual_share = 0;
  };
  // What the targets of a service look like from one data centre.
  struct comparison {
    double usual_share = 0;
    std::map<target_id, std::pair<performance_finding, evidence>> targets;
  };

  void Decay();
  void EraseUnknown(const std::vector<evaluated_target>& targets);
  void FollowPublished(instant now, const evaluated_target& target);
  comparison Compare(const data_centre_name& reporter,
                     const std::vector<const evaluated_target*>& targets) const;
  // Whether the observations of several data centres together blame a target.
  static std::optional<candidate> Judge(
      const evaluated_target& target,
      const std::map<data_centre_name, comparison>& comparisons);
  // Decides whether a reduced target recovers by what its remaining requests
  // show.
  void UpdateReduced(instant now, const evaluated_target& target,
                     double usual_share, std::vector<weight_change>* changes);
  void EvaluateService(instant now,
                       const std::vector<const evaluated_target*>& targets,
                       std::vector<weight_change>* changes);
  // Reduces the worst candidates, as far as the bound for the service allows.
  void Admit(instant now, const std::vector<const evaluated_target*>& targets,
             std::vector<candidate> candidates,
             std::vector<weight_change>* changes);
  void SetWeight(instant now, const evaluated_target& target, percent weight,
                 const evidence& seen, double usual_share,
                 std::vector<weight_change>* changes);
  bool IsReduced(const target_id& id) const;

  std::map<target_tag, evidence_by_reporter> evidence_;
  std::map<std::pair<service_name, data_centre_name>, totals_by_reporter>
      totals_;
  std::map<target_id, reduced_target> reduced_;  // Bounded by the targets.
  std::optional<instant> last_check_;            // Last call of IsDue.
  instant last_evaluation_;
  std::uint64_t evaluations_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_PERFORMANCE_H_
