// Tracks the revision up to which changes were sent to a follower, and whether
// the follower has acknowledged them.
#ifndef LAVENDERTACK_CONTROL_SENT_CURSOR_H_
#define LAVENDERTACK_CONTROL_SENT_CURSOR_H_

#include <cstdint>
#include <optional>

#include "Common/instant.h"

namespace lavendertack {

class sent_cursor {
 public:
  // Records that changes up to revision `to` are sent now.
  void MarkSent(instant now, std::uint64_t to) {
    sent_to_ = to;
    if (!pending_ack_) pending_ack_ = {to, now};
  }

  // Handles an acknowledgement of all revisions up to `held`. Changes that
  // aren't acknowledged `resend_after` after they were sent count as lost: the
  // cursor is set back to `held`, so that they are sent again.
  void Acknowledge(instant now, std::uint64_t held, milliseconds resend_after) {
    if (!pending_ack_) {
      sent_to_ = held;
    } else if (held >= pending_ack_->to) {
      pending_ack_.reset();
      if (held < sent_to_) pending_ack_ = {sent_to_, now};
    } else if (now - pending_ack_->since >= resend_after) {
      Reset(held);
    }
  }

  // Sets the cursor to `held`, with no unacknowledged changes.
  void Reset(std::uint64_t held) {
    sent_to_ = held;
    pending_ack_.reset();
  }

  // Revision up to which changes were sent.
  std::uint64_t sent_to() const { return sent_to_; }

 private:
  // Sent changes that aren't acknowledged yet.
  struct pending_ack {
    std::uint64_t to;  // Revision that must be acknowledged.
    instant since;     // When the wait for that acknowledgement began.
  };

  std::uint64_t sent_to_ = 0;
  std::optional<pending_ack> pending_ack_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_SENT_CURSOR_H_
