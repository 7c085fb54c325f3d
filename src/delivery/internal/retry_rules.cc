#include "delivery/internal/retry_rules.h"

#include <algorithm>
#include <array>

namespace redwing {

namespace {
constexpr std::array<Errc, 8> kRefusedBeforeSending = {
    Errc::kNoTarget,          Errc::kQueueFull, Errc::kTargetBackoff,
    Errc::kRegionFull,        Errc::kLinkFull,  Errc::kPeerUnreachable,
    Errc::kTargetUnreachable, Errc::kLeaving};
constexpr std::array<Errc, 5> kWorthRetry = {
    Errc::kTargetShed, Errc::kTargetMoved, Errc::kTargetBroken,
    Errc::kTargetTimeout, Errc::kNotReady};

template <size_t kSize>
bool Contains(const std::array<Errc, kSize>& list, Errc errc) {
  return std::find(list.begin(), list.end(), errc) != list.end();
}
}  // namespace

bool IsRefusedBeforeSending(Errc errc) {
  return Contains(kRefusedBeforeSending, errc);
}

bool IsWorthRetry(Errc errc) {
  return Contains(kWorthRetry, errc);
}

}  // namespace redwing
