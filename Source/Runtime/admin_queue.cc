#include "Runtime/admin_queue.h"

#include <chrono>
#include <memory>
#include <utility>

namespace lavendertack {
namespace {

// An operator's request without answer for so long is answered as unknown.
constexpr std::chrono::seconds kAnswerTimeout{10};

}  // namespace

http_answer admin_queue::Ask(http_request request) {
  auto promise = std::make_shared<std::promise<http_answer>>();
  auto future = promise->get_future();
  {
    const std::lock_guard lock(mutex_);
    items_.push_back({std::move(request), [promise](http_answer answer) {
                        promise->set_value(std::move(answer));
                      }});
  }
  wake_();
  if (future.wait_for(kAnswerTimeout) != std::future_status::ready) {
    return {504, R"({"error":"no answer in time; a resend is safe"})"};
  }
  return future.get();
}

std::deque<admin_queue::item> admin_queue::TakeAll() {
  const std::lock_guard lock(mutex_);
  return std::exchange(items_, {});
}

}  // namespace lavendertack
