// Counts the packets that each target didn't answer, for the reports of an
// entry instance to the control instances.
//
// One instance sees too few packets of one target to tell a lost packet from a
// vanished target, so the control instances add up what all instances report.
#ifndef LAVENDERTACK_FORWARDING_UNANSWERED_PACKETS_H_
#define LAVENDERTACK_FORWARDING_UNANSWERED_PACKETS_H_

#include <cstdint>
#include <map>

#include "Common/instant.h"
#include "Targets/target_report.h"

namespace lavendertack {

// Number of unanswered packets by target; 0 if the target has answered since
// the previous report.
using unanswered_report = std::map<target_tag, std::uint32_t>;

// Not thread-safe; all times are passed in.
class unanswered_packets {
 public:
  // A packet to the target went unanswered.
  void RecordUnanswered(target_tag tag);
  // The target has answered a packet: earlier ones were lost or delayed.
  void RecordAnswered(target_tag tag);
  // Whether something was recorded since the last report.
  bool has_unreported() const { return !unreported_.empty(); }
  // Returns what was recorded since the last report.
  unanswered_report TakeReport(instant now);

 private:
  unanswered_report unreported_;
  // Targets with reported unanswered packets, and when these were reported.
  std::map<target_tag, instant> reported_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_UNANSWERED_PACKETS_H_
