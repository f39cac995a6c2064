#include "Common/hash.h"

#include <xxhash.h>

namespace lavendertack {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

digest StableDigest(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {.high = hash.high64, .low = hash.low64};
}

std::uint64_t RendezvousScore(std::uint64_t key, std::string_view candidate) {
  return StableHash(candidate, key);
}

}  // namespace lavendertack
