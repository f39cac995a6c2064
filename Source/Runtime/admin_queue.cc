#include "Runtime/admin_queue.h"

#include <memory>
#include <utility>

namespace lavendertack {
namespace {

http_answer Stopping() {
  return {503, R"({"error":"the instance is stopping; a resend is safe"})"
               "\n"};
}

}  // namespace

http_answer admin_queue::Ask(http_request request) {
  auto promise = std::make_shared<std::promise<http_answer>>();
  auto future = promise->get_future();
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return Stopping();
    items_.push_back({std::move(request), [promise](http_answer answer) {
                        promise->set_value(std::move(answer));
                      }});
  }
  wake_();
  if (future.wait_for(timeout_) != std::future_status::ready) {
    return {504, R"({"error":"no answer in time; a resend is safe"})"
                 "\n"};
  }
  return future.get();
}

std::deque<admin_queue::item> admin_queue::TakeAll() {
  const std::lock_guard lock(mutex_);
  return std::exchange(items_, {});
}

void admin_queue::Close() {
  std::deque<item> waiting;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    waiting = std::exchange(items_, {});
  }
  for (item& i : waiting) i.answer(Stopping());
}

}  // namespace lavendertack
