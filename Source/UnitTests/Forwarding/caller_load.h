// Load of callers that retry refused attempts at once, for tests of refusals.
#ifndef LAVENDERTACK_UNITTESTS_FORWARDING_CALLER_LOAD_H_
#define LAVENDERTACK_UNITTESTS_FORWARDING_CALLER_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "Common/instant.h"
#include "Forwarding/demand.h"
#include "Forwarding/packet.h"

namespace lavendertack {

struct load_counts {
  int requests = 0;
  int openings = 0;  // Of requests and their retries.
  int refused = 0;   // Openings.
  int unserved = 0;  // Requests refused with all their retries.

  load_counts& operator+=(const load_counts& other) {
    requests += other.requests;
    openings += other.openings;
    refused += other.refused;
    unserved += other.unserved;
    return *this;
  }
  double RefusedShare() const { return 1.0 * refused / openings; }
  double UnservedShare() const { return 1.0 * unserved / requests; }
  double Retries() const { return openings - requests; }
};

class caller_load {
 public:
  using refusal_hook = std::function<bool(instant, const flow_packet&)>;
  using tick_hook = std::function<void(instant)>;

  caller_load(ipv4_endpoint route, refusal_hook refuses, tick_hook tick)
      : route_(route), refuses_(std::move(refuses)), tick_(std::move(tick)) {}

  // Adds callers with consecutive addresses, each with random requests at this
  // rate.
  void Add(std::uint32_t first, std::uint32_t count, requests_per_s rate) {
    for (std::uint32_t i = 0; i < count; ++i) {
      rates_[{first + i}] = rate;
      ScheduleRequest({first + i});
    }
  }

  // Returns what was counted from now on until the end of `duration`.
  std::map<ipv4_address, load_counts> Run(milliseconds duration) {
    counts_.clear();
    const instant end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(1)) {
      if (now_ >= next_tick_) {
        tick_(now_);
        next_tick_ = now_ + milliseconds(50);
      }
      while (!pending_.empty() && pending_.begin()->first <= now_) {
        const attempt next = pending_.extract(pending_.begin()).mapped();
        if (next.retry == 0) ScheduleRequest(next.caller);
        Open(next);
      }
    }
    return counts_;
  }

  instant now() const { return now_; }
  // The load pauses together with the process under test.
  void Skip(milliseconds pause) { now_ += pause; }

 private:
  static constexpr int kRetries = 2;
  // From the reset to the next attempt.
  static constexpr milliseconds kRetryDelay{4};

  struct attempt {
    ipv4_address caller;
    int retry = 0;
  };

  void ScheduleRequest(ipv4_address caller) {
    const double wait_s =
        std::exponential_distribution<double>(rates_[caller])(random_);
    pending_.emplace(now_ + microseconds(static_cast<int>(wait_s * 1e6)),
                     attempt{caller});
  }

  void Open(const attempt& tried) {
    load_counts& counts = counts_[tried.caller];
    if (tried.retry == 0) ++counts.requests;
    ++counts.openings;
    const flow_packet packet{.flow = {{tried.caller, {++last_port_}}, route_},
                             .opens = true};
    if (!refuses_(now_, packet)) return;
    ++counts.refused;
    if (tried.retry == kRetries) {
      ++counts.unserved;
    } else {
      pending_.emplace(now_ + kRetryDelay,
                       attempt{tried.caller, tried.retry + 1});
    }
  }

  ipv4_endpoint route_;
  refusal_hook refuses_;
  tick_hook tick_;
  std::mt19937_64 random_{1};
  instant now_{seconds(100)};
  instant next_tick_;
  std::map<ipv4_address, requests_per_s> rates_;
  std::multimap<instant, attempt> pending_;
  std::map<ipv4_address, load_counts> counts_;
  std::uint16_t last_port_ = 1024;
};

// Sums the counts of callers with addresses from `first` to below `end`.
inline load_counts SumOf(const std::map<ipv4_address, load_counts>& counts,
                         std::uint32_t first, std::uint32_t end) {
  load_counts sum;
  for (const auto& [caller, count] : counts) {
    if (caller.value >= first && caller.value < end) sum += count;
  }
  return sum;
}

}  // namespace lavendertack

#endif  // LAVENDERTACK_UNITTESTS_FORWARDING_CALLER_LOAD_H_
