// How long targets work on a request, seen from the callers' packets alone: a
// packet with data is a request, and the first one after it that acknowledges
// more is the sign that the answer has begun. The path is taken off, as the
// handshake shows it.
//
// A sample of the requests in a table of fixed size: nothing is allocated for a
// packet. Answers of a single packet aren't acknowledged at once; a later
// request that does it is no measure, so it isn't taken as one.
#ifndef LAVENDERTACK_FORWARDING_ANSWER_TIMES_H_
#define LAVENDERTACK_FORWARDING_ANSWER_TIMES_H_

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Forwarding/packet.h"

namespace lavendertack {

// Follows the median of its samples. A few long ones, as after a lost packet,
// hardly move it.
class running_median {
 public:
  void Add(microseconds sample);
  microseconds value() const {
    return microseconds(static_cast<std::int64_t>(value_us_));
  }
  bool known() const { return value_us_ > 0; }

 private:
  double value_us_ = 0;
};

class answer_times {
 public:
  answer_times();

  // Any packet of an open connection to a target of `service`.
  void Passed(instant now, const flow_packet& packet,
              const service_name& service);
  // Forgets the requests that are under way: their packets waited here.
  void Restart();
  // A target has accepted a connection so long after its first packet.
  void Accepted(microseconds after) { path_.Add(after); }

  // From a request's arrival at a target to the start of its answer, with its
  // wait there. Nothing while it isn't known.
  std::optional<microseconds> Typical(const service_name& service) const;

 private:
  struct place {
    flow_key flow;
    instant sent;
    std::uint32_t acknowledged = 0;
    bool taken = false;
  };

  std::vector<place> places_;
  running_median path_;
  std::unordered_map<service_name, running_median> by_service_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_ANSWER_TIMES_H_
