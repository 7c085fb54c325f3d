#include "entry/internal_call.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>

#include "framework/wire/digest.h"

namespace redwing {

std::string SignInternalCall(const std::string& secret,
                             std::string_view method,
                             std::string_view target) {
  return ToHex(
      KeyedDigest(secret, fmt::format("internal:{} {}", method, target)));
}

bool VerifyInternalCall(const std::vector<std::string>& secrets,
                        std::string_view method,
                        std::string_view target,
                        std::string_view signature) {
  return std::any_of(
      secrets.begin(), secrets.end(), [&](const std::string& secret) {
        const std::string own = SignInternalCall(secret, method, target);
        return own.size() == signature.size() &&
               sodium_memcmp(own.data(), signature.data(), own.size()) == 0;
      });
}

}  // namespace redwing
