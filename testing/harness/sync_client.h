#ifndef REDWING_TESTING_HARNESS_SYNC_CLIENT_H_
#define REDWING_TESTING_HARNESS_SYNC_CLIENT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "framework/http/http_client.h"

namespace redwing::testing {

// Makes one HTTP call and waits for it. Not for use inside coroutines.
Result<HttpReply> CallSync(const HttpCall& call);

// Makes a call with a JSON body and returns the JSON answer. Throws
// std::runtime_error for a failure or a status other than 2xx.
nlohmann::json CallJson(http::verb method,
                        const std::string& address,
                        const std::string& target,
                        const nlohmann::json& body = nullptr,
                        const std::string& key = "");

// Sends raw bytes on a new connection and returns all that comes back until
// the peer closes or `limit` passes.
std::string SendRaw(const std::string& address,
                    const std::string& bytes,
                    Milliseconds limit = Milliseconds(3000));

// Polls until a condition holds; returns whether it did in time.
bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit);

}  // namespace redwing::testing

#endif  // REDWING_TESTING_HARNESS_SYNC_CLIENT_H_
