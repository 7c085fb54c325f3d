#ifndef REDWING_TESTING_COMMON_H_
#define REDWING_TESTING_COMMON_H_

#include <nlohmann/json.hpp>
#include <string>

#include "framework/http/http_exchange.h"
#include "framework/http/refusal.h"

namespace redwing::testing {

// Reads the JSON body of a control call; discarded when it is not JSON.
inline nlohmann::json ReadControl(HttpExchange& exchange, const Yield& yield) {
  constexpr size_t kMaxBody = 1024 * 1024;  // bytes
  const Result<std::string> body = exchange.ReadWholeBody(kMaxBody, yield);
  return nlohmann::json::parse(body ? body.value() : "", nullptr,
                               /*allow_exceptions=*/false);
}

inline void SendJson(HttpExchange& exchange,
                     unsigned status,
                     const nlohmann::json& body,
                     const Yield& yield) {
  exchange.Respond(status, "application/json", body.dump(), yield);
}

}  // namespace redwing::testing

#endif  // REDWING_TESTING_COMMON_H_
