#include "Ctl/admin_client.h"

#include <optional>
#include <utility>

namespace lavendertack {
namespace {

// Rounds over all addresses.
constexpr int kRounds = 2;

bool IsOpen(unsigned status) { return status == 503 || status == 504; }

}  // namespace

admin_client::admin_client(std::vector<std::string> addresses,
                           std::string token, admin_transport transport)
    : addresses_(std::move(addresses)),
      token_(std::move(token)),
      transport_(std::move(transport)) {}

std::variant<admin_reply, admin_unreachable> admin_client::Try(
    const std::string& address, const admin_call& call) const {
  auto answered = transport_(address, call);
  if (auto* error = std::get_if<admin_unreachable>(&answered)) {
    return admin_unreachable{address + ": " + error->what};
  }
  const http_reply& reply = std::get<http_reply>(answered);
  auto body = nlohmann::json::parse(reply.body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return admin_unreachable{address + ": the answer is no JSON object"};
  }
  return admin_reply{reply.status, std::move(body)};
}

std::variant<admin_reply, admin_unreachable> admin_client::Ask(
    const std::string& method, const std::string& path,
    const std::string& body) const {
  const admin_call call{method, path, body, token_};
  std::optional<admin_reply> open;
  std::string failures;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& address : addresses_) {
      auto answered = Try(address, call);
      if (auto* error = std::get_if<admin_unreachable>(&answered)) {
        failures += failures.empty() ? error->what : "; " + error->what;
        continue;
      }
      auto& reply = std::get<admin_reply>(answered);
      if (!IsOpen(reply.status)) return std::move(reply);
      open = std::move(reply);
    }
  }
  if (open) return *std::move(open);
  return admin_unreachable{std::move(failures)};
}

std::variant<admin_reply, admin_unreachable> admin_client::AskOne(
    const std::string& address, const std::string& path) const {
  return Try(address, {"GET", path, "", token_});
}

}  // namespace lavendertack
