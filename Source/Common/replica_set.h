// The voters: instances that vote on entries of the agreed log.
#ifndef LAVENDERTACK_COMMON_REPLICA_SET_H_
#define LAVENDERTACK_COMMON_REPLICA_SET_H_

#include <map>

#include "Common/strong_type.h"

namespace lavendertack {

// The voters, each with the id of the storage that holds its votes.
using replica_set = std::map<instance_name, storage_id>;

// Whether `name` is a voter and `storage` holds its votes.
inline bool IsVoter(const replica_set& set, const instance_name& name,
                    storage_id storage) {
  auto it = set.find(name);
  return it != set.end() && it->second == storage;
}

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_REPLICA_SET_H_
