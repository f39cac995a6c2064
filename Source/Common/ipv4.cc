#include "Common/ipv4.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace lavendertack {
namespace {

// Size of a buffer for any endpoint; "255.255.255.255:65535" has 21 bytes.
constexpr std::size_t kMaxEndpointBytes = 32;

// Writes `ip` in dotted decimal form and returns the end of the written text.
char* WriteAddress(ipv4_address ip, char* out) {
  for (const int shift : {24, 16, 8, 0}) {
    out = std::to_chars(out, out + 3, (ip.value >> shift) & 0xff).ptr;
    if (shift > 0) *out++ = '.';
  }
  return out;
}

}  // namespace

std::string ToString(ipv4_address ip) {
  std::array<char, kMaxEndpointBytes> text{};
  return {text.data(), WriteAddress(ip, text.data())};
}

std::string ToString(const ipv4_endpoint& endpoint) {
  std::array<char, kMaxEndpointBytes> text{};
  char* out = WriteAddress(endpoint.ip, text.data());
  *out++ = ':';
  out = std::to_chars(out, text.data() + text.size(), endpoint.port.value).ptr;
  return {text.data(), out};
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
