#include "Traffic/answer_assembler.h"

#include <glog/logging.h>

namespace lavendertack {

assembly_result answer_assembler::Add(const run_answer& part) {
  if (part.parts == 0 || part.part >= part.parts) {
    return assembly_result::kIgnored;
  }
  if (part_count_ == 0) {
    if (part.parts > kMaxAnswerParts) return assembly_result::kTooLarge;
    part_count_ = part.parts;
    status_ = part.status;
  }
  if (part.parts != part_count_ || part.status != status_) {
    return assembly_result::kConflict;
  }
  const auto [it, inserted] = parts_.emplace(part.part, part.body);
  if (!inserted) {
    return it->second == part.body ? assembly_result::kIgnored
                                   : assembly_result::kConflict;
  }
  body_bytes_ += part.body.size();
  if (body_bytes_ > kMaxAnswerBytes) return assembly_result::kTooLarge;
  return parts_.size() == part_count_ ? assembly_result::kComplete
                                      : assembly_result::kIncomplete;
}

std::string answer_assembler::JoinBody() {
  CHECK_EQ(parts_.size(), part_count_)
      << "an answer was joined before all of its parts arrived";
  std::string body;
  body.reserve(body_bytes_);
  for (const auto& [part, bytes] : parts_) body += bytes;
  parts_.clear();
  return body;
}

}  // namespace lavendertack
