// What a target says of itself in its reports.
#ifndef LAVENDERTACK_TARGETS_TARGET_REPORT_H_
#define LAVENDERTACK_TARGETS_TARGET_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "Common/instant.h"
#include "Common/ipv4.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Name of a target. A restarted target mostly has a new one.
using target_id = strong_type<struct target_id_tag, std::string>;

// Position of a report among all reports under one target id: by the start of
// the target, in ms of its own clock, then by its count in that start.
struct report_version {
  std::uint64_t started_ms = 0;
  std::uint64_t sequence = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy misreads operator<=>.
  friend auto operator<=>(const report_version&,
                          const report_version&) = default;
};

enum class target_phase { kReady, kDraining, kGone, kSilent };

const char* ToString(target_phase phase);

struct target_report {
  target_id id;
  report_version version;
  service_name service;
  ipv4_endpoint address;
  data_centre_name data_centre;
  std::uint32_t slots = 0;  // Requests that it works on at a time.
  target_phase phase = target_phase::kReady;
  milliseconds cold_left{0};  // How much longer it stays cold.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TARGETS_TARGET_REPORT_H_
