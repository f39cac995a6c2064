// The HTTP server of the administration API.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_
#define LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_

#include <string>

#include "Runtime/http_server.h"

namespace lavendertack {

class admin_server {
 public:
  // `token` is the bearer token that changes require. Allowed requests go to
  // `queue`, which must outlive the server. Throws std::exception when the
  // server can't listen at the address.
  admin_server(const endpoint& address, std::string token,
               request_queue* queue);

 private:
  http_server server_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_
