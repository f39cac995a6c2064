#include "Common/hash.h"

#include <xxhash.h>

namespace lavendertack {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t RendezvousScore(std::uint64_t key, std::string_view candidate) {
  return StableHash(candidate, key);
}

}  // namespace lavendertack
