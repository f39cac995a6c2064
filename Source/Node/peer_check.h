// Checks messages of other instances before the reducer acts on them.
#ifndef LAVENDERTACK_NODE_PEER_CHECK_H_
#define LAVENDERTACK_NODE_PEER_CHECK_H_

#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// False when the message carries an entry of the log that this version can't
// read. Such an entry must not be accepted, stored or applied.
bool HasReadableEntries(const wire::agreement_message& message);

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_PEER_CHECK_H_
