// Estimates the response time of each service's targets. Only the callers'
// packets pass through this instance, so the response time is derived from
// them: a packet with data is a request, and the first later packet that
// acknowledges more shows that the response has begun. The network round trip,
// measured from the handshake, is subtracted.
//
// Requests are sampled in a table of fixed size, so nothing is allocated for a
// packet. A caller may acknowledge a response of a single packet only with its
// next request; that time includes the caller's pause between the requests, so
// such samples are discarded.
//
// A target whose queue is full answers with a short refusal at once. Such
// answers aren't samples: under overload they would hide that the responses
// take long.
#ifndef LAVENDERTACK_FORWARDING_RESPONSE_TIME_ESTIMATOR_H_
#define LAVENDERTACK_FORWARDING_RESPONSE_TIME_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Common/ipv4.h"
#include "Common/strong_type.h"
#include "Forwarding/packet.h"

namespace lavendertack {

// Running estimate of the median. It is robust against outliers, such as
// requests that were delayed by a lost packet.
class median_estimator {
 public:
  void Add(microseconds sample);
  // 0 while there is no sample.
  microseconds value() const {
    return microseconds(static_cast<std::int64_t>(value_us_));
  }
  bool has_value() const { return value_us_ > 0; }

 private:
  double value_us_ = 0;
};

// Running estimate of a size that nine in ten answers don't exceed. Refusals
// change it only slowly, even if most answers are refusals.
class answer_size_estimator {
 public:
  // Adds an answer; returns whether it is far shorter than most.
  bool IsShort(std::uint32_t bytes);

 private:
  double value_bytes_ = 0;
};

// Response times of all services, estimated from the callers' packets.
class response_time_estimator {
 public:
  response_time_estimator();

  // Processes a packet of an open connection to a target of `service`.
  void ObservePacket(instant now, const flow_packet& packet,
                     const service_name& service);
  // Discards the requests that are being timed. Call it after this process was
  // suspended, because the suspension has delayed their packets.
  void DiscardPending();
  // Adds the time from a connection's first packet to the caller's packet that
  // confirms that the target has accepted it.
  void ObserveHandshake(microseconds round_trip) { handshake_.Add(round_trip); }

  // Median time from a request's arrival at a target of `service` to the start
  // of the response, including its time in the target's queue. Empty without
  // samples of the service or of handshakes.
  std::optional<microseconds> Estimate(const service_name& service) const;

 private:
  struct timed_request {
    flow_key flow;
    instant sent;
    std::uint32_t acknowledged = 0;  // Of the request's packet.
    bool in_use = false;
  };

  // Whether an answer on the route is far shorter than most.
  bool IsShortAnswer(const ipv4_endpoint& route, std::uint32_t bytes);

  std::vector<timed_request> timed_requests_;
  median_estimator handshake_;  // Network round trip.
  std::unordered_map<service_name, median_estimator> by_service_;
  std::unordered_map<ipv4_endpoint, answer_size_estimator> sizes_;  // By route.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_RESPONSE_TIME_ESTIMATOR_H_
