#include "Runtime/http_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <istream>
#include <mutex>
#include <ostream>
#include <utility>

#include "Runtime/http_socket.h"

namespace lavendertack {
namespace {

// The connection of a caller that waits for an answer.
class caller_connection {
 public:
  explicit caller_connection(int file) : file_(file) {}

  // Call it before the socket may be closed or used for another request.
  void Release() {
    const std::lock_guard lock(mutex_);
    file_ = -1;
  }
  // Whether the caller has closed the connection, or was released. A caller
  // that only closes its sending side counts as gone too.
  bool IsClosed() const {
    const std::lock_guard lock(mutex_);
    if (file_ < 0) return true;
    char byte = 0;
    const ssize_t read = recv(file_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (read >= 0) return read == 0;
    return errno == ECONNRESET || errno == ENOTCONN || errno == EPIPE ||
           errno == ETIMEDOUT;
  }

 private:
  mutable std::mutex mutex_;
  int file_;
};

// Shared by all responders.
struct http_context {
  http_limits limits;
  http_handler handler;
};

class handler_responder : public cxxtools::http::Responder {
 public:
  handler_responder(cxxtools::http::Service& service,
                    const http_context& context)
      : cxxtools::http::Responder(service), context_(context) {}

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                    cxxtools::http::Request& request) override {
    cxxtools::http::Responder::beginRequest(socket, in, request);
    file_ = FileOf(socket);
  }

  std::size_t readBody(std::istream& in) override {
    if (body_bytes_ <= context_.limits.body_bytes) {
      const std::size_t read = cxxtools::http::Responder::readBody(in);
      body_bytes_ += read;
      return read;
    }
    // Discards exactly the buffered bytes: reading more would block on the
    // socket.
    const auto available = std::max<std::streamsize>(0, in.rdbuf()->in_avail());
    std::string dropped(static_cast<std::size_t>(available), '\0');
    return static_cast<std::size_t>(
        in.rdbuf()->sgetn(dropped.data(), available));
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const http_response answer = Answer(request);
    reply.httpReturn(answer.status, answer.status < 400 ? "OK" : "Error");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    if (!answer.location.empty()) {
      reply.setHeader("Location", answer.location.c_str());
    }
    out << answer.body;
  }

 private:
  http_response Answer(const cxxtools::http::Request& from) const {
    const char* authorization = from.getHeader("Authorization");
    const auto connection = std::make_shared<caller_connection>(file_);
    http_response answer = context_.handler(
        {.method = from.method(),
         .path = from.url(),
         .body = from.bodyStr(),
         .authorization = authorization == nullptr ? "" : authorization,
         .too_large = body_bytes_ > context_.limits.body_bytes,
         .is_abandoned = [connection] { return connection->IsClosed(); }});
    connection->Release();
    return answer;
  }

  const http_context& context_;
  int file_ = -1;  // Socket of the connection.
  std::size_t body_bytes_ = 0;
};

class handler_service : public cxxtools::http::Service {
 public:
  explicit handler_service(http_context context)
      : context_(std::move(context)) {}

 private:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override {
    return new handler_responder(*this, context_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

  http_context context_;
};

}  // namespace

struct http_server::impl {
  impl(const endpoint& address, const http_context& context)
      : service(context), server(loop, address.ip, address.port) {
    if (context.limits.threads > 0) {
      server.minThreads(std::min(2U, context.limits.threads));
      server.maxThreads(context.limits.threads);
    }
    server.addService(cxxtools::Regex("^/"), service);
  }
  cxxtools::EventLoop loop;
  handler_service service;
  cxxtools::http::Server server;
};

http_server::http_server(const endpoint& address, const http_limits& limits,
                         http_handler handler)
    : impl_(std::make_unique<impl>(address,
                                   http_context{limits, std::move(handler)})),
      thread_([this] { impl_->loop.run(); }) {}

http_server::~http_server() {
  impl_->loop.exit();
  thread_.join();
}

}  // namespace lavendertack
