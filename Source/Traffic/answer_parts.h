// Puts the parts of one target's answer together.
#ifndef LAVENDERTACK_TRAFFIC_ANSWER_PARTS_H_
#define LAVENDERTACK_TRAFFIC_ANSWER_PARTS_H_

#include <map>
#include <string>

#include "Traffic/messages.h"

namespace lavendertack {

// Largest whole answer of a target, in bytes, and in parts.
inline constexpr std::size_t kMaxWholeAnswerBytes = 1 << 20;
inline constexpr std::uint32_t kMaxAnswerParts = 1024;

enum class parts_verdict {
  kMore,      // Parts are missing.
  kWhole,     // All parts are there.
  kTooLarge,  // Above one of the bounds.
  kIgnored,   // A duplicate, or at odds with the parts seen before.
};

class answer_parts {
 public:
  // The first part fixes the status and the number of parts.
  parts_verdict Add(const run_answer& part);

  run_status status() const { return status_; }
  // The whole body, once Add has said kWhole.
  std::string TakeBody();

 private:
  run_status status_ = run_status::kDone;
  std::uint32_t count_ = 0;  // 0: no part seen.
  std::size_t bytes_ = 0;
  std::map<std::uint32_t, std::string> parts_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_ANSWER_PARTS_H_
