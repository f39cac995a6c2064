// IPv4 addresses and ports as integers in host byte order, and their text form.
#ifndef LAVENDERTACK_COMMON_IPV4_H_
#define LAVENDERTACK_COMMON_IPV4_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Common/strong_type.h"

namespace lavendertack {

using ipv4_address = strong_type<struct ipv4_address_tag, std::uint32_t>;
using port_number = strong_type<struct port_number_tag, std::uint16_t>;

struct ipv4_endpoint {
  ipv4_address ip;
  port_number port;
  friend auto operator<=>(const ipv4_endpoint&, const ipv4_endpoint&) = default;
};

// Return the text form, such as "10.0.0.1" and "10.0.0.1:80".
std::string ToString(ipv4_address ip);
std::string ToString(const ipv4_endpoint& endpoint);

// Parses "10.0.0.1". Returns nothing for any other form.
std::optional<ipv4_address> ParseIpv4(std::string_view text);
// Parses "10.0.0.1:80" with a port of at least 1. Returns nothing for any other
// form.
std::optional<ipv4_endpoint> ParseIpv4Endpoint(std::string_view text);

}  // namespace lavendertack

template <>
struct std::hash<lavendertack::ipv4_endpoint> {
  std::size_t operator()(
      const lavendertack::ipv4_endpoint& endpoint) const noexcept {
    const std::uint64_t packed =
        std::uint64_t{endpoint.ip.value} << 16 | endpoint.port.value;
    // 2^64 divided by the golden ratio: spreads adjacent addresses.
    return std::hash<std::uint64_t>{}(packed * 0x9e3779b97f4a7c15U);
  }
};

#endif  // LAVENDERTACK_COMMON_IPV4_H_
