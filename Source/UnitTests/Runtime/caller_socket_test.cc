#include "Runtime/caller_socket.h"

#include <rapidcheck/catch.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

TEST_CASE("addresses of callers") {
  SECTION("come back the same") {
    rc::prop("round trip", [](std::uint32_t ip, std::uint16_t port) {
      RC_PRE(port != 0);
      sockaddr_in address{};
      address.sin_addr.s_addr = ip;
      address.sin_port = port;
      const auto back = ToSockaddr(ToCallerAddress(address));
      RC_ASSERT(back.has_value());
      RC_ASSERT(back->sin_addr.s_addr == ip);
      RC_ASSERT(back->sin_port == port);
    });
  }
  SECTION("that are none, as another instance may send, are refused") {
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

TEST_CASE("datagrams go out in batches and come in whole") {
  caller_socket one;
  caller_socket two;
  REQUIRE(
      std::holds_alternative<std::monostate>(one.Open({"127.0.0.1", 39481})));
  REQUIRE(
      std::holds_alternative<std::monostate>(two.Open({"127.0.0.1", 39482})));
  std::vector<std::size_t> sizes;
  const auto note = [&sizes](const caller_address& from,
                             std::string_view bytes) {
    CHECK(from.value == "127.0.0.1:39481");
    sizes.push_back(bytes.size());
  };

  SECTION("more than one batch, in order") {
    for (std::size_t i = 0; i < 150; ++i) {
      one.Send({"127.0.0.1:39482"}, std::string(i, 'x'));
    }
    one.Flush();
    two.Receive(1000, note);
    REQUIRE(sizes.size() == 150);
    CHECK(sizes[149] == 149);
  }
  SECTION("one that can't be sent doesn't hold up the rest") {
    one.Send({"127.0.0.1:39482"}, "first");
    one.Send({"127.0.0.1:39482"}, std::string(70'000, 'x'));
    one.Send({"127.0.0.1:39482"}, "third");
    one.Flush();
    two.Receive(1000, note);
    CHECK(sizes.size() == 2);
  }
  SECTION("one that is too long shows its excess") {
    one.Send({"127.0.0.1:39482"}, std::string(2000, 'x'));
    one.Flush();
    two.Receive(1000, note);
    CHECK(sizes.at(0) == 1401);
  }
}

}  // namespace
}  // namespace lavendertack
