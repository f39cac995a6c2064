// Access to the socket of an HTTP connection.
#ifndef LAVENDERTACK_RUNTIME_HTTP_SOCKET_H_
#define LAVENDERTACK_RUNTIME_HTTP_SOCKET_H_

namespace cxxtools::net {
class TcpSocket;
}

namespace lavendertack {

// The file descriptor of the socket.
int FileOf(const cxxtools::net::TcpSocket& socket);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_HTTP_SOCKET_H_
