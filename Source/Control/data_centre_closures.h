// Tracks which data centres get no new flows. A reopened data centre stays
// closed for a delay, because its targets may have become cold without having
// reported that yet.
#ifndef LAVENDERTACK_CONTROL_DATA_CENTRE_CLOSURES_H_
#define LAVENDERTACK_CONTROL_DATA_CENTRE_CLOSURES_H_

#include <map>
#include <set>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

class data_centre_closures {
 public:
  // Sets the data centres that operators have closed. Returns the data centres
  // that were closed before the call and no longer are: they stay closed for
  // `delay`.
  std::set<data_centre_name> Update(instant now,
                                    const std::set<data_centre_name>& closed,
                                    milliseconds delay);
  // Opens the data centres whose delay is over; returns whether there was one.
  bool Tick(instant now);
  // Data centres that are closed by operators or still within their delay.
  std::set<data_centre_name> Closed() const;

 private:
  std::set<data_centre_name> closed_;
  std::map<data_centre_name, instant> reopens_at_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_DATA_CENTRE_CLOSURES_H_
