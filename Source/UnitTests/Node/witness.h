// What really happened in a run, and whether it was allowed: one rule for each
// point that must always hold.
#ifndef LAVENDERTACK_UNITTESTS_NODE_WITNESS_H_
#define LAVENDERTACK_UNITTESTS_NODE_WITNESS_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/instant.h"
#include "Traffic/messages.h"

namespace lavendertack::testing {

enum class rule {
  kRightService,
  kAtMostOnce,
  kNotRunIsTrue,            // For requests that may not be repeated.
  kNotRunIsTrueRepeatable,  // For those that may.
  kSlots,
  kColdTarget,
  kDataCentreOut,
  kLeavingTarget,
  kRightAnswer,
  kFinalAnswer,
  kFlowsSurvive,
  kTicketsInForce,
};

class witness {
 public:
  // Counts one occurrence of a fault, refusal or outcome.
  void Count(const std::string& what) { ++counts_[what]; }
  // The rule was broken.
  void Broken(rule broken, instant now, const std::string& how);

  // A target began to run the request.
  void Ran(instant now, const run_order& order);
  // A caller was told that the request didn't run and won't.
  void ToldNotRun(instant now, flow_id flow, request_number request,
                  bool repeatable, refusal_reason reason);

  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }
  // How each rule was broken; empty for a rule that held.
  const std::vector<std::string>& broken(rule which) const;

 private:
  using request_key = std::pair<flow_id, request_number>;

  std::map<std::string, std::uint64_t> counts_;
  std::map<rule, std::vector<std::string>> broken_;
  std::map<request_key, std::uint32_t> runs_;
  std::map<request_key, refusal_reason> not_run_;
  std::map<request_key, std::string> first_run_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_NODE_WITNESS_H_
