// How far a follower was told of something that grows, and whether what was
// sent has reached it.
#ifndef LAVENDERTACK_CONTROL_SENT_CURSOR_H_
#define LAVENDERTACK_CONTROL_SENT_CURSOR_H_

#include <cstdint>
#include <optional>

#include "Common/instant.h"

namespace lavendertack {

class sent_cursor {
 public:
  // Something up to `to` is sent just now.
  void Sent(instant now, std::uint64_t to) {
    told_ = to;
    if (!waits_for_) waits_for_ = {to, now};
  }

  // The follower holds everything up to `held`. What was sent `resend_after`
  // ago and isn't held was lost: it's sent again from there.
  void Confirm(instant now, std::uint64_t held, milliseconds resend_after) {
    if (!waits_for_) {
      told_ = held;
    } else if (held >= waits_for_->to) {
      waits_for_.reset();
      if (held < told_) waits_for_ = {told_, now};
    } else if (now - waits_for_->since >= resend_after) {
      Restart(held);
    }
  }

  // The follower holds everything up to `held`, and nothing is on its way.
  void Restart(std::uint64_t held) {
    told_ = held;
    waits_for_.reset();
  }

  std::uint64_t told() const { return told_; }

 private:
  struct mark {
    std::uint64_t to;
    instant since;
  };

  std::uint64_t told_ = 0;
  std::optional<mark> waits_for_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_SENT_CURSOR_H_
