// Data centres that were taken back lately and still get no new flows: their
// targets may have turned cold without having said so yet.
#ifndef LAVENDERTACK_CONTROL_HELD_DATA_CENTRES_H_
#define LAVENDERTACK_CONTROL_HELD_DATA_CENTRES_H_

#include <map>
#include <set>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

class held_data_centres {
 public:
  // Takes note of the data centres that are out now; those that were out
  // before are held for `hold`. The data centres that were taken back.
  std::set<data_centre_name> Update(instant now,
                                    const std::set<data_centre_name>& out,
                                    milliseconds hold);
  // Ends holds that are over; true when one was.
  bool Tick(instant now);
  // Out or held.
  std::set<data_centre_name> Closed() const;

 private:
  std::set<data_centre_name> out_;
  std::map<data_centre_name, instant> held_until_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_HELD_DATA_CENTRES_H_
