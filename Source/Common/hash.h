// Stable hashes: the same on every instance and in every version.
#ifndef LAVENDERTACK_COMMON_HASH_H_
#define LAVENDERTACK_COMMON_HASH_H_

#include <cstdint>
#include <string_view>

namespace lavendertack {

// 64-bit hash of `bytes`.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// Rendezvous (highest random weight) score of `candidate` for `key`.
std::uint64_t RendezvousScore(std::uint64_t key, std::string_view candidate);

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_HASH_H_
