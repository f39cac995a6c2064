// Set of request numbers, stored as ranges in bounded memory.
#ifndef LAVENDERTACK_TRAFFIC_NUMBER_SET_H_
#define LAVENDERTACK_TRAFFIC_NUMBER_SET_H_

#include <cstdint>
#include <vector>

#include "Common/strong_type.h"

namespace lavendertack {

// Most ranges in a set. To stay within it, the two lowest ranges are merged, so
// that the numbers between them count as contained.
inline constexpr std::size_t kMaxNumberRanges = 16;

// Contains is true for every number that was added. Once ranges were merged, it
// may also be true for numbers that were never added.
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
