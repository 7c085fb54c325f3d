#ifndef REDWING_DELIVERY_INTERNAL_TARGET_NOTICE_H_
#define REDWING_DELIVERY_INTERNAL_TARGET_NOTICE_H_

#include <optional>

#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

struct HeaderDialect;

// What an answer says of the target that gave it, whatever it says of the
// request.
struct TargetNotice {
  // The target leaves.
  bool leaving = false;
  // It has turned the request away and wants nothing more for this long.
  std::optional<Milliseconds> backoff;

  // Reads it from a target's answer. A time without sense is logged and left
  // out.
  static TargetNotice Read(const ResponseHeader& header,
                           const HeaderDialect& dialect);
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_TARGET_NOTICE_H_
