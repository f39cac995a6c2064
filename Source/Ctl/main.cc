// lavendertackctl: the operators' command line.
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <gflags/gflags.h>

#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

DEFINE_bool(json, false, "Print JSON for programs.");
DEFINE_string(admin, "127.0.0.1:7300", "ip:port of an instance's admin API.");

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr int kExitUnreachable = 4;

int Ask(const std::string& method, const std::string& path,
        const std::string& body) {
  const auto colon = FLAGS_admin.rfind(':');
  if (colon == std::string::npos) return kExitUsage;
  try {
    cxxtools::http::Client client(
        FLAGS_admin.substr(0, colon),
        static_cast<std::uint16_t>(std::stoi(FLAGS_admin.substr(colon + 1))));
    cxxtools::http::Request request(path);
    request.method(method);
    request.body() << body;
    client.execute(request);
    std::cout << client.readBody().body();
    return client.header().httpReturnCode() < 300 ? 0 : kExitRefused;
  } catch (const std::exception& error) {
    std::cerr << "can't reach " << FLAGS_admin << ": " << error.what() << "\n";
    return kExitUnreachable;
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("lavendertackctl [--admin ip:port] VERB");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string verb = argc > 1 ? argv[1] : "";
  if (verb == "status") return Ask("GET", "/v1/status", "");
  if (verb == "targets") return Ask("GET", "/v1/targets", "");
  if (verb == "ticket" && argc > 2 && std::string(argv[2]) == "list") {
    return Ask("GET", "/v1/tickets", "");
  }
  if (verb == "ticket" && argc > 3 && std::string(argv[2]) == "submit") {
    std::ifstream in(argv[3]);
    const std::string body((std::istreambuf_iterator<char>(in)),
                           std::istreambuf_iterator<char>());
    return Ask("POST", "/v1/tickets", body);
  }
  std::cerr << "verbs: status | targets | ticket list | ticket submit FILE\n";
  return kExitUsage;
}
