#include "UnitTests/Node/invariant_checker.h"

namespace lavendertack::testing {
namespace {

std::string RequestName(flow_id flow, request_number request) {
  return "flow " + std::to_string(flow.value) + " request " +
         std::to_string(request.value);
}

std::string FormatTime(instant now) {
  const auto ms =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  return std::to_string(ms.count()) + " ms";
}

invariant NotRunInvariant(bool repeatable) {
  return repeatable ? invariant::kNotRunNeverRunsRepeatable
                    : invariant::kNotRunNeverRuns;
}

}  // namespace

void invariant_checker::RecordViolation(invariant violated, instant now,
                                        const std::string& description) {
  violations_[violated].push_back("at " + FormatTime(now) + ": " + description);
}

void invariant_checker::RecordRun(instant now, const run_order& order) {
  const request_key key{order.flow, order.request};
  const std::uint32_t runs = ++run_counts_[key];
  Count("run");
  if (runs > 1 && !order.repeatable) {
    RecordViolation(invariant::kAtMostOnce, now,
                    RequestName(order.flow, order.request) + " ran again at " +
                        order.target.value + " by epoch " +
                        std::to_string(order.epoch.value) + ", first at " +
                        first_runs_[key]);
  }
  if (runs == 1) {
    first_runs_[key] = order.target.value + " by epoch " +
                       std::to_string(order.epoch.value) + " at " +
                       FormatTime(now);
  }
  if (auto answered = not_run_answers_.find(key);
      answered != not_run_answers_.end()) {
    RecordViolation(NotRunInvariant(order.repeatable), now,
                    RequestName(order.flow, order.request) +
                        " ran after NOT_RUN, " +
                        std::string(ToString(answered->second)));
  }
}

void invariant_checker::RecordNotRunAnswer(instant now, flow_id flow,
                                           request_number request,
                                           bool repeatable,
                                           refusal_reason reason) {
  not_run_answers_.emplace(request_key{flow, request}, reason);
  if (run_counts_.contains({flow, request}) &&
      reason != refusal_reason::kTargetShed) {
    RecordViolation(NotRunInvariant(repeatable), now,
                    RequestName(flow, request) + " had run before NOT_RUN, " +
                        std::string(ToString(reason)));
  }
}

const std::vector<std::string>& invariant_checker::violations(
    invariant which) const {
  static const std::vector<std::string> none;
  auto it = violations_.find(which);
  return it == violations_.end() ? none : it->second;
}

}  // namespace lavendertack::testing
