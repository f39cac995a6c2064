// Catch-up of an instance after each start, before it counts as current. It
// queries the control replicas for the index of their newest applied entry
// until a majority has answered, and is current once it has applied all entries
// up to the highest index reported. These include every entry that a majority
// of the replicas had applied before the start.
#ifndef LAVENDERTACK_DISTRIBUTION_CATCH_UP_H_
#define LAVENDERTACK_DISTRIBUTION_CATCH_UP_H_

#include <optional>
#include <set>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

struct catch_up_settings {
  instance_name self;
  std::set<instance_name> replicas;  // Control replicas; `self` may be one.
  std::uint64_t nonce = 0;           // Differs from that of earlier runs.
};

// Tracks the answers of the replicas. Sending the queries and applying the
// entries is up to the owner.
class catch_up {
 public:
  explicit catch_up(catch_up_settings settings);

  // Counts this instance towards the majority if it's a replica. The owner
  // calls this at the start, after the log file was restored.
  void CountOwnState();
  // Replicas to query now for their newest index. Empty when a majority has
  // answered, or when the last query was less than 200 ms ago.
  std::vector<instance_name> ReplicasToQuery(instant now);
  // Handles the answer of a replica. Ignored when its nonce is that of an
  // earlier run, when `from` isn't a replica, or when a majority has already
  // answered.
  void HandleIndexReport(const instance_name& from, std::uint64_t nonce,
                         log_index applied);
  // Whether a majority has answered and `applied`, the newest applied entry, is
  // at least the highest index reported.
  bool IsCurrent(log_index applied) const;
  std::uint64_t nonce() const { return settings_.nonce; }

 private:
  bool HasMajority() const;

  catch_up_settings settings_;
  std::set<instance_name> answered_;
  log_index newest_index_;  // Highest index reported so far.
  std::optional<instant> last_query_at_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_DISTRIBUTION_CATCH_UP_H_
