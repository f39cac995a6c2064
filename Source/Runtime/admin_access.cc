#include "Runtime/admin_access.h"

#include <string_view>

namespace lavendertack {
namespace {

constexpr std::string_view kScheme = "Bearer ";

http_answer Error(unsigned status, const std::string& what) {
  return {status, "{\"error\":\"" + what + "\"}\n"};
}

// Takes the same time wherever the texts differ, so that the time of an
// answer tells nothing about the token.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

bool HasToken(std::string_view authorization, const std::string& token) {
  return authorization.substr(0, kScheme.size()) == kScheme &&
         EqualInConstantTime(authorization.substr(kScheme.size()), token);
}

}  // namespace

std::optional<http_answer> RefuseRequest(const http_request& request,
                                         const std::string& token) {
  if (request.method == "GET") return std::nullopt;
  if (request.method != "POST") return Error(405, "use GET or POST");
  if (request.too_large) {
    return Error(413, "the body is beyond " + std::to_string(kMaxRequestBytes) +
                          " bytes");
  }
  if (token.empty()) {
    return Error(403,
                 "this instance has no admin_token_file and takes no "
                 "changes");
  }
  if (!HasToken(request.authorization, token)) {
    return Error(401, "a change needs the header Authorization: Bearer TOKEN");
  }
  return std::nullopt;
}

}  // namespace lavendertack
