#ifndef REDWING_MEMBERSHIP_STORE_ACCESS_H_
#define REDWING_MEMBERSHIP_STORE_ACCESS_H_

#include <cstdint>
#include <string_view>

namespace redwing {

// Whether the store answers an instance, as the instance itself reports it. The
// values are sent to peers.
enum class StoreAccess : uint8_t {
  // Reported by builds that do not report it.
  kUnreported = 0,
  // The instance does not read the store.
  kIdle = 1,
  // The instance reads the store and gets answers.
  kAnswered = 2,
  // The store refuses the calls of the instance, or leaves them unanswered.
  kRefused = 3,
};

// Returns the name used in logs: "unreported", ...
std::string_view StoreAccessName(StoreAccess access);

// Values of later builds count as kUnreported.
StoreAccess StoreAccessFromWire(uint8_t value);

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_STORE_ACCESS_H_
