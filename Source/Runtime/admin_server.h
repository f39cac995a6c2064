// The HTTP server of the administration API, on cxxtools::http.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_
#define LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_

#include <memory>
#include <thread>

#include "Config/settings.h"
#include "Runtime/admin_queue.h"

namespace lavendertack {

class admin_server {
 public:
  // `token` is what changes need. Throws std::exception when the address can't
  // be listened on.
  admin_server(const endpoint& address, std::string token, admin_queue* queue);
  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;
  ~admin_server();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
  std::thread thread_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_SERVER_H_
