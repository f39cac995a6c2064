// Conversion of addresses for the socket calls of the system.
#ifndef LAVENDERTACK_RUNTIME_SOCKET_ADDRESS_H_
#define LAVENDERTACK_RUNTIME_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "Common/ipv4.h"

namespace lavendertack {

inline sockaddr_in ToSockaddr(const ipv4_endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.ip.value);
  address.sin_port = htons(endpoint.port.value);
  return address;
}

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_SOCKET_ADDRESS_H_
