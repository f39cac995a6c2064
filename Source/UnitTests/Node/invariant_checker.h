// Records what happens in a simulation run and checks it against invariants
// that must hold at every step.
#ifndef LAVENDERTACK_UNITTESTS_NODE_INVARIANT_CHECKER_H_
#define LAVENDERTACK_UNITTESTS_NODE_INVARIANT_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/instant.h"
#include "Traffic/messages.h"

namespace lavendertack::testing {

enum class invariant {
  kServiceMatch,  // A request reaches only targets of its service.
  kAtMostOnce,    // A request that isn't repeatable runs at most once.
  // A request that is answered "not run" hasn't run and never runs. One
  // invariant for requests that aren't repeatable, one for repeatable ones.
  kNotRunNeverRuns,
  kNotRunNeverRunsRepeatable,
  kSlotLimit,        // A target runs no more requests than its slots.
  kColdTargetLimit,  // A cold target runs one request at a time.
  // A data centre that is out of service gets neither packets nor requests.
  kOutOfServiceDataCentre,
  kLeavingTarget,   // A leaving target gets no new requests or flows.
  kCorrectAnswer,   // The complete answer reaches the caller that sent the
                    // request.
  kFinalAnswer,     // Every request gets a final answer in time.
  kFlowSurvival,    // Planned changes break no flows.
  kTicketsApplied,  // Accepted tickets are applied everywhere and stay applied.
};

class invariant_checker {
 public:
  // Counts one occurrence of a fault, refusal or outcome.
  void Count(const std::string& event) { ++counts_[event]; }
  // Records that `violated` doesn't hold, with a description for the report.
  void RecordViolation(invariant violated, instant now,
                       const std::string& description);

  // Records that a target started to run the request.
  void RecordRun(instant now, const run_order& order);
  // Records that a caller received an answer of the kind "not run".
  void RecordNotRunAnswer(instant now, flow_id flow, request_number request,
                          bool repeatable, refusal_reason reason);

  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }
  // Descriptions of all violations of an invariant; empty if it held.
  const std::vector<std::string>& violations(invariant which) const;

 private:
  using request_key = std::pair<flow_id, request_number>;

  std::map<std::string, std::uint64_t> counts_;
  std::map<invariant, std::vector<std::string>> violations_;
  std::map<request_key, std::uint32_t> run_counts_;
  std::map<request_key, refusal_reason> not_run_answers_;
  // Target, epoch and time of each request's first run, for the report.
  std::map<request_key, std::string> first_runs_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_NODE_INVARIANT_CHECKER_H_
