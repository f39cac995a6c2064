#include "Runtime/caller_socket.h"

#include <rapidcheck/catch.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

TEST_CASE("callers' addresses are converted to and from text") {
  SECTION("a round trip gives the same address") {
    rc::prop("round trip", [](std::uint32_t ip, std::uint16_t port) {
      RC_PRE(port != 0);
      sockaddr_in address{};
      address.sin_addr.s_addr = ip;
      address.sin_port = port;
      const auto parsed = ToSockaddr(ToCallerAddress(address));
      RC_ASSERT(parsed.has_value());
      RC_ASSERT(parsed->sin_addr.s_addr == ip);
      RC_ASSERT(parsed->sin_port == port);
    });
  }
  SECTION("invalid addresses, as another instance may send, are refused") {
    for (const char* text : {"", "1", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0",
                             "1.2.3.4:65536", "1.2.3.256:1", "1.2.3:4",
                             "1.2.3.4.5:6", "-1.2.3.4:5", "1.2.3.4:5x"}) {
      CHECK_FALSE(ToSockaddr(caller_address{text}));
    }
    rc::prop("any text", [](const std::string& text) {
      if (auto address = ToSockaddr(caller_address{text})) {
        RC_ASSERT(address->sin_port != 0);
      }
    });
  }
}

TEST_CASE("datagrams are sent in batches and received whole") {
  caller_socket sender;
  caller_socket receiver;
  REQUIRE(std::holds_alternative<std::monostate>(
      sender.Open({"127.0.0.1", 39481})));
  REQUIRE(std::holds_alternative<std::monostate>(
      receiver.Open({"127.0.0.1", 39482})));
  std::vector<std::size_t> sizes;
  const auto record = [&sizes](const caller_address& from,
                               std::string_view bytes) {
    CHECK(from.value == "127.0.0.1:39481");
    sizes.push_back(bytes.size());
  };

  SECTION("several batches arrive in order") {
    for (std::size_t i = 0; i < 150; ++i) {
      sender.Send({"127.0.0.1:39482"}, std::string(i, 'x'));
    }
    sender.Flush();
    receiver.Receive(1000, record);
    REQUIRE(sizes.size() == 150);
    CHECK(sizes[149] == 149);
  }
  SECTION("a datagram that can't be sent doesn't block the others") {
    sender.Send({"127.0.0.1:39482"}, "first");
    sender.Send({"127.0.0.1:39482"}, std::string(70'000, 'x'));
    sender.Send({"127.0.0.1:39482"}, "third");
    sender.Flush();
    receiver.Receive(1000, record);
    CHECK(sizes.size() == 2);
  }
  SECTION("a datagram that is too long is cut one byte above the limit") {
    sender.Send({"127.0.0.1:39482"}, std::string(2000, 'x'));
    sender.Flush();
    receiver.Receive(1000, record);
    CHECK(sizes.at(0) == 1401);
  }
}

}  // namespace
}  // namespace lavendertack
