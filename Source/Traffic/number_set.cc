#include "Traffic/number_set.h"

#include <algorithm>

namespace lavendertack {

void number_set::Add(request_number number) {
  AddRange({number.value, number.value});
}

void number_set::AddUpTo(request_number last) {
  if (last.value > 0) AddRange({1, last.value});
}

bool number_set::Contains(request_number number) const {
  return std::any_of(ranges_.begin(), ranges_.end(), [&](const range& r) {
    return r.first <= number.value && number.value <= r.last;
  });
}

void number_set::AddRange(range added) {
  std::vector<range> merged;
  for (const range& r : ranges_) {
    // Subtracts instead of adding 1, which would overflow for the largest
    // number.
    const bool below = r.last < added.first && added.first - r.last > 1;
    const bool above = r.first > added.last && r.first - added.last > 1;
    if (below || above) {
      merged.push_back(r);
      continue;
    }
    added = {std::min(added.first, r.first), std::max(added.last, r.last)};
  }
  merged.push_back(added);
  std::sort(merged.begin(), merged.end(),
            [](const range& a, const range& b) { return a.first < b.first; });
  if (merged.size() > kMaxNumberRanges) {
    merged[1].first = merged[0].first;
    merged.erase(merged.begin());
  }
  ranges_ = std::move(merged);
}

}  // namespace lavendertack
