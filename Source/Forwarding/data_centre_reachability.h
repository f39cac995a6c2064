// Tells which data centres can't be reached from an entry instance.
//
// Load pattern: a data centre is cut off from the others, and callers still
// reach it. They have connections open across the cut; each request on one
// waits until its deadline, unless the connection is reset so that the caller
// can open another one to a target on its own side.
//
// Two signs together, neither of which is enough alone: no update of a control
// instance of the data centre arrives (it may have been killed), and its
// targets leave several packets unanswered (they may be slow or lost) while
// none answers.
#ifndef LAVENDERTACK_FORWARDING_DATA_CENTRE_REACHABILITY_H_
#define LAVENDERTACK_FORWARDING_DATA_CENTRE_REACHABILITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Not thread-safe; all times are passed in.
class data_centre_reachability {
 public:
  // A control instance of the data centre has sent an update.
  void RecordUpdate(instant now, const data_centre_name& name);
  // A target of the data centre has answered a packet.
  void RecordAnswered(instant now, const data_centre_name& name);
  // A target of the data centre has left a packet unanswered.
  void RecordUnanswered(const data_centre_name& name);
  // Discards the evidence from before a suspension of the process that ended at
  // `now`.
  void Discard(instant now);

  // False for a data centre without control instances or answers so far.
  bool IsUnreachable(instant now, const data_centre_name& name) const;
  // The data centres that have become unreachable since the last call.
  std::vector<data_centre_name> TakeLost(instant now);

 private:
  struct contact {
    std::optional<instant> last_update;
    std::optional<instant> last_answer;
    std::uint32_t unanswered = 0;  // Since the last answer.
    bool was_lost = false;         // At the last call of TakeLost.
  };

  bool IsLost(instant now, const contact& of) const;

  std::map<data_centre_name, contact> contacts_;
  instant valid_from_;  // End of the time after a suspension.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_DATA_CENTRE_REACHABILITY_H_
