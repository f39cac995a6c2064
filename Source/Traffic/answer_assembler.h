// Reassembles a target's answer to one attempt from its parts.
#ifndef LAVENDERTACK_TRAFFIC_ANSWER_ASSEMBLER_H_
#define LAVENDERTACK_TRAFFIC_ANSWER_ASSEMBLER_H_

#include <map>
#include <string>

#include "Traffic/messages.h"

namespace lavendertack {

// Largest answer of a target, in bytes.
inline constexpr std::size_t kMaxAnswerBytes = 1 << 20;
// Most parts of one answer.
inline constexpr std::uint32_t kMaxAnswerParts = 1024;

// Outcome of adding a part.
enum class assembly_result {
  kIncomplete,  // Other parts are still missing.
  kComplete,    // All parts have arrived.
  kTooLarge,    // Exceeds kMaxAnswerBytes or kMaxAnswerParts.
  kIgnored,     // A duplicate, or a part with an invalid number.
  kConflict,    // Contradicts an earlier part; the answer can't be trusted.
};

// Collects the parts in any order and detects duplicates and contradictions.
class answer_assembler {
 public:
  // Adds a part. The first part sets the status and the number of parts of the
  // answer; a later part with other values is a conflict.
  assembly_result Add(const run_answer& part);

  // Status of the first part; kDone until there is one.
  run_status status() const { return status_; }
  // True once a part was added: the target no longer runs the request.
  bool has_parts() const { return part_count_ > 0; }
  // Returns the concatenated body and clears the parts. Must only be called
  // after Add has returned kComplete.
  std::string JoinBody();

 private:
  run_status status_ = run_status::kDone;
  std::uint32_t part_count_ = 0;  // Number of parts; 0 before the first one.
  std::size_t body_bytes_ = 0;    // Of the bodies of all parts received.
  std::map<std::uint32_t, std::string> parts_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_ANSWER_ASSEMBLER_H_
