// Answers queries about an entry or control instance: `/metrics` in the
// Prometheus text format, `/v1/status` and `/v1/targets` in JSON.
#ifndef LAVENDERTACK_RUNTIME_FLEET_QUERIES_H_
#define LAVENDERTACK_RUNTIME_FLEET_QUERIES_H_

#include <cstdint>
#include <map>
#include <string>

#include "Common/latency_histogram.h"
#include "Control/control_instance.h"
#include "Entry/entry_instance.h"
#include "EventLog/event_log.h"
#include "Runtime/fleet_links.h"
#include "Runtime/request_queue.h"

namespace lavendertack {

// Counters of an entry instance's event loop.
struct entry_counts {
  std::map<forward_reason, std::uint64_t> packets;
  std::uint64_t held = 0;  // Packets that were held until the state was known.
  std::uint64_t malformed = 0;  // Datagrams that aren't valid packets.
  // Packets for a target whose id the packet format can't express.
  std::uint64_t unaddressable = 0;
  std::uint64_t unsent = 0;  // Packets that the kernel didn't accept.
  // Refused opening packets that were dropped because their reset had no room
  // on the link.
  std::uint64_t resets_left_out = 0;
  // Times that another data centre became unreachable.
  std::uint64_t unreachable_data_centres = 0;
};

// Counters of a control instance's event loop.
struct control_counts {
  std::map<std::string, std::uint64_t> orders;  // Answered, by result.
  latency_histogram order_latency;
  // Reports that changed a target's state or were outdated, by phase.
  std::map<target_phase, std::uint64_t> reports;
  std::uint64_t refused_calls = 0;
  std::uint64_t reports_of_unknown_services = 0;
  // Changed weights of targets, by finding.
  std::map<performance_finding, std::uint64_t> weight_changes;
};

// Read-only state that queries about an entry instance are answered from.
struct entry_query_view {
  const entry_instance& entry;
  const entry_counts& counts;
  const event_log& log;
  const fleet_links& links;
  std::string instance;
  instant now;
};
// Read-only state that queries about a control instance are answered from.
struct control_query_view {
  const control_instance& control;
  const control_counts& counts;
  const event_log& log;
  const fleet_links& links;
  std::string instance;
  instant now;
};

// Answers a GET request; 404 for an unknown path.
http_response AnswerEntryQuery(const entry_query_view& view,
                               const std::string& path);
http_response AnswerControlQuery(const control_query_view& view,
                                 const std::string& path);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_FLEET_QUERIES_H_
