#ifndef REDWING_FRAMEWORK_ERRORS_ERRC_H_
#define REDWING_FRAMEWORK_ERRORS_ERRC_H_

#include <string_view>
#include <system_error>

namespace redwing {

// Every reason for which redwingcart refuses or fails a request or an
// operation. The table in errc.cc gives each its name and HTTP status.
enum class Errc {
  kOk,
  kMalformedRequest,
  kUnknownKey,
  kKeyWithdrawn,
  kWorkspaceNotAllowed,
  kUnknownRoute,
  kUnknownService,
  kMethodNotAllowed,
  kBodyTooLarge,
  kHeaderTooLarge,
  kRateExceeded,
  kQueueFull,
  kRegionFull,
  kLinkFull,
  kNoTarget,
  kTargetShed,
  // The target has asked for no requests for a time.
  kTargetBackoff,
  // The address belongs to another target by now.
  kTargetMoved,
  kTargetUnreachable,
  kTargetBroken,
  kTargetTimeout,
  kDeadlinePassed,
  kCallerGone,
  kStale,
  kNotReady,
  kLeaving,
  kIdempotencyMismatch,
  kIdempotencyInProgress,
  kIdempotencyOutcomeUnknown,
  kStoreUnavailable,
  kConflict,
  kNotFound,
  kForbidden,
  kInvalidDocument,
  kInvalidSettings,
  kPeerUnreachable,
  kBadMessage,
  kTimeout,
  kConnectionBroken,
  kInternal,
};

// Returns the name used in JSON error bodies: "unknown_key", ...
std::string_view ErrcName(Errc errc);

// Returns the HTTP status with which an error is answered.
unsigned ErrcHttpStatus(Errc errc);

// Returns the error with the given name, kInternal for an unknown name.
Errc ErrcFromName(std::string_view name);

// Category of the std::error_code made from an Errc.
const std::error_category& RedwingCategory();

std::error_code make_error_code(Errc errc);

}  // namespace redwing

template <>
struct std::is_error_code_enum<redwing::Errc> : std::true_type {};

#endif  // REDWING_FRAMEWORK_ERRORS_ERRC_H_
