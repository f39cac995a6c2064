// Counters and latencies of one instance, in the Prometheus text format.
#ifndef LAVENDERTACK_RUNTIME_METRICS_H_
#define LAVENDERTACK_RUNTIME_METRICS_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Common/instant.h"
#include "Node/node.h"
#include "Traffic/messages.h"

namespace lavendertack {

// Counters of the sockets and the log, read for each metrics request.
struct metric_totals {
  std::uint64_t peer_bytes_sent = 0;
  std::uint64_t peer_bytes_received = 0;
  std::uint64_t decisions_logged = 0;
  std::uint64_t decisions_left_out = 0;
};

// Metrics that the event loop of an instance records.
class metrics {
 public:
  // Counts a valid packet of a caller.
  void CountPacket() { ++packets_; }
  // Counts a dropped message. `source` is "caller", "target" or "peer". `fault`
  // is one of the parsers' constant texts, so that the number of label values
  // is bounded.
  void CountDropped(const std::string& source, const std::string& fault) {
    ++dropped_[{source, fault}];
  }
  void CountAnswer(const caller_answer& answer) {
    ++answers_[{answer.kind, answer.reason}];
  }
  // Records the time from the receipt of a request to its served answer.
  void ObserveLatency(const class_name& service_class, microseconds took);

  // Returns all metrics in the text format.
  std::string Expose(const node& state, const metric_totals& totals) const;

 private:
  using latency_estimate = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;

  std::uint64_t packets_ = 0;
  std::map<std::pair<std::string, std::string>, std::uint64_t> dropped_;
  std::map<std::pair<answer_kind, refusal_reason>, std::uint64_t> answers_;
  std::map<class_name, latency_estimate> latencies_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_METRICS_H_
