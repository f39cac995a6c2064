#include "Runtime/query_port.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace lavendertack {
namespace {

// Queries handled concurrently, the largest request body in bytes, and the
// longest wait for the event loop's answer.
constexpr unsigned kQueryThreads = 2;
constexpr std::size_t kMaxBodyBytes = 4096;
constexpr std::chrono::milliseconds kQueryTimeout{2000};

}  // namespace

query_port::query_port()
    : wake_file_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      queue_([this] { eventfd_write(wake_file_, 1); }, kQueryTimeout) {}

query_port::~query_port() {
  Close();
  close(wake_file_);
}

std::optional<std::string> query_port::Open(const ipv4_endpoint& address) {
  try {
    server_ = std::make_unique<http_server>(
        endpoint{ToString(address.ip), address.port.value},
        http_limits{.body_bytes = kMaxBodyBytes, .threads = kQueryThreads},
        [this](http_request request) {
          if (request.method != "GET") {
            return http_response{405, "{\"error\":\"use GET\"}"};
          }
          return queue_.SubmitAndWait(std::move(request));
        });
  } catch (const std::exception& error) {
    return error.what();
  }
  return std::nullopt;
}

void query_port::AnswerAll(
    const std::function<http_response(const std::string& path)>& answer) {
  eventfd_t ignored = 0;
  eventfd_read(wake_file_, &ignored);
  for (request_queue::pending_request& pending : queue_.PopAll()) {
    pending.answer(answer(pending.request.path));
  }
}

void query_port::Close() {
  queue_.Close();
  server_.reset();
}

}  // namespace lavendertack
