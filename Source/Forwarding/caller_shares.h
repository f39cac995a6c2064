// Decides which callers' openings are refused when a share of the new
// connections of one service and priority has to be refused.
//
// Callers above their fair share are refused first. The fair share is the
// max-min one: each caller gets what it asks for up to a common bound, which is
// chosen so that the required share is refused in total. The decision for a
// caller stays the same for a period of some hundred milliseconds, so that a
// refused caller doesn't get in by retrying at once.
#ifndef LAVENDERTACK_FORWARDING_CALLER_SHARES_H_
#define LAVENDERTACK_FORWARDING_CALLER_SHARES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "Common/instant.h"
#include "Common/ipv4.h"
#include "Common/strong_type.h"
#include "Forwarding/caller_counts.h"
#include "Forwarding/decayed_count.h"
#include "Forwarding/packet.h"

namespace lavendertack {

// The new connections to one service on routes of one priority.
struct refusal_class {
  service_name service;
  std::uint32_t priority = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy misreads operator<=>.
  friend auto operator<=>(const refusal_class&, const refusal_class&) = default;
};

// Position of a caller in [0, 1): the caller is refused while its position is
// below the share of its openings that has to be refused. The position changes
// once per decision period. `time` is the time since an epoch; instances that
// agree on it compute the same positions.
double RefusalPosition(microseconds time, const refusal_class& of,
                       ipv4_address caller);

// The bound of the max-min fair share over a set of callers.
class fair_share_bound {
 public:
  // Replaces the callers. `openings` are their openings, in any order;
  // `others` is the number of openings of callers that aren't known, each of
  // which counts as a caller with one opening.
  void Set(const std::vector<double>& openings, double others);
  // Returns the number of openings per caller above which openings must be
  // refused so that `share` of all are. Takes logarithmic time.
  double BoundFor(double share) const;

 private:
  // The callers with at least `openings` openings, together.
  struct step {
    double openings = 0;
    double callers = 0;
    double sum = 0;  // Of their openings.
  };
  std::vector<step> steps_;  // By descending openings.
};

// A caller with refused openings, for the log.
struct refused_caller {
  ipv4_address caller;
  std::uint32_t refused = 0;  // Openings since the last report.
};

class caller_shares {
 public:
  // See RefusalPosition; tests replace it.
  using position_hook = std::function<double(instant now, ipv4_address caller)>;

  static constexpr std::size_t kMaxCallers = 1024;

  explicit caller_shares(position_hook position,
                         std::size_t max_callers = kMaxCallers);

  // Counts the opening packet of a connection, unless it is a retransmission.
  // Returns whether to refuse it when `share` of all openings has to be
  // refused.
  bool Refuses(instant now, const flow_packet& packet, double share);
  // Updates the fair share and expires callers; to be called at a regular
  // interval.
  void Tick(instant now);
  // Discards what was derived from decisions before a suspension of the
  // process. The counts of openings stay, as they decay with time.
  void DiscardDecisions();

  // Callers in the table, and those above their fair share at the last update;
  // 0 when nothing was refused recently.
  std::size_t tracked() const { return counts_.size(); }
  std::size_t above_share() const { return above_share_; }
  // Openings that were recognised as retries of refused attempts.
  std::uint64_t retries() const { return retries_; }
  // The `max` callers with the most refused openings since the last call, by
  // descending number.
  std::vector<refused_caller> TakeRefused(instant now, std::size_t max);

 private:
  // Returns how many retries precede this opening; if it is a retry, counts it.
  std::size_t MatchRetry(instant now, const flow_key& flow,
                         caller_account* account);
  // Whether the packet is in the refused part of its caller.
  bool IsRefused(instant now, const flow_packet& packet, double share) const;
  // The share to ask for so that the refused share is `share` over time.
  double Corrected(instant now, double share) const;
  // Difference between the recent refusals and the required ones, in standard
  // deviations. It is large when the openings come from other callers than
  // before, as the counts follow them slowly.
  double Deviation(instant now, double share) const;
  // The part of the first attempts to refuse so that `openings_part` of all
  // openings are refused, if the retries of these are refused as well.
  double FirstAttemptPart(instant now, double openings_part) const;

  caller_counts counts_;
  fair_share_bound bound_;
  double counted_ = 0;  // Openings of all callers when `bound_` was set.
  decayed_count recent_retries_;
  decayed_count refused_requests_;  // At their first attempt.
  decayed_count recent_required_;   // Refusals.
  decayed_count recent_refused_;    // Openings.
  position_hook position_;
  // Openings that should have been refused, less those that were.
  double owed_refusals_ = 0;
  double last_share_ = 0;
  instant last_decision_;
  instant last_update_;
  std::size_t above_share_ = 0;
  std::uint64_t retries_ = 0;
  std::vector<double> openings_;  // Kept to avoid allocations.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_CALLER_SHARES_H_
