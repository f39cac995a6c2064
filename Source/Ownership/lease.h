// The lease of an instance that is in charge of services. It is valid from
// the instant at which the instance SENT the request that a grant answers, so
// a late grant or a frozen process only makes it shorter.
#ifndef LAVENDERTACK_OWNERSHIP_LEASE_H_
#define LAVENDERTACK_OWNERSHIP_LEASE_H_

#include <map>
#include <set>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// How long a grant holds, from the sending of its request.
inline constexpr milliseconds kLeaseLength{2500};
// What another instance waits after the last grant can have been given: the
// length and a tenth of it, for clocks that run at different rates.
inline constexpr milliseconds kFenceWait{2750};

// Number of a lease request; later lives of an instance use higher ones.
using lease_sequence = strong_type<struct lease_sequence_tag, std::uint64_t>;

// Those whose grants make a lease: `needed` of `granters`.
struct lease_quorum {
  std::set<instance_name> granters;
  std::size_t needed = 0;
};

class lease {
 public:
  explicit lease(lease_sequence first) : next_(first) {}

  // Starts a new request.
  lease_sequence Request(instant now);
  void Granted(const instance_name& from, lease_sequence sequence);
  // Forgets the grants for an earlier roster. A lease that was complete by
  // then goes on until it runs out.
  void StartRoster();
  // Extends the lease when one of the quorums is complete.
  void Extend(const std::vector<lease_quorum>& quorums);
  // Ends it at once: the instance isn't in the roster any more.
  void End();

  bool IsValid(instant now) const { return valid_until_ > now; }
  instant valid_until() const { return valid_until_; }

 private:
  lease_sequence next_;
  std::map<lease_sequence, instant> sent_;
  std::map<instance_name, instant> grants_;  // Sending of the newest request.
  instant valid_until_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_LEASE_H_
