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

// Number of a lease request. An instance uses higher numbers after a restart.
using lease_sequence = strong_type<struct lease_sequence_tag, std::uint64_t>;

// Quorum for a lease: grants of `required` of the `granters`.
struct lease_quorum {
  std::set<instance_name> granters;
  std::size_t required = 0;
};

// Lease of one instance for all of its services.
class lease {
 public:
  // `first` is the number of the first request.
  explicit lease(lease_sequence first) : next_(first) {}

  // Records a request sent at `now` and returns its number.
  lease_sequence StartRequest(instant now);
  // Ignores grants of unknown requests, as of those before a roster change.
  void RecordGrant(const instance_name& from, lease_sequence sequence);
  // Discards the requests and grants for the previous roster. A lease that is
  // already complete stays valid until it expires.
  void ResetForNewRoster();
  // Extends the lease when one of the quorums is complete.
  void Extend(const std::vector<lease_quorum>& quorums);
  // Ends the lease immediately: the instance was removed from the roster.
  void Revoke();

  bool IsValid(instant now) const { return valid_until_ > now; }
  instant valid_until() const { return valid_until_; }

 private:
  lease_sequence next_;
  std::map<lease_sequence, instant> sent_at_;  // Of the pending requests.
  // By granter: when the newest request that it granted was sent.
  std::map<instance_name, instant> grants_;
  instant valid_until_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_LEASE_H_
