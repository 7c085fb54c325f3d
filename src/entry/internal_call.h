#ifndef REDWING_ENTRY_INTERNAL_CALL_H_
#define REDWING_ENTRY_INTERNAL_CALL_H_

#include <string>
#include <string_view>
#include <vector>

namespace redwing {

// Calls of redwing-admin to its entry carry this field, a digest of method and
// target keyed with the fleet's secret.
inline constexpr std::string_view kInternalCallField = "X-Redwing-Internal";

std::string SignInternalCall(const std::string& secret,
                             std::string_view method,
                             std::string_view target);

// Accepts a signature made with any of the secrets.
bool VerifyInternalCall(const std::vector<std::string>& secrets,
                        std::string_view method,
                        std::string_view target,
                        std::string_view signature);

}  // namespace redwing

#endif  // REDWING_ENTRY_INTERNAL_CALL_H_
