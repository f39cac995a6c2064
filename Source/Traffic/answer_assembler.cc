#include "Traffic/answer_assembler.h"

#include <glog/logging.h>

namespace lavendertack {

parts_verdict answer_assembler::Add(const run_answer& part) {
  if (part.parts == 0 || part.part >= part.parts) {
    return parts_verdict::kIgnored;
  }
  if (count_ == 0) {
    if (part.parts > kMaxAnswerParts) return parts_verdict::kTooLarge;
    count_ = part.parts;
    status_ = part.status;
  }
  if (part.parts != count_ || part.status != status_) {
    return parts_verdict::kConflict;
  }
  const auto [it, inserted] = parts_.emplace(part.part, part.body);
  if (!inserted) {
    return it->second == part.body ? parts_verdict::kIgnored
                                   : parts_verdict::kConflict;
  }
  bytes_ += part.body.size();
  if (bytes_ > kMaxWholeAnswerBytes) return parts_verdict::kTooLarge;
  return parts_.size() == count_ ? parts_verdict::kComplete
                                 : parts_verdict::kIncomplete;
}

std::string answer_assembler::JoinBody() {
  CHECK_EQ(parts_.size(), count_)
      << "an answer was joined before all of its parts arrived";
  std::string body;
  body.reserve(bytes_);
  for (const auto& [part, bytes] : parts_) body += bytes;
  parts_.clear();
  return body;
}

}  // namespace lavendertack
