// Recent load of a service by class: run time, share of refused requests and
// deadlines. The retry budget and the retry-after interval of refusals are
// derived from it.
#ifndef LAVENDERTACK_TRAFFIC_CLASS_LOAD_H_
#define LAVENDERTACK_TRAFFIC_CLASS_LOAD_H_

#include <map>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Bounds of the retry-after interval sent with a refusal.
inline constexpr milliseconds kMinRetryAfter{50};
inline constexpr milliseconds kMaxRetryAfter{10'000};
// Retry tokens that a served request adds to the budget of its class.
inline constexpr double kRetriesPerSuccess = 0.1;
// Most retry tokens that a class can accumulate.
inline constexpr double kMaxRetryTokens = 10.0;

// Load statistics and retry budgets of the classes of one service. A class
// starts with a budget of kMaxRetryTokens.
class class_load {
 public:
  // Records a new request, whose caller waits for `deadline`.
  void RecordOffered(instant now, const class_name& name, class_price price,
                     milliseconds deadline);
  // Records a refusal. Ignored for a class without offered requests.
  void RecordRefused(const class_name& name);
  // Records a request that ran for `took`, and adds to the retry budget.
  void RecordServed(const class_name& name, microseconds took);

  // Removes one token from the retry budget of the class. False when less
  // than one is left.
  bool ConsumeRetryToken(const class_name& name);

  // True when requests of this class must leave one slot free: a class with a
  // higher price had a request within the last 5 s, and its shortest deadline
  // may pass while a request of this class runs.
  bool MustReserveSlot(instant now, const class_name& name,
                       class_price price) const;

  // Retry-after interval of a refused request, if the requests ahead of it need
  // `drain` to finish. It grows with the share of the class's requests
  // that is refused, from kMinRetryAfter to kMaxRetryAfter.
  milliseconds RetryAfter(const class_name& name, microseconds drain) const;

 private:
  struct class_stats {
    class_price price;
    double mean_us = 0;  // Mean run time, in microseconds; 0: unknown.
    double offered = 0;  // New requests, exponentially decayed.
    double refused = 0;  // Refused ones, decayed alike; at most `offered`.
    double retry_tokens = kMaxRetryTokens;
    instant last_offered;
    // Shortest deadline of recent requests, and when it was recorded. Replaced
    // by the next request once it is older than 5 s.
    microseconds shortest_deadline{0};
    instant shortest_deadline_at;
  };

  std::map<class_name, class_stats> classes_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_CLASS_LOAD_H_
