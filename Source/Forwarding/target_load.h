// What one instance sees of the targets' load and health in the packets of
// their flows: how many requests pass towards each, and which don't answer new
// connections.
//
// Answers to the load pattern of a target that crashed: its reports stop being
// missed after seconds, its new connections go unanswered at once.
#ifndef LAVENDERTACK_FORWARDING_TARGET_LOAD_H_
#define LAVENDERTACK_FORWARDING_TARGET_LOAD_H_

#include <cstdint>
#include <unordered_map>

#include "Common/instant.h"
#include "Forwarding/decayed_count.h"
#include "Targets/target_view.h"

namespace lavendertack {

class target_load {
 public:
  // A new connection was sent to the target.
  void Opened(instant now, target_tag tag);
  // A packet with data passed towards it.
  void Carried(instant now, target_tag tag);
  // The caller sent its opening packet again: no answer came.
  void Unanswered(instant now, target_tag tag);
  // A caller goes on with a connection that the target has accepted.
  void Answered(target_tag tag);
  // An opening packet went out without outcome so far, or has one now.
  void AddPending(instant now, target_tag tag, int change);

  // Requests lately sent to it from here; older ones count less.
  double Recent(instant now, target_tag tag) const;
  // New connections should go elsewhere where that is possible.
  bool IsSuspect(instant now, target_tag tag) const;

  // Forgets targets without recent packets.
  void Forget(instant now);

 private:
  struct state {
    decayed_count recent;          // Requests.
    instant touched;               // By any packet.
    std::uint32_t unanswered = 0;  // In a row.
    instant suspect_until;
    int pending = 0;
  };

  state& Touch(instant now, target_tag tag);
  void AddRequest(instant now, target_tag tag);

  std::unordered_map<target_tag, state> states_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_TARGET_LOAD_H_
