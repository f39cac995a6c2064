// Stable hashes: the same input gives the same hash on every instance and in
// every version of lavendertack.
#ifndef LAVENDERTACK_COMMON_HASH_H_
#define LAVENDERTACK_COMMON_HASH_H_

#include <cstdint>
#include <string_view>

namespace lavendertack {

// Returns the 64-bit hash of `bytes`.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// A 128-bit hash. Collisions are so improbable that inputs with equal digests
// are treated as equal.
struct digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const digest&, const digest&) = default;
};
// Returns the 128-bit hash of `bytes`.
digest StableDigest(std::string_view bytes);

// Returns the score of `candidate` for `key` in rendezvous hashing: the
// candidate with the highest score is selected.
std::uint64_t RendezvousScore(std::uint64_t key, std::string_view candidate);

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_HASH_H_
