// The HTTP port for queries about the metrics and the state of a process. The
// process's event loop answers the queries.
#ifndef LAVENDERTACK_RUNTIME_QUERY_PORT_H_
#define LAVENDERTACK_RUNTIME_QUERY_PORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Common/ipv4.h"
#include "Runtime/http_server.h"
#include "Runtime/request_queue.h"

namespace lavendertack {

class query_port {
 public:
  query_port();
  query_port(const query_port&) = delete;
  query_port& operator=(const query_port&) = delete;
  ~query_port();

  // Returns the reason when the server can't listen at the address.
  std::optional<std::string> Open(const ipv4_endpoint& address);
  // A file descriptor that is readable while a query is pending.
  int file() const { return wake_file_; }
  // Answers all pending queries, which are GET requests; requests with another
  // method are refused with 405.
  void AnswerAll(
      const std::function<http_response(const std::string& path)>& answer);
  // Answers pending queries with 503 and stops listening.
  void Close();

 private:
  int wake_file_;
  request_queue queue_;
  std::unique_ptr<http_server> server_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_QUERY_PORT_H_
