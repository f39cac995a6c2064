// The lease under which an instance may act as the owner of services. Its
// length counts from the time at which the instance sent the granted request,
// not from the receipt of the grant, so a late grant or a suspended process can
// only shorten it.
#ifndef LAVENDERTACK_OWNERSHIP_LEASE_H_
#define LAVENDERTACK_OWNERSHIP_LEASE_H_

#include <map>
#include <set>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Validity of a grant, counted from the sending of its request.
inline constexpr milliseconds kLeaseLength{2500};
// Time after the last possible grant at which another instance may treat the
// lease as expired: kLeaseLength plus 10 % for clocks that run at different
// rates.
inline constexpr milliseconds kFenceWait{2750};

// Number of a lease request. It increases with each request of an instance,
// also across restarts.
using lease_sequence = strong_type<struct lease_sequence_tag, std::uint64_t>;

// Quorum for a lease: `required` of the `granters` must grant it.
struct lease_quorum {
  std::set<instance_name> granters;
  std::size_t required = 0;
};

// Lease of one instance, which covers all services that it owns.
class lease {
 public:
  // `first` is the number of the first request.
  explicit lease(lease_sequence first) : next_(first) {}

  // Records a request sent at `now` and returns its number.
  lease_sequence StartRequest(instant now);
  // Records a grant from `from`. Ignores a grant of a request that isn't
  // pending, such as one sent before a roster change.
  void RecordGrant(const instance_name& from, lease_sequence sequence);
  // Discards the requests and grants for the previous roster. A lease that is
  // already complete stays valid until it expires.
  void ResetForNewRoster();
  // Extends the lease if at least one of the quorums is complete.
  void Extend(const std::vector<lease_quorum>& quorums);
  // Ends the lease immediately, because the instance was removed from the
  // roster.
  void Revoke();

  bool IsValid(instant now) const { return valid_until_ > now; }
  instant valid_until() const { return valid_until_; }

 private:
  lease_sequence next_;  // Number of the next request.
  // Times at which the pending requests were sent.
  std::map<lease_sequence, instant> sent_at_;
  // For each granter, the time at which the newest request that it granted was
  // sent.
  std::map<instance_name, instant> grants_;
  instant valid_until_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_LEASE_H_
