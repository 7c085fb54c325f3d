#include "delivery/internal/decision_log.h"

#include <chrono>
#include <utility>

#include "delivery/internal/request_trail.h"
#include "framework/kernel/clock.h"
#include "framework/log/log.h"

namespace redwing {

void LogDecision(RequestTrail& trail,
                 std::string_view request_id,
                 std::string text) {
  spdlog::info(text);
  const Milliseconds since_1970 = std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  trail.Add({since_1970.count(), std::string(request_id), std::move(text)});
}

}  // namespace redwing
