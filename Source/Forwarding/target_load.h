// Load and health of each target as one instance observes them in the packets
// that it forwards: the number of recent requests, and whether the target
// answers new connections (passive health check).
//
// This detects a crashed target at once: missing reports are noticed only after
// seconds, but new connections go unanswered immediately.
#ifndef LAVENDERTACK_FORWARDING_TARGET_LOAD_H_
#define LAVENDERTACK_FORWARDING_TARGET_LOAD_H_

#include <cstdint>
#include <unordered_map>

#include "Common/instant.h"
#include "Forwarding/decayed_count.h"
#include "Targets/target_view.h"

namespace lavendertack {

// Observed load and health of all targets, by tag.
class target_load {
 public:
  // An opening packet was forwarded to the target. It counts as a request.
  void RecordOpening(instant now, target_tag tag);
  // A packet with data was forwarded to the target.
  void RecordRequest(instant now, target_tag tag);
  // The caller retransmitted its opening packet, so the target hasn't answered.
  void RecordUnanswered(instant now, target_tag tag);
  // The caller sent the next packet of a connection, so the target has accepted
  // it. Clears the suspicion.
  void RecordAnswered(instant now, target_tag tag);
  // The caller has received an answer of the target on an open connection.
  void RecordProgress(instant now, target_tag tag);
  // Changes the number of opening packets whose outcome isn't known: +1 when
  // one is forwarded, -1 when its outcome is known or it expires.
  void ChangePending(instant now, target_tag tag, int change);

  // Number of requests that this instance forwarded to the target, decayed with
  // a window of 2 s.
  double RecentRequests(instant now, target_tag tag) const;
  // Whether an answer was recorded at `since` or later.
  bool HasAnsweredSince(instant since, target_tag tag) const;
  // Whether new connections should go to other targets, if there are any.
  bool IsSuspect(instant now, target_tag tag) const;

  // Erases the state of targets without recorded packets in the last 30 s.
  void EraseIdle(instant now);

 private:
  struct state {
    decayed_count recent_requests;
    instant last_used;             // Last call of GetOrCreateState.
    std::uint32_t unanswered = 0;  // Consecutive unanswered connections.
    // While `unanswered` is above 0, the target is suspect until this time.
    instant suspect_until;
    instant last_answered;
    int pending = 0;  // Opening packets without a known outcome.
  };

  // Returns the state of the target, created if needed, and records that it was
  // used at `now`.
  state& GetOrCreateState(instant now, target_tag tag);
  void AddRequest(instant now, target_tag tag);

  std::unordered_map<target_tag, state> states_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_TARGET_LOAD_H_
