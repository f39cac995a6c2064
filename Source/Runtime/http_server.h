// HTTP server based on cxxtools::http that runs in its own threads.
#ifndef LAVENDERTACK_RUNTIME_HTTP_SERVER_H_
#define LAVENDERTACK_RUNTIME_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <thread>

#include "Config/settings.h"
#include "Runtime/request_queue.h"

namespace lavendertack {

// Called by the server's threads, also concurrently.
using http_handler = std::function<http_response(http_request)>;

struct http_limits {
  // Size of the largest body. A larger one is dropped, and
  // http_request::too_large is set.
  std::size_t body_bytes = 0;
  unsigned threads = 0;  // Concurrent requests; 0 for the default.
};

class http_server {
 public:
  // Throws std::exception when the server can't listen at the address.
  http_server(const endpoint& address, const http_limits& limits,
              http_handler handler);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
  std::thread thread_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_HTTP_SERVER_H_
