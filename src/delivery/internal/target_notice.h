#ifndef REDWING_DELIVERY_INTERNAL_TARGET_NOTICE_H_
#define REDWING_DELIVERY_INTERNAL_TARGET_NOTICE_H_

#include <optional>

#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

struct HeaderDialect;

// State that a target reports about itself in a response, apart from the result
// of the request.
struct TargetNotice {
  // The target announces its departure.
  bool leaving = false;
  // Time for which a target that rejected the request wants no further
  // requests; std::nullopt if it names none.
  std::optional<Milliseconds> backoff;
  // Requests per second that the target accepts from all instances together;
  // kNoRateLimit if the response names no limit, std::nullopt if the limit that
  // it names is invalid.
  std::optional<double> rate_limit;

  // Reads the notice from a target's response. An invalid backoff time or rate
  // limit is logged and ignored.
  static TargetNotice Read(const ResponseHeader& header,
                           const HeaderDialect& dialect);
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_TARGET_NOTICE_H_
