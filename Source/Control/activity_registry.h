// Records when a control instance last received a message from each data
// centre. Followers ask for it to tell a data centre that is cut off from one
// whose control instances have failed: of the latter, entry instances still
// send requests and targets still report to other control instances.
#ifndef LAVENDERTACK_CONTROL_ACTIVITY_REGISTRY_H_
#define LAVENDERTACK_CONTROL_ACTIVITY_REGISTRY_H_

#include <map>
#include <optional>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// What was last received from a data centre.
struct data_centre_activity {
  milliseconds silent{0};    // Time since the last message.
  bool has_entries = false;  // Entry instances in it have sent requests.
};

// Not thread-safe; all times are passed in.
class activity_registry {
 public:
  // A message of a control instance in the data centre was received.
  void RecordControl(instant now, const data_centre_name& name);
  // A request of an entry instance in the data centre was received.
  void RecordEntry(instant now, const data_centre_name& name);
  // A report of a target in the data centre was received. Ignored for a data
  // centre without instances: targets name their data centre themselves.
  void RecordReport(instant now, const data_centre_name& name);
  // Nothing for a data centre of which no message was received.
  std::optional<data_centre_activity> Find(instant now,
                                           const data_centre_name& name) const;

 private:
  struct activity {
    instant last_message;
    std::optional<instant> last_entry;
  };

  std::map<data_centre_name, activity> activities_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_ACTIVITY_REGISTRY_H_
