// Outcomes of requests as an entry instance reports them to the control
// instances.
#ifndef LAVENDERTACK_TARGETS_OUTCOME_REPORT_H_
#define LAVENDERTACK_TARGETS_OUTCOME_REPORT_H_

#include <cstdint>
#include <map>
#include <utility>

#include "Targets/target_report.h"

namespace lavendertack {

// Bit set of hashes of callers' addresses. It shows whether outcomes are those
// of one caller or of several.
using caller_set = strong_type<struct caller_set_tag, std::uint32_t>;

// Outcomes of the requests to one target.
struct target_outcomes {
  std::uint32_t slow = 0;       // Answers that took much longer than usual.
  std::uint32_t too_short = 0;  // Answers with far fewer bytes than usual.
  std::uint32_t no_answer = 0;  // Given up by the caller without an answer.
  // Sum over the slow answers of their time as a multiple of the usual one.
  std::uint32_t slow_ratio = 0;
  caller_set callers;  // Callers with bad outcomes.
  // All outcomes, also good ones. Only for a target with a reduced weight.
  std::uint32_t requests = 0;
};

// Number of observed outcomes, and the callers of the requests.
struct outcome_total {
  std::uint32_t requests = 0;
  caller_set callers;
};

// Outcomes since the previous report.
struct outcome_report {
  // Targets with bad outcomes or a reduced weight.
  std::map<target_tag, target_outcomes> targets;
  // By service and data centre of the targets, without those that have a
  // reduced weight.
  std::map<std::pair<service_name, data_centre_name>, outcome_total> totals;

  bool empty() const { return targets.empty() && totals.empty(); }
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_OUTCOME_REPORT_H_
