#include "Runtime/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>
#include <string_view>

namespace lavendertack {
namespace {

constexpr std::uint16_t kPort = 28'921;
constexpr std::string_view kRequest =
    "DELETE /evacuations/a HTTP/1.1\r\nHost: a\r\n\r\n";

// Connects to the server and sends a request; returns the socket.
int SendRequest() {
  const int file = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(file, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
  REQUIRE(send(file, kRequest.data(), kRequest.size(), 0) ==
          static_cast<ssize_t>(kRequest.size()));
  return file;
}

// Waits until it is true, for at most 5 s.
bool BecomesTrue(const std::function<bool()>& condition) {
  for (int i = 0; i < 500 && !condition(); ++i) usleep(10'000);
  return condition();
}

// Guards against orders that are carried out after their operator has left.
TEST_CASE("a caller that doesn't wait for the answer any more is noticed") {
  std::promise<std::function<bool()>> received;
  std::promise<void> is_answer_due;
  http_server server({"127.0.0.1", kPort}, {.body_bytes = 100, .threads = 2},
                     [&](const http_request& request) {
                       received.set_value(request.is_abandoned);
                       is_answer_due.get_future().wait();
                       return http_response{};
                     });
  const int file = SendRequest();
  const std::function<bool()> is_abandoned = received.get_future().get();
  REQUIRE_FALSE(is_abandoned());

  SECTION("when it closes the connection") {
    close(file);
    REQUIRE(BecomesTrue(is_abandoned));
    is_answer_due.set_value();
  }
  SECTION("when it has been answered") {
    is_answer_due.set_value();
    REQUIRE(BecomesTrue(is_abandoned));
    close(file);
  }
}

}  // namespace
}  // namespace lavendertack
