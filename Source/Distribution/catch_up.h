// What an instance does after each start before it counts as current: it asks
// for the newest applied entry until a majority of the control replicas has
// answered, and then applies all entries up to the newest of the answers. Any
// entry that a majority of the replicas had applied before is among them.
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
  std::set<instance_name> replicas;
  std::uint64_t nonce = 0;  // Differs from that of earlier lives.
};

class catch_up {
 public:
  explicit catch_up(catch_up_settings settings);

  // This replica's own log file was there at the start: it counts as one of
  // the majority.
  void CountOwnState();
  // Replicas to ask now for their newest entry.
  std::vector<instance_name> ReplicasToQuery(instant now);
  void HandleIndexReport(const instance_name& from, std::uint64_t nonce,
                         log_index applied);
  // A majority answered and `applied` is no less than the newest answer.
  bool IsCurrent(log_index applied) const;
  std::uint64_t nonce() const { return settings_.nonce; }

 private:
  bool HasMajority() const;

  catch_up_settings settings_;
  std::set<instance_name> answered_;
  log_index newest_;
  std::optional<instant> last_asked_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_DISTRIBUTION_CATCH_UP_H_
