#include "Ctl/http_transport.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <charconv>

namespace lavendertack {

admin_transport MakeHttpTransport(std::chrono::milliseconds timeout) {
  return [timeout](const std::string& address, const admin_call& call)
             -> std::variant<http_reply, admin_unreachable> {
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
      std::from_chars(address.data() + colon + 1,
                      address.data() + address.size(), port);
    }
    if (port == 0) return admin_unreachable{"is not of the form ip:port"};
    try {
      cxxtools::http::Client client(address.substr(0, colon), port);
      cxxtools::http::Request request(call.path);
      request.method(call.method);
      if (!call.token.empty()) {
        const std::string value = "Bearer " + call.token;
        request.setHeader("Authorization", value.c_str());
      }
      request.body() << call.body;
      client.execute(request, cxxtools::Milliseconds(
                                  static_cast<double>(timeout.count())));
      http_reply reply;
      reply.body = client.readBody().body();
      reply.status = client.header().httpReturnCode();
      return reply;
    } catch (const std::exception& error) {
      return admin_unreachable{error.what()};
    }
  };
}

}  // namespace lavendertack
