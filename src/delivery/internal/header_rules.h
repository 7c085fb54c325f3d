#ifndef REDWING_DELIVERY_INTERNAL_HEADER_RULES_H_
#define REDWING_DELIVERY_INTERNAL_HEADER_RULES_H_

#include <string_view>

#include "framework/http/http_types.h"

namespace redwing {

// Prefix of the fields that only redwingcart sets.
inline constexpr std::string_view kInternalPrefix = "X-Redwing-";
inline constexpr std::string_view kHopField = "X-Redwing-Hop";
inline constexpr std::string_view kVerdictField = "X-Redwing-Verdict";
inline constexpr std::string_view kInstanceField = "X-Redwing-Instance";
// Id of one attempt. If a target echoes it, the instance detects a response
// that belongs to another request.
inline constexpr std::string_view kAttemptField = "X-Redwing-Attempt";

// Between instances: the start, as TargetStart::Format() writes it, of a target
// that announces its departure in this response.
inline constexpr std::string_view kDepartedField = "X-Redwing-Departed";
// Hash of the body of a response between instances.
inline constexpr std::string_view kBodyField = "X-Redwing-Body";

// Removes the fields that concern one connection only: those of RFC 9110
// section 7.6.1 and those named by Connection.
void RemoveHopByHopFields(http::fields* fields);

// Removes every field with kInternalPrefix.
void RemoveInternalFields(http::fields* fields);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_HEADER_RULES_H_
