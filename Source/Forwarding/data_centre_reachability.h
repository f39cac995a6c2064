// Tells which data centres can't be reached from an entry instance.
//
// Load pattern: a data centre is cut off from the others, and callers still
// reach it. They have connections open across the cut; each request on one
// waits until its deadline, unless the connection is reset so that the caller
// can open another one to a target on its own side.
//
// A data centre is suspected when its control instances send no updates and its
// targets leave several packets unanswered while none answers. New connections
// then go elsewhere. That proves nothing about an open connection: the control
// instances may have failed, and the packets may have gone to targets that have
// ended. Open connections are reset only once nothing from the data centre
// arrives at any other control instance either: its entry instances send no
// requests, and its targets don't report.
#ifndef LAVENDERTACK_FORWARDING_DATA_CENTRE_REACHABILITY_H_
#define LAVENDERTACK_FORWARDING_DATA_CENTRE_REACHABILITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

struct reachability_settings {
  data_centre_name own;
  // Time between two reports of a target.
  milliseconds report_interval{1200};
};

// A data centre that has become unreachable, with the evidence. For the log.
struct unreachable_data_centre {
  data_centre_name name;
  milliseconds silent{0};          // Time since the last message from it.
  milliseconds answers_silent{0};  // The same for an answer of a target.
  std::uint32_t unanswered = 0;    // Packets since that answer.
  // Another control instance receives nothing from it either.
  bool is_confirmed = false;
};

// Not thread-safe; all times are passed in.
class data_centre_reachability {
 public:
  explicit data_centre_reachability(reachability_settings settings)
      : settings_(std::move(settings)) {}

  // A control instance of the data centre has sent an update.
  void RecordUpdate(instant now, const data_centre_name& name);
  // Another control instance tells that it received the last message from the
  // data centre at `received`. `has_entries`: entry instances in it send
  // requests.
  void RecordActivity(instant now, const data_centre_name& name,
                      instant received, bool has_entries);
  // A target of the data centre has answered a packet.
  void RecordAnswered(instant now, const data_centre_name& name);
  // A target of the data centre has left a packet unanswered. Not to be called
  // for targets that are known to have ended.
  void RecordUnanswered(const data_centre_name& name);
  // Discards the evidence from before a suspension of the process that ended at
  // `now`.
  void Discard(instant now);

  // Whether new connections should go to other data centres. False for a data
  // centre without control instances or answers so far.
  bool IsSuspected(instant now, const data_centre_name& name) const;
  // Whether any other data centre is suspected.
  bool HasSuspicion(instant now) const;
  // Whether open connections into the data centre can't go on. Only a suspected
  // data centre can be unreachable, and never the own one.
  bool IsUnreachable(instant now, const data_centre_name& name) const;
  // The data centres that have become unreachable since the last call.
  std::vector<unreachable_data_centre> TakeUnreachable(instant now);
  // When the last message from the data centre arrived here or at another
  // control instance.
  std::optional<instant> LastMessage(const data_centre_name& name) const;

 private:
  struct contact {
    std::optional<instant> last_update;
    // The last message at another control instance, and when one told of it.
    std::optional<instant> last_activity;
    std::optional<instant> activity_known_at;
    bool has_entries = false;
    std::optional<instant> last_answer;
    std::uint32_t unanswered = 0;  // Since the last answer.
    bool was_unreachable = false;  // At the last call of TakeUnreachable.
  };

  bool IsSuspected(instant now, const contact& of) const;
  bool IsUnreachable(instant now, const data_centre_name& name,
                     const contact& of) const;
  // Whether another control instance tells about the data centre. Otherwise
  // this instance may be cut off from all of them, or they may have failed.
  static bool IsConfirmed(instant now, const contact& of);
  // Whether a target in any other data centre than the own one has answered.
  bool HasAnswerFromOthers(instant now) const;

  reachability_settings settings_;
  std::map<data_centre_name, contact> contacts_;
  instant valid_from_;  // End of the time after a suspension.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_DATA_CENTRE_REACHABILITY_H_
