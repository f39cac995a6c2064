// Classifies the outcomes of requests by the callers' packets, and counts the
// bad ones by target for the reports to the control instances.
//
// An instance sees only the callers' packets, and too few requests of one
// target to tell a slow or failing target from lost packets or a slow caller.
// So it judges single requests only, and the control instances compare targets.
// Openings without an answer aren't outcomes: unanswered_packets counts them.
#ifndef LAVENDERTACK_FORWARDING_REQUEST_OUTCOMES_H_
#define LAVENDERTACK_FORWARDING_REQUEST_OUTCOMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Forwarding/packet.h"
#include "Targets/outcome_report.h"
#include "Targets/target_view.h"

namespace lavendertack {

// How a request ended.
enum class request_outcome { kAnswered, kSlow, kTooShort, kNoAnswer };
// The outcome's name in metrics.
const char* ToString(request_outcome outcome);

// Running estimate of the median of positive samples.
class running_median {
 public:
  void Add(double sample);
  // Whether there were enough samples to compare with.
  bool IsKnown() const;
  double value() const { return value_; }

 private:
  double value_ = 0;
  std::uint32_t samples_ = 0;
};

// Requests are observed in a table of fixed size, so nothing is allocated for a
// packet. Memory is allocated for the first outcome of a route and data centre,
// and for the first bad outcome of a target in a report.
class request_outcomes {
 public:
  // `targets` must outlive this object.
  explicit request_outcomes(const target_view* targets);

  // Processes a packet of an open connection to `target`.
  void Observe(instant now, const flow_packet& packet,
               const known_target& target);
  // Adds the time from an opening packet to the caller's next packet, for a
  // target in the data centre. It is subtracted from response times.
  void ObserveHandshake(const data_centre_name& data_centre,
                        microseconds round_trip);
  // Concludes requests whose answer is complete or overdue. Call it several
  // times a second.
  void Tick(instant now);
  // Discards the requests that are being observed. Call it after this process
  // was suspended, because the suspension has delayed their packets.
  void DiscardPending();

  // Returns what was observed since the previous report.
  outcome_report TakeReport();
  // Number of requests by outcome since the start, in the order of
  // request_outcome.
  const std::array<std::uint64_t, 4>& counts() const { return counts_; }

 private:
  struct observed_request {
    flow_key flow;
    target_tag tag;
    instant sent;
    instant last_progress;  // When the caller last acknowledged more.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;  // When the request was sent.
    std::uint32_t answered_to = 0;   // Newest acknowledgement.
    int retransmissions = 0;
    microseconds answer_time{0};  // To the first acknowledgement.
    bool answered = false;
    // The first acknowledgement wasn't sent with the next request, so its time
    // is that of the answer.
    bool timed = false;
    bool in_use = false;
  };
  // What callers of a route usually see.
  struct usual_answer {
    running_median time_us;  // Without the network round trip.
    running_median bytes;
    // Share of answers that are acknowledged at once.
    double prompt_share = 0;
  };

  // Updates an unanswered request by a packet that acknowledges no answer.
  void ObserveWait(instant now, const flow_packet& packet,
                   observed_request* request);
  // Counts the outcome of the request and releases its entry. `is_complete`:
  // all of the answer was observed.
  void Conclude(observed_request* request, bool is_complete);
  void ConcludeWithoutAnswer(observed_request* request);
  void Count(const observed_request& request, request_outcome outcome,
             double slow_ratio);

  const target_view* targets_;
  std::vector<observed_request> requests_;
  std::unordered_map<ipv4_endpoint, usual_answer> usual_;
  std::unordered_map<data_centre_name, running_median> handshakes_us_;
  std::map<target_tag, target_outcomes> by_target_;
  // By service and data centre of the target.
  std::unordered_map<service_name,
                     std::unordered_map<data_centre_name, outcome_total>>
      totals_;
  std::array<std::uint64_t, 4> counts_{};
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_REQUEST_OUTCOMES_H_
