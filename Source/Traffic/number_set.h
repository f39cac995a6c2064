// Set of request numbers, stored as ranges in bounded memory.
#ifndef LAVENDERTACK_TRAFFIC_NUMBER_SET_H_
#define LAVENDERTACK_TRAFFIC_NUMBER_SET_H_

#include <cstdint>
#include <vector>

#include "Common/strong_type.h"

namespace lavendertack {

// Most ranges in a set. Beyond it the two lowest ranges are merged, so that the
// numbers between them count as contained.
inline constexpr std::size_t kMaxNumberRanges = 16;

// May report numbers that were never added, once it has merged ranges, but
// always reports those that were.
class number_set {
 public:
  void Add(request_number number);
  // Adds every number from 1 to `last`.
  void AddUpTo(request_number last);
  bool Contains(request_number number) const;

 private:
  struct range {
    std::uint64_t first;
    std::uint64_t last;
  };

  void AddRange(range added);

  std::vector<range> ranges_;  // Ascending, with gaps between them.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_NUMBER_SET_H_
