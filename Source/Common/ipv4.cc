#include "Common/ipv4.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace lavendertack {
namespace {

// More than "255.255.255.255:65535" takes.
constexpr std::size_t kMaxTextBytes = 32;

// Returns the end of what was written.
char* WriteAddress(ipv4_address ip, char* at) {
  for (const int shift : {24, 16, 8, 0}) {
    at = std::to_chars(at, at + 3, (ip.value >> shift) & 0xff).ptr;
    if (shift > 0) *at++ = '.';
  }
  return at;
}

}  // namespace

std::string ToString(ipv4_address ip) {
  std::array<char, kMaxTextBytes> text{};
  return {text.data(), WriteAddress(ip, text.data())};
}

std::string ToString(const ipv4_endpoint& endpoint) {
  std::array<char, kMaxTextBytes> text{};
  char* at = WriteAddress(endpoint.ip, text.data());
  *at++ = ':';
  at = std::to_chars(at, text.data() + text.size(), endpoint.port.value).ptr;
  return {text.data(), at};
}

std::optional<ipv4_address> ParseIpv4(std::string_view text) {
  in_addr parsed{};
  if (inet_pton(AF_INET, std::string(text).c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return ipv4_address{ntohl(parsed.s_addr)};
}

std::optional<ipv4_endpoint> ParseIpv4Endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto ip = ParseIpv4(text.substr(0, colon));
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (!ip || error != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  return ipv4_endpoint{*ip, {port}};
}

}  // namespace lavendertack
