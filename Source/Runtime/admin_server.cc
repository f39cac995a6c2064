#include "Runtime/admin_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <istream>
#include <ostream>
#include <utility>

#include "Runtime/admin_access.h"

namespace lavendertack {
namespace {

// What the responders share.
struct admin_backend {
  std::string token;
  admin_queue* queue;
};

class admin_responder : public cxxtools::http::Responder {
 public:
  admin_responder(cxxtools::http::Service& service,
                  const admin_backend& backend)
      : cxxtools::http::Responder(service), backend_(backend) {}

  std::size_t readBody(std::istream& in) override {
    if (body_bytes_ <= kMaxRequestBytes) {
      const std::size_t read = cxxtools::http::Responder::readBody(in);
      body_bytes_ += read;
      return read;
    }
    // Exactly what is buffered: reading on would wait for the socket.
    const auto available = std::max<std::streamsize>(0, in.rdbuf()->in_avail());
    std::string dropped(static_cast<std::size_t>(available), '\0');
    return static_cast<std::size_t>(
        in.rdbuf()->sgetn(dropped.data(), available));
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const http_answer answer = Answer(request);
    reply.httpReturn(answer.status, answer.status < 400 ? "OK" : "Error");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    out << answer.body;
  }

 private:
  http_answer Answer(const cxxtools::http::Request& from) const {
    const char* authorization = from.getHeader("Authorization");
    http_request request{
        .method = from.method(),
        .path = from.url(),
        .body = from.bodyStr(),
        .authorization = authorization == nullptr ? "" : authorization,
        .too_large = body_bytes_ > kMaxRequestBytes};
    if (auto refusal = RefuseRequest(request, backend_.token)) {
      return *std::move(refusal);
    }
    return backend_.queue->Ask(std::move(request));
  }

  const admin_backend& backend_;
  std::size_t body_bytes_ = 0;
};

class admin_service : public cxxtools::http::Service {
 public:
  explicit admin_service(admin_backend backend)
      : backend_(std::move(backend)) {}

 private:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override {
    return new admin_responder(*this, backend_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

  admin_backend backend_;
};

}  // namespace

struct admin_server::impl {
  impl(const endpoint& address, admin_backend backend)
      : service(std::move(backend)), server(loop, address.ip, address.port) {
    server.addService(cxxtools::Regex("^/"), service);
  }
  cxxtools::EventLoop loop;
  admin_service service;
  cxxtools::http::Server server;
};

admin_server::admin_server(const endpoint& address, std::string token,
                           admin_queue* queue)
    : impl_(std::make_unique<impl>(address,
                                   admin_backend{std::move(token), queue})),
      thread_([this] { impl_->loop.run(); }) {}

admin_server::~admin_server() {
  impl_->loop.exit();
  thread_.join();
}

}  // namespace lavendertack
