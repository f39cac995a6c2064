#include "Runtime/query_port.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace lavendertack {
namespace {

// Questions that are handled at a time, and the longest wait for an answer.
constexpr unsigned kThreads = 2;
constexpr std::size_t kBodyBytes = 4096;
constexpr std::chrono::milliseconds kTimeout{2000};

}  // namespace

query_port::query_port()
    : wake_file_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      queue_([this] { eventfd_write(wake_file_, 1); }, kTimeout) {}

query_port::~query_port() {
  Close();
  close(wake_file_);
}

std::optional<std::string> query_port::Open(const ipv4_endpoint& address) {
  try {
    server_ = std::make_unique<http_server>(
        endpoint{ToString(address.ip), address.port.value},
        http_limits{.body_bytes = kBodyBytes, .threads = kThreads},
        [this](http_request request) {
          if (request.method != "GET") {
            return http_answer{405, "{\"error\":\"use GET\"}"};
          }
          return queue_.Ask(std::move(request));
        });
  } catch (const std::exception& error) {
    return error.what();
  }
  return std::nullopt;
}

void query_port::AnswerAll(
    const std::function<http_answer(const std::string& path)>& answer) {
  eventfd_t ignored = 0;
  eventfd_read(wake_file_, &ignored);
  for (admin_queue::item& item : queue_.TakeAll()) {
    item.answer(answer(item.request.path));
  }
}

void query_port::Close() {
  queue_.Close();
  server_.reset();
}

}  // namespace lavendertack
