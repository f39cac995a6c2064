#include "Runtime/admin_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <ostream>

namespace lavendertack {
namespace {

class admin_responder : public cxxtools::http::Responder {
 public:
  admin_responder(cxxtools::http::Service& service, admin_queue* queue)
      : cxxtools::http::Responder(service), queue_(queue) {}

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const http_answer answer =
        queue_->Ask({request.method(), request.url(), request.bodyStr()});
    reply.httpReturn(answer.status, answer.status < 400 ? "OK" : "Error");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    out << answer.body;
  }

 private:
  admin_queue* queue_;
};

class admin_service : public cxxtools::http::Service {
 public:
  explicit admin_service(admin_queue* queue) : queue_(queue) {}

 private:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override {
    return new admin_responder(*this, queue_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

  admin_queue* queue_;
};

}  // namespace

struct admin_server::impl {
  impl(const endpoint& address, admin_queue* queue)
      : service(queue), server(loop, address.ip, address.port) {
    server.addService(cxxtools::Regex("^/"), service);
  }
  cxxtools::EventLoop loop;
  admin_service service;
  cxxtools::http::Server server;
};

admin_server::admin_server(const endpoint& address, admin_queue* queue)
    : impl_(std::make_unique<impl>(address, queue)),
      thread_([this] { impl_->loop.run(); }) {}

admin_server::~admin_server() {
  impl_->loop.exit();
  thread_.join();
}

}  // namespace lavendertack
