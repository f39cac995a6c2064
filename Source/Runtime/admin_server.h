// The HTTP server of the administration API.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_
#define LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_

#include <string>

#include "Runtime/http_server.h"

namespace lavendertack {

class admin_server {
 public:
  // `token` is what changes need. Throws std::exception when the address can't
  // be listened on.
  admin_server(const endpoint& address, std::string token, admin_queue* queue);

 private:
  http_server server_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_
