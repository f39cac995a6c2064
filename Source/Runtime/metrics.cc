#include "Runtime/metrics.h"

#include <array>
#include <sstream>

#include "Common/exposition_writer.h"

namespace lavendertack {
namespace {

constexpr std::array<double, 3> kQuantiles{0.5, 0.9, 0.99};

void ExposeShards(const node& state, exposition_writer* out) {
  const auto expose_gauge = [&](const std::string& name,
                                const std::string& help, auto value) {
    out->BeginFamily(name, "gauge", help);
    for (const auto& [service, shard] : state.shards()) {
      out->AddSample(FormatLabel("service", service.value), value(shard));
    }
  };
  expose_gauge("flows", "Open flows of this instance.",
               [](const service_shard& s) { return s.flow_count(); });
  expose_gauge("targets", "Targets known to this instance.",
               [](const service_shard& s) { return s.targets().size(); });
  expose_gauge("ready_slots", "Slots of ready targets.",
               [](const service_shard& s) { return s.Load().ready_slots; });
  expose_gauge("busy_slots", "Slots that run a request.",
               [](const service_shard& s) { return s.Load().busy_slots; });
}

}  // namespace

void metrics::ObserveLatency(const class_name& service_class,
                             microseconds took) {
  namespace tags = boost::accumulators;
  auto it = latencies_.find(service_class);
  if (it == latencies_.end()) {
    it = latencies_
             .emplace(service_class,
                      latency_estimate(tags::extended_p_square_probabilities =
                                           kQuantiles))
             .first;
  }
  it->second(std::chrono::duration<double>(took).count());
}

std::string metrics::Expose(const node& state,
                            const metric_totals& totals) const {
  namespace tags = boost::accumulators;
  exposition_writer out;
  out.AddSingleSample("packets_total", "counter",
                      "Valid packets received from callers.", packets_);
  out.BeginFamily("dropped_total", "counter", "Messages dropped, by fault.");
  for (const auto& [key, count] : dropped_) {
    out.AddSample(FormatLabel("source", key.first) + "," +
                      FormatLabel("fault", key.second),
                  count);
  }
  out.BeginFamily("answers_total", "counter",
                  "Answers to callers, by outcome.");
  for (const auto& [key, count] : answers_) {
    out.AddSample(FormatLabel("outcome", ToString(key.first)) + "," +
                      FormatLabel("reason", ToString(key.second)),
                  count);
  }
  out.BeginFamily("request_seconds", "summary",
                  "Time from the receipt of a request to its served answer.");
  for (const auto& [name, estimate] : latencies_) {
    const std::string label = FormatLabel("class", name.value);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      std::ostringstream quantile;
      quantile << kQuantiles[i];
      const auto index = static_cast<std::ptrdiff_t>(i);
      out.AddSample(label + "," + FormatLabel("quantile", quantile.str()),
                    tags::extended_p_square(estimate)[index]);
    }
    out.AddSample(label, tags::sum(estimate), "_sum");
    out.AddSample(label, tags::count(estimate), "_count");
  }
  ExposeShards(state, &out);
  out.AddSingleSample("applied_entry", "gauge",
                      "Newest applied entry of the log.",
                      state.agreed_directory().applied().value);
  out.AddSingleSample(
      "unreadable_messages_total", "counter",
      "Messages dropped because of log entries that can't be read.",
      state.unreadable_messages());
  out.AddSingleSample("peer_sent_bytes_total", "counter",
                      "Bytes sent to other instances.", totals.peer_bytes_sent);
  out.AddSingleSample("peer_received_bytes_total", "counter",
                      "Bytes received from other instances.",
                      totals.peer_bytes_received);
  out.AddSingleSample("decisions_logged_total", "counter",
                      "Decisions written to the log.", totals.decisions_logged);
  out.AddSingleSample("decisions_left_out_total", "counter",
                      "Decisions left out of the log by the rate limit.",
                      totals.decisions_left_out);
  return out.Text();
}

}  // namespace lavendertack
