// The HTTP port for questions about a process: metrics and its state. The
// loop answers them between its other work.
#ifndef LAVENDERTACK_RUNTIME_QUERY_PORT_H_
#define LAVENDERTACK_RUNTIME_QUERY_PORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Common/ipv4.h"
#include "Runtime/admin_queue.h"
#include "Runtime/http_server.h"

namespace lavendertack {

class query_port {
 public:
  query_port();
  query_port(const query_port&) = delete;
  query_port& operator=(const query_port&) = delete;
  ~query_port();

  // The reason when the address can't be listened on.
  std::optional<std::string> Open(const ipv4_endpoint& address);
  // Readable when a question waits.
  int file() const { return wake_file_; }
  // Answers what waits. Only GET is asked for; others are refused.
  void AnswerAll(
      const std::function<http_answer(const std::string& path)>& answer);
  void Close();

 private:
  int wake_file_;
  admin_queue queue_;
  std::unique_ptr<http_server> server_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_QUERY_PORT_H_
