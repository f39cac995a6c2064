// Who may do what over the administration API.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_
#define LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_

#include <optional>
#include <string>

#include "Runtime/admin_queue.h"

namespace lavendertack {

// Largest body of a request, in bytes.
inline constexpr std::size_t kMaxRequestBytes = 256 << 10;

// The refusal of a request that may not go on to the instance: another method
// than GET and POST, too large a body, or a change without `token`. An empty
// token lets no change through.
std::optional<http_answer> RefuseRequest(const http_request& request,
                                         const std::string& token);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_
