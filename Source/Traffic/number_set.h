// A set of request numbers kept as ranges, in bounded memory.
#ifndef LAVENDERTACK_TRAFFIC_NUMBER_SET_H_
#define LAVENDERTACK_TRAFFIC_NUMBER_SET_H_

#include <cstdint>
#include <vector>

#include "Common/strong_type.h"

namespace lavendertack {

// Most ranges that are kept; beyond, the gap between the two lowest ranges
// counts as in the set.
inline constexpr std::size_t kMaxNumberRanges = 16;

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
