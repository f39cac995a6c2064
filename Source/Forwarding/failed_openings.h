// Finds data centres whose targets accept no connections.
//
// Load pattern: the targets of a data centre go down together and reset new
// connections. Their callers try again at once, and a target that fails looks
// less loaded than the others. Found out one by one, the targets would take all
// tries of many callers.
#ifndef LAVENDERTACK_FORWARDING_FAILED_OPENINGS_H_
#define LAVENDERTACK_FORWARDING_FAILED_OPENINGS_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Targets/target_view.h"

namespace lavendertack {

class failed_openings {
 public:
  // A connection to the target wasn't accepted in time.
  void RecordFailed(instant now, const data_centre_name& name, target_tag tag);
  // A target in the data centre has accepted a connection.
  void RecordAccepted(const data_centre_name& name);
  // Data centres where several targets have failed and none has accepted a
  // connection since. Now and then one is left out, so that the next connection
  // probes it.
  std::vector<data_centre_name> TakeFailing(instant now);
  // Number of failing data centres.
  std::size_t failing_count() const;

 private:
  struct failures {
    std::set<target_tag> targets;  // At most kMinFailedTargets.
    instant last_failed;
    instant last_probe;
  };

  std::map<data_centre_name, failures> by_data_centre_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_FAILED_OPENINGS_H_
