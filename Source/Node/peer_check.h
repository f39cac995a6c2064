// Validates messages of other instances before the reducer handles them.
#ifndef LAVENDERTACK_NODE_PEER_CHECK_H_
#define LAVENDERTACK_NODE_PEER_CHECK_H_

#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// False when the message contains a log entry or a snapshot that this version
// can't decode. Such an entry or snapshot must not be accepted, stored or
// applied.
bool HasReadableEntries(const wire::agreement_message& message);

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_PEER_CHECK_H_
