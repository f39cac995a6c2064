#include "Runtime/admin_access.h"

#include <string_view>

namespace lavendertack {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

http_response ErrorResponse(unsigned status, const std::string& reason) {
  return {status, "{\"error\":\"" + reason + "\"}\n"};
}

// Compares in a time that depends only on the lengths, so that response times
// reveal nothing about the characters of the token.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

bool HasBearerToken(std::string_view authorization, const std::string& token) {
  return authorization.substr(0, kBearerPrefix.size()) == kBearerPrefix &&
         EqualInConstantTime(authorization.substr(kBearerPrefix.size()), token);
}

}  // namespace

std::optional<http_response> CheckAccess(const http_request& request,
                                         const std::string& token) {
  if (request.method == "GET") return std::nullopt;
  if (request.method != "POST") return ErrorResponse(405, "use GET or POST");
  if (request.too_large) {
    return ErrorResponse(413, "the body is larger than " +
                                  std::to_string(kMaxRequestBodyBytes) +
                                  " bytes");
  }
  if (token.empty()) {
    return ErrorResponse(403,
                         "this instance has no admin_token_file and accepts no "
                         "changes");
  }
  if (!HasBearerToken(request.authorization, token)) {
    return ErrorResponse(
        401, "a change needs the header Authorization: Bearer TOKEN");
  }
  return std::nullopt;
}

}  // namespace lavendertack
