#ifndef REDWING_STEERING_CALLER_LIMITS_H_
#define REDWING_STEERING_CALLER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "framework/kernel/clock.h"

namespace redwing {

// What callers may send and how long they may take or stay idle.
struct CallerLimits {
  static constexpr size_t kMinHeaderBytes = 256;
  static constexpr size_t kMaxHeaderBytes = 1024 * 1024;
  // Bodies are streamed, so that a long one takes no more memory.
  static constexpr uint64_t kMaxBodyBytes = uint64_t{1} << 40;

  size_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 64ULL * 1024 * 1024;
  Milliseconds header_timeout{10'000};
  Milliseconds idle_timeout{60'000};
};

}  // namespace redwing

#endif  // REDWING_STEERING_CALLER_LIMITS_H_
