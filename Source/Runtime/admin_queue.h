// Hands operators' requests from the HTTP threads to the instance's loop and
// the answers back.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_QUEUE_H_
#define LAVENDERTACK_RUNTIME_ADMIN_QUEUE_H_

#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <string>

namespace lavendertack {

struct http_request {
  std::string method;
  std::string path;
  std::string body;
};
struct http_answer {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
};

class admin_queue {
 public:
  using answer_function = std::function<void(http_answer)>;
  struct item {
    http_request request;
    answer_function answer;
  };

  // `wake` is called after each request that was put in.
  explicit admin_queue(std::function<void()> wake) : wake_(std::move(wake)) {}

  // Called by an HTTP thread; waits for the answer.
  http_answer Ask(http_request request);
  // Called by the loop.
  std::deque<item> TakeAll();

 private:
  std::function<void()> wake_;
  std::mutex mutex_;
  std::deque<item> items_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_QUEUE_H_
