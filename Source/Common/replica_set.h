// The instances that vote on entries of the agreed log.
#ifndef LAVENDERTACK_COMMON_REPLICA_SET_H_
#define LAVENDERTACK_COMMON_REPLICA_SET_H_

#include <map>

#include "Common/strong_type.h"

namespace lavendertack {

// Each voter with the life of the disk that it votes with.
using replica_set = std::map<instance_name, storage_id>;

// Whether `name` votes with the disk `storage`.
inline bool IsVoter(const replica_set& set, const instance_name& name,
                    storage_id storage) {
  auto it = set.find(name);
  return it != set.end() && it->second == storage;
}

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_REPLICA_SET_H_
