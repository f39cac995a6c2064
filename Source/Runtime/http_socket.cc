#include "Runtime/http_socket.h"

#include <cxxtools/net/tcpsocket.h>

namespace lavendertack {

int FileOf(const cxxtools::net::TcpSocket& socket) { return socket.getFd(); }

}  // namespace lavendertack
