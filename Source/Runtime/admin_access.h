// Access control of the administration API.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_
#define LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_

#include <optional>
#include <string>

#include "Runtime/request_queue.h"

namespace lavendertack {

// Largest request body, in bytes.
inline constexpr std::size_t kMaxRequestBytes = 256 << 10;

// Returns the error response for a request that isn't allowed, or nothing for
// one that is. Refused are methods other than GET and POST, and POST requests
// with too large a body or without the bearer token `token`. An empty `token`
// means that the instance accepts no changes.
std::optional<http_response> CheckAccess(const http_request& request,
                                         const std::string& token);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_
