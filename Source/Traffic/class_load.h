// What is known of each class's work in a service of late: how long it runs,
// how much of it is refused, and what its deadlines are. The retry budget and
// the time after which a refused caller should come back follow from it.
#ifndef LAVENDERTACK_TRAFFIC_CLASS_LOAD_H_
#define LAVENDERTACK_TRAFFIC_CLASS_LOAD_H_

#include <map>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Shortest and longest time after which a refused caller may come back.
inline constexpr milliseconds kMinComeBack{50};
inline constexpr milliseconds kMaxComeBack{10'000};
// Retries allowed for each success of a class, and the most that add up.
inline constexpr double kRetriesPerSuccess = 0.1;
inline constexpr double kMaxRetryTokens = 10.0;

class class_load {
 public:
  void Offered(instant now, const class_name& name, class_price price,
               milliseconds deadline);
  void Refused(const class_name& name);
  void Served(const class_name& name, microseconds took);

  // Takes one retry out of the class's budget. False when it is spent.
  bool TakeRetry(const class_name& name);

  // True when a slot must stay free of this class's work: a higher-priced
  // class was seen of late whose deadline may pass while a request of this
  // class runs to its end.
  bool MustLeaveSlot(instant now, const class_name& name,
                     class_price price) const;

  // When a refused caller may come back, if what is ahead of it takes
  // `drain`: longer, the more of the class's work is being refused.
  milliseconds ComeBack(const class_name& name, microseconds drain) const;

 private:
  struct load {
    class_price price;
    double mean_us = 0;  // Time of a request; 0: not known.
    double offered = 0;  // Requests, decaying.
    double refused = 0;
    double retry_tokens = kMaxRetryTokens;
    instant seen;
    microseconds shortest_deadline{0};
    instant shortest_seen;
  };

  std::map<class_name, load> classes_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_CLASS_LOAD_H_
