// Stable hashes: the same on every instance and in every version.
#ifndef LAVENDERTACK_COMMON_HASH_H_
#define LAVENDERTACK_COMMON_HASH_H_

#include <cstdint>
#include <string_view>

namespace lavendertack {

// 64-bit hash of `bytes`.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// 128-bit hash: equal only for equal bytes, as far as chance goes.
struct digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const digest&, const digest&) = default;
};
digest StableDigest(std::string_view bytes);

// Rendezvous (highest random weight) score of `candidate` for `key`.
std::uint64_t RendezvousScore(std::uint64_t key, std::string_view candidate);

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_HASH_H_
