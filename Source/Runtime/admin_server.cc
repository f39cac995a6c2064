#include "Runtime/admin_server.h"

#include <utility>

#include "Runtime/admin_access.h"

namespace lavendertack {

admin_server::admin_server(const endpoint& address, std::string token,
                           request_queue* queue)
    : server_(address, {.body_bytes = kMaxRequestBodyBytes},
              [token = std::move(token), queue](http_request request) {
                if (auto refusal = CheckAccess(request, token)) {
                  return *std::move(refusal);
                }
                return queue->SubmitAndWait(std::move(request));
              }) {}

}  // namespace lavendertack
