#include "Ctl/admin_client.h"

#include <optional>
#include <utility>

namespace lavendertack {
namespace {

// Number of times that each address is tried.
constexpr int kMaxRounds = 2;

bool IsOutcomeUnknown(unsigned status) {
  return status == 503 || status == 504;
}

}  // namespace

admin_client::admin_client(std::vector<std::string> addresses,
                           std::string token, admin_transport transport)
    : addresses_(std::move(addresses)),
      token_(std::move(token)),
      transport_(std::move(transport)) {}

std::variant<admin_reply, admin_unreachable> admin_client::SendOnce(
    const std::string& address, const admin_call& call) const {
  auto result = transport_(address, call);
  if (auto* error = std::get_if<admin_unreachable>(&result)) {
    return admin_unreachable{address + ": " + error->what};
  }
  const http_reply& reply = std::get<http_reply>(result);
  auto body = nlohmann::json::parse(reply.body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return admin_unreachable{address + ": the reply is not a JSON object"};
  }
  return admin_reply{reply.status, std::move(body)};
}

std::variant<admin_reply, admin_unreachable> admin_client::Send(
    const std::string& method, const std::string& path,
    const std::string& body) const {
  const admin_call call{method, path, body, token_};
  std::optional<admin_reply> unknown_outcome;
  std::string failures;
  for (int round = 0; round < kMaxRounds; ++round) {
    for (const std::string& address : addresses_) {
      auto result = SendOnce(address, call);
      if (auto* error = std::get_if<admin_unreachable>(&result)) {
        failures += failures.empty() ? error->what : "; " + error->what;
        continue;
      }
      auto& reply = std::get<admin_reply>(result);
      if (!IsOutcomeUnknown(reply.status)) return std::move(reply);
      unknown_outcome = std::move(reply);
    }
  }
  if (unknown_outcome) return *std::move(unknown_outcome);
  return admin_unreachable{std::move(failures)};
}

std::variant<admin_reply, admin_unreachable> admin_client::SendTo(
    const std::string& address, const std::string& path) const {
  return SendOnce(address, {"GET", path, "", token_});
}

}  // namespace lavendertack
