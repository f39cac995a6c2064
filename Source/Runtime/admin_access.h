// Access control of the administration API.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_
#define LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_

#include <optional>
#include <string>

#include "Runtime/request_queue.h"

namespace lavendertack {

// Largest request body, in bytes.
inline constexpr std::size_t kMaxRequestBodyBytes = 256 << 10;

// Returns the error response for a request that isn't allowed, or nothing for
// one that is. Allowed are GET requests, and POST requests with the bearer
// token `token` and a body within kMaxRequestBodyBytes. An empty `token` means
// that the instance accepts no changes.
std::optional<http_response> CheckAccess(const http_request& request,
                                         const std::string& token);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_ACCESS_H_
