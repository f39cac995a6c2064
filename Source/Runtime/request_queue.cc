#include "Runtime/request_queue.h"

#include <memory>
#include <utility>

#include "Runtime/process_time.h"

namespace lavendertack {
namespace {

http_response StoppingResponse() {
  return {503, R"({"error":"the instance is stopping; a retry is safe"})"
               "\n"};
}

}  // namespace

http_response request_queue::SubmitAndWait(http_request request) {
  auto promise = std::make_shared<std::promise<http_response>>();
  auto future = promise->get_future();
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return StoppingResponse();
    pending_.push_back({std::move(request),
                        [promise](http_response answer) {
                          promise->set_value(std::move(answer));
                        },
                        Now()});
  }
  wake_();
  if (future.wait_for(timeout_) != std::future_status::ready) {
    return {504, R"({"error":"no answer in time; a retry is safe"})"
                 "\n"};
  }
  return future.get();
}

std::deque<request_queue::pending_request> request_queue::PopAll() {
  const std::lock_guard lock(mutex_);
  return std::exchange(pending_, {});
}

void request_queue::Close() {
  std::deque<pending_request> unanswered;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    unanswered = std::exchange(pending_, {});
  }
  for (pending_request& request : unanswered) {
    request.answer(StoppingResponse());
  }
}

}  // namespace lavendertack
