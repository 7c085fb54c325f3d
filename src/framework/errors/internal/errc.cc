#include "framework/errors/errc.h"

#include <algorithm>
#include <array>
#include <string>

namespace redwing {

namespace {

struct ErrcRow {
  Errc errc;
  std::string_view name;
  unsigned http_status;
};

constexpr std::array kErrcTable = {
    ErrcRow{Errc::kOk, "ok", 200},
    ErrcRow{Errc::kMalformedRequest, "malformed_request", 400},
    ErrcRow{Errc::kUnknownKey, "unknown_key", 401},
    ErrcRow{Errc::kKeyWithdrawn, "key_withdrawn", 401},
    ErrcRow{Errc::kWorkspaceNotAllowed, "workspace_not_allowed", 403},
    ErrcRow{Errc::kUnknownRoute, "unknown_route", 404},
    ErrcRow{Errc::kUnknownService, "unknown_service", 404},
    ErrcRow{Errc::kMethodNotAllowed, "method_not_allowed", 405},
    ErrcRow{Errc::kBodyTooLarge, "body_too_large", 413},
    ErrcRow{Errc::kHeaderTooLarge, "header_too_large", 431},
    ErrcRow{Errc::kRateExceeded, "rate_exceeded", 429},
    ErrcRow{Errc::kQueueFull, "queue_full", 503},
    ErrcRow{Errc::kRegionFull, "region_full", 503},
    ErrcRow{Errc::kLinkFull, "link_full", 503},
    ErrcRow{Errc::kNoTarget, "no_target", 503},
    ErrcRow{Errc::kTargetShed, "target_shed", 503},
    ErrcRow{Errc::kTargetBackoff, "target_backoff", 503},
    ErrcRow{Errc::kTargetMoved, "target_moved", 503},
    ErrcRow{Errc::kTargetUnreachable, "target_unreachable", 502},
    ErrcRow{Errc::kTargetBroken, "target_broken", 502},
    ErrcRow{Errc::kTargetTimeout, "target_timeout", 504},
    ErrcRow{Errc::kDeadlinePassed, "deadline_passed", 504},
    ErrcRow{Errc::kCallerGone, "caller_gone", 499},
    ErrcRow{Errc::kStale, "stale", 503},
    ErrcRow{Errc::kNotReady, "not_ready", 503},
    ErrcRow{Errc::kLeaving, "leaving", 503},
    ErrcRow{Errc::kIdempotencyMismatch, "idempotency_mismatch", 422},
    ErrcRow{Errc::kIdempotencyInProgress, "idempotency_in_progress", 409},
    ErrcRow{Errc::kIdempotencyOutcomeUnknown, "idempotency_outcome_unknown",
            409},
    ErrcRow{Errc::kStoreUnavailable, "store_unavailable", 503},
    ErrcRow{Errc::kConflict, "conflict", 409},
    ErrcRow{Errc::kNotFound, "not_found", 404},
    ErrcRow{Errc::kForbidden, "forbidden", 403},
    ErrcRow{Errc::kInvalidDocument, "invalid_document", 422},
    ErrcRow{Errc::kInvalidSettings, "invalid_settings", 422},
    ErrcRow{Errc::kPeerUnreachable, "peer_unreachable", 503},
    ErrcRow{Errc::kBadMessage, "bad_message", 400},
    ErrcRow{Errc::kTimeout, "timeout", 504},
    ErrcRow{Errc::kConnectionBroken, "connection_broken", 502},
    ErrcRow{Errc::kInternal, "internal", 500},
};

const ErrcRow& RowOf(Errc errc) {
  return kErrcTable.at(static_cast<size_t>(errc));
}

class RedwingErrorCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "redwing"; }
  std::string message(int value) const override {
    return std::string(ErrcName(static_cast<Errc>(value)));
  }
};

}  // namespace

std::string_view ErrcName(Errc errc) {
  return RowOf(errc).name;
}

unsigned ErrcHttpStatus(Errc errc) {
  return RowOf(errc).http_status;
}

Errc ErrcFromName(std::string_view name) {
  const auto row =
      std::find_if(kErrcTable.begin(), kErrcTable.end(),
                   [name](const ErrcRow& r) { return r.name == name; });
  return row == kErrcTable.end() ? Errc::kInternal : row->errc;
}

const std::error_category& RedwingCategory() {
  static const RedwingErrorCategory category;
  return category;
}

std::error_code make_error_code(Errc errc) {
  return {static_cast<int>(errc), RedwingCategory()};
}

}  // namespace redwing
