#include "UnitTests/Node/witness.h"

namespace lavendertack::testing {
namespace {

std::string Name(flow_id flow, request_number request) {
  return "flow " + std::to_string(flow.value) + " request " +
         std::to_string(request.value);
}

std::string Ms(instant now) {
  const auto ms =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  return std::to_string(ms.count()) + " ms";
}

rule NotRunRule(bool repeatable) {
  return repeatable ? rule::kNotRunIsTrueRepeatable : rule::kNotRunIsTrue;
}

}  // namespace

void witness::Broken(rule broken, instant now, const std::string& how) {
  broken_[broken].push_back("at " + Ms(now) + ": " + how);
}

void witness::Ran(instant now, const run_order& order) {
  const request_key key{order.flow, order.request};
  const std::uint32_t runs = ++runs_[key];
  Count("run");
  if (runs > 1 && !order.repeatable) {
    Broken(rule::kAtMostOnce, now,
           Name(order.flow, order.request) + " ran again at " +
               order.target.value + " by epoch " +
               std::to_string(order.epoch.value) + ", first at " +
               first_run_[key]);
  }
  if (runs == 1) {
    first_run_[key] = order.target.value + " by epoch " +
                      std::to_string(order.epoch.value) + " at " + Ms(now);
  }
  if (auto told = not_run_.find(key); told != not_run_.end()) {
    Broken(NotRunRule(order.repeatable), now,
           Name(order.flow, order.request) + " ran after NOT_RUN, " +
               std::string(ToString(told->second)));
  }
}

void witness::ToldNotRun(instant now, flow_id flow, request_number request,
                         bool repeatable, refusal_reason reason) {
  not_run_.emplace(request_key{flow, request}, reason);
  if (runs_.contains({flow, request}) &&
      reason != refusal_reason::kTargetShed) {
    Broken(NotRunRule(repeatable), now,
           Name(flow, request) + " had run before NOT_RUN, " +
               std::string(ToString(reason)));
  }
}

const std::vector<std::string>& witness::broken(rule which) const {
  static const std::vector<std::string> nothing;
  auto it = broken_.find(which);
  return it == broken_.end() ? nothing : it->second;
}

}  // namespace lavendertack::testing
