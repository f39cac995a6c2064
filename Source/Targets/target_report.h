// The report that a target sends periodically about itself.
#ifndef LAVENDERTACK_TARGETS_TARGET_REPORT_H_
#define LAVENDERTACK_TARGETS_TARGET_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "Common/instant.h"
#include "Common/ipv4.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Unique id of a target. A restarted target usually has a new id.
using target_id = strong_type<struct target_id_tag, std::string>;

// Identifies a target, in 32 bits, in the packets of its flows. 0 means no
// target.
using target_tag = strong_type<struct target_tag_tag, std::uint32_t>;
// A hash of the target id, never 0. Two ids may have the same tag.
target_tag TagOf(const target_id& id);

// Orders the reports of one target id: by the start time of the target, then by
// the sequence number since that start.
struct report_version {
  std::uint64_t started_ms = 0;  // By the target's own clock.
  std::uint64_t sequence = 0;
  // NOLINTBEGIN(modernize-use-nullptr): clang-tidy misreads operator<=>.
  friend auto operator<=>(const report_version&,
                          const report_version&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

// A share in percent.
using percent = strong_type<struct percent_tag, std::uint32_t>;
constexpr percent kFullWeight{100};

// Lifecycle of a target.
enum class target_phase {
  kReady,     // Accepts new flows.
  kDraining,  // Handles its open flows but accepts no new ones.
  kGone,      // Has ended.
  kSilent     // No report within the timeout; may still handle its flows.
};

// The phase's name in logs and metrics.
const char* ToString(target_phase phase);

// One report of a target.
struct target_report {
  target_id id;
  report_version version;
  service_name service;
  ipv4_endpoint address;
  data_centre_name data_centre;
  std::uint32_t slots = 0;  // Maximum number of concurrent requests.
  target_phase phase = target_phase::kReady;
  // Remaining time of its cold start, in which it gets no new flows.
  milliseconds cold_left{0};
  // With kSilent: callers' packets to the target went unanswered too.
  bool unanswered = false;
  // A control instance has saved the report before its restart. The target may
  // have ended since, or report to another control instance.
  bool restored = false;
  // Share of the usual new flows that the target gets; set by the control
  // instance that it reports to.
  percent weight = kFullWeight;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_REPORT_H_
