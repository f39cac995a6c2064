// Hands operators' requests from the HTTP threads to the instance's loop and
// the answers back.
#ifndef LAVENDERTACK_RUNTIME_ADMIN_QUEUE_H_
#define LAVENDERTACK_RUNTIME_ADMIN_QUEUE_H_

#include <chrono>
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
  std::string authorization;  // The header, as it came.
  bool too_large = false;     // The body was beyond the bound and dropped.
};
struct http_answer {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::string location;  // Where else to ask; empty for none.
};

// An operator's request without answer for so long is answered as open.
inline constexpr std::chrono::milliseconds kAnswerTimeout{10'000};

class admin_queue {
 public:
  using answer_function = std::function<void(http_answer)>;
  struct item {
    http_request request;
    answer_function answer;
  };

  // `wake` is called after each request that was put in.
  // `timeout` is the longest wait for an answer.
  explicit admin_queue(std::function<void()> wake,
                       std::chrono::milliseconds timeout = kAnswerTimeout)
      : wake_(std::move(wake)), timeout_(timeout) {}

  // Called by an HTTP thread; waits for the answer.
  http_answer Ask(http_request request);
  // Called by the loop.
  std::deque<item> TakeAll();
  // Answers what waits, and all that comes later, with 503.
  void Close();

 private:
  std::function<void()> wake_;
  std::chrono::milliseconds timeout_;
  std::mutex mutex_;
  std::deque<item> items_;
  bool closed_ = false;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ADMIN_QUEUE_H_
