// Counts the openings of the most active callers in a table of bounded size, by
// the space-saving algorithm: when the table is full, a new caller replaces the
// one with the lowest count and inherits that count as its possible error. A
// caller with more than 1/capacity of all openings is therefore always in the
// table. Counts decay exponentially.
#ifndef LAVENDERTACK_FORWARDING_CALLER_COUNTS_H_
#define LAVENDERTACK_FORWARDING_CALLER_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "Common/instant.h"
#include "Common/ipv4.h"

namespace lavendertack {

// A caller repeats a refused attempt at most this many times.
constexpr std::size_t kMaxRetries = 2;

// State of one caller address.
struct caller_account {
  ipv4_address caller;
  instant first_seen;
  // Part of the count that may belong to replaced callers, in scaled openings.
  double error = 0;
  std::uint32_t refused = 0;  // Refused openings since the last report.
  // Refused attempts that a retry may follow, by the number of retries that
  // preceded them; the last of them, and its route.
  std::array<std::uint32_t, kMaxRetries> awaiting_retry{};
  instant last_refused;
  ipv4_endpoint refused_route;
};

class caller_counts {
 public:
  // `window` is the time in which the weight of an opening falls to 1/e.
  caller_counts(std::size_t capacity, milliseconds window)
      : capacity_(capacity), window_(window) {}

  // Counts an opening. Takes logarithmic time, and allocates nothing once the
  // table is full.
  void Add(instant now, ipv4_address caller);
  // The caller's account; null if it isn't in the table. Valid until the caller
  // is replaced or expires.
  caller_account* Find(ipv4_address caller);
  // Openings that are certainly the caller's own; 0 if it isn't in the table. A
  // caller that is new and has several openings counts as if it had had the
  // same rate for the whole window.
  double OwnOpenings(instant now, ipv4_address caller) const;
  // Openings of all callers, including those that aren't in the table.
  double Total(instant now) const;
  // Calls `visit` with each account and its own openings, by ascending count.
  void ForEach(instant now,
               const std::function<void(caller_account&, double)>& visit);
  // Removes callers without recent openings.
  void Expire(instant now);
  std::size_t size() const { return accounts_.size(); }

 private:
  // Accounts by their count in scaled openings. An opening at a later time has
  // a greater weight, instead of the earlier ones a lower one; so the order
  // doesn't change with time.
  using accounts_by_count = std::multimap<double, caller_account>;

  double OwnOpenings(instant now, double count,
                     const caller_account& account) const;
  // Weight of an opening at `now`, in scaled openings.
  double Scale(instant now) const;
  // Replaces the reference time of the scale before weights can overflow.
  void Rescale(instant now);

  std::size_t capacity_;
  std::chrono::duration<double> window_;
  instant reference_;  // The time at which the scale is 1.
  double total_ = 0;   // In scaled openings.
  accounts_by_count accounts_;
  std::unordered_map<ipv4_address, accounts_by_count::iterator> by_caller_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_CALLER_COUNTS_H_
