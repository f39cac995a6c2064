// Queue that passes HTTP requests from the HTTP threads to the event loop and
// the responses back.
#ifndef LAVENDERTACK_RUNTIME_REQUEST_QUEUE_H_
#define LAVENDERTACK_RUNTIME_REQUEST_QUEUE_H_

#include <chrono>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <string>

#include "Common/instant.h"

namespace lavendertack {

struct http_request {
  std::string method;
  std::string path;
  std::string body;
  std::string authorization;  // Value of the Authorization header.
  bool too_large = false;     // The body exceeded the limit and was dropped.
  // Whether the caller has closed the connection, or was answered. May be
  // called by any thread.
  std::function<bool()> is_abandoned = [] { return false; };
};
struct http_response {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::string location;  // Location header of a redirect; empty for none.
};

// Longest wait for the loop's answer; after that the response is 504.
inline constexpr std::chrono::milliseconds kAnswerTimeout{10'000};

// Thread-safe queue between the HTTP threads and one event loop.
class request_queue {
 public:
  using answer_function = std::function<void(http_response)>;
  // A request and the function that answers it, which must be called once.
  struct pending_request {
    http_request request;
    answer_function answer;
    instant received_at;  // When an HTTP thread had read the request.
  };

  // `wake` is called after each request is added, by the thread that adds it.
  // `timeout` is the longest wait for an answer.
  explicit request_queue(std::function<void()> wake,
                         std::chrono::milliseconds timeout = kAnswerTimeout)
      : wake_(std::move(wake)), timeout_(timeout) {}

  // Called by an HTTP thread. Blocks until the loop has answered; returns 504
  // after the timeout and 503 after Close.
  http_response SubmitAndWait(http_request request);
  // Called by the loop; removes and returns all pending requests.
  std::deque<pending_request> PopAll();
  // Answers all pending requests, and all later ones, with 503.
  void Close();

 private:
  std::function<void()> wake_;
  std::chrono::milliseconds timeout_;
  std::mutex mutex_;
  std::deque<pending_request> pending_;
  bool closed_ = false;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_REQUEST_QUEUE_H_
