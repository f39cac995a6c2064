#include "Forwarding/fleet_demand.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lavendertack {
namespace {

// A report that no control instance has confirmed for this long doesn't count.
// Control instances forget an entry instance after the same time.
constexpr milliseconds kReportLifetime{5000};
// A control instance that is this much behind the newest report counts as lost.
// Entry instances send a request to each control instance every 500 ms.
constexpr milliseconds kLostAfter{1500};
// A report with less than this share of the highest reported demand lacks some
// entry instances. Changes below kRelativeChange aren't sent, so that
// complete reports differ by nearly that much.
constexpr double kMinShareOfHighest = 0.8;
// Upper bound on the ratio of the current response time to the average. After a
// few samples, the own estimate may be far off.
constexpr double kMaxResponseTimeChange = 3;
// Lower bound of the time since the start of an average, so that the share
// that it has reached isn't 0.
constexpr milliseconds kMinFillTime{50};
// Rates and response times are sent again if they changed by more than this
// fraction of the larger value.
constexpr double kRelativeChange = 0.15;
// Change of the refusal level above which it is sent again: half of the
// difference that is allowed between the admitted shares of data centres.
constexpr double kLevelChange = 0.025;

bool IsChanged(double value, double last) {
  return std::abs(value - last) > kRelativeChange * std::max(value, last);
}

double Microseconds(const std::optional<microseconds>& time) {
  return time ? static_cast<double>(time->count()) : 0;
}

}  // namespace

void load_sum::Accumulate(const service_load& load, double sign) {
  const double weight = sign * load.demand;
  demand_ += weight;
  if (load.response_time) {
    response_weight_ += weight;
    weighted_response_us_ += weight * Microseconds(load.response_time);
  }
  if (load.refusal_level) {
    level_weight_ += weight;
    weighted_level_ += weight * *load.refusal_level;
  }
}

service_load load_sum::Value() const {
  service_load load;
  // Adding and subtracting rates leaves a small remainder by rounding.
  if (demand_ < kMinDemand) return load;
  load.demand = demand_;
  if (response_weight_ >= kMinDemand) {
    load.response_time = microseconds(
        std::llround(std::max(0.0, weighted_response_us_ / response_weight_)));
  }
  if (level_weight_ >= kMinDemand) {
    load.refusal_level = std::max(0.0, weighted_level_ / level_weight_);
  }
  return load;
}

microseconds CurrentResponseTime(microseconds fleet,
                                 std::optional<microseconds> own_current,
                                 std::optional<microseconds> own_average) {
  if (!own_current || !own_average || own_average->count() <= 0) return fleet;
  const double change =
      std::clamp(Microseconds(own_current) / Microseconds(own_average),
                 1 / kMaxResponseTimeChange, kMaxResponseTimeChange);
  return microseconds(std::llround(Microseconds(fleet) * change));
}

double FilledShare(microseconds elapsed, milliseconds window) {
  const auto time = std::max<microseconds>(elapsed, kMinFillTime);
  return 1 - std::exp(-std::chrono::duration<double>(time) / window);
}

bool IsChanged(const service_load& load, const service_load& last_sent) {
  return IsChanged(load.demand, last_sent.demand) ||
         IsChanged(Microseconds(load.response_time),
                   Microseconds(last_sent.response_time)) ||
         std::abs(load.refusal_level.value_or(0) -
                  last_sent.refusal_level.value_or(0)) > kLevelChange;
}

void fleet_demand::Apply(instant now, const instance_name& control,
                         std::uint64_t run,
                         const std::map<load_key, service_load>& changes) {
  auto [it, added] = reports_.try_emplace(control);
  control_report& report = it->second;
  if (added) {
    report.run = run;
  } else if (report.run != run) {
    previous_runs_[control] = std::move(report);
    report = {.run = run, .confirmed = now, .loads = {}};
  } else if (now - report.confirmed >= kReportLifetime) {
    report.loads.clear();
  }
  report.confirmed = now;
  for (const auto& [key, load] : changes) {
    if (load.demand < kMinDemand) {
      report.loads.erase(key);
    } else {
      report.loads[key] = load;
    }
  }
  Combine(now);
}

void fleet_demand::Expire(instant now) { Combine(now); }

// Of several reports on the same callers, the newest one is used unless its
// demand is far below that of another one: a control instance that has just
// restarted, or that some of the entry instances can't reach, reports too
// little. Reports of lost control instances count only without newer ones.
void fleet_demand::Combine(instant now) {
  by_data_centre_.clear();
  by_service_.clear();
  instant newest;
  for (auto* reports : {&reports_, &previous_runs_}) {
    std::erase_if(*reports, [now](const auto& entry) {
      return now - entry.second.confirmed >= kReportLifetime;
    });
    for (const auto& [control, report] : *reports) {
      newest = std::max(newest, report.confirmed);
    }
  }
  const bool is_known = !reports_.empty() || !previous_runs_.empty();
  valid_until_ = is_known ? newest + kReportLifetime : instant{};
  std::vector<const control_report*> current;
  std::map<load_key, requests_per_s> highest;
  for (const auto* reports : {&reports_, &previous_runs_}) {
    for (const auto& [control, report] : *reports) {
      if (newest - report.confirmed > kLostAfter) continue;
      current.push_back(&report);
      for (const auto& [key, load] : report.loads) {
        highest[key] = std::max(highest[key], load.demand);
      }
    }
  }
  std::stable_sort(current.begin(), current.end(),
                   [](const control_report* a, const control_report* b) {
                     return a->confirmed > b->confirmed;
                   });
  for (const control_report* report : current) {
    for (const auto& [key, load] : report->loads) {
      if (load.demand < kMinShareOfHighest * highest[key]) continue;
      by_data_centre_.try_emplace(
          key, combined_load{load, report->confirmed + kReportLifetime});
    }
  }
  std::unordered_map<service_name, load_sum> sums;
  for (const auto& [key, known] : by_data_centre_) {
    load_sum& sum = sums[key.first];
    sum.Add(known.load);
    combined_load& combined = by_service_[key.first];
    combined.valid_until =
        combined.load.demand > 0
            ? std::min(combined.valid_until, known.valid_until)
            : known.valid_until;
    combined.load = sum.Value();
  }
}

std::optional<service_load> fleet_demand::LoadOf(
    instant now, const service_name& service) const {
  auto it = by_service_.find(service);
  if (it == by_service_.end() || now >= it->second.valid_until) {
    return std::nullopt;
  }
  return it->second.load;
}

demand_by_service fleet_demand::Demand() const {
  demand_by_service demand;
  for (const auto& [key, known] : by_data_centre_) {
    demand[key.first][key.second] = known.load.demand;
  }
  return demand;
}

}  // namespace lavendertack
