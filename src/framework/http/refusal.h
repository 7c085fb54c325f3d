#ifndef REDWING_FRAMEWORK_HTTP_REFUSAL_H_
#define REDWING_FRAMEWORK_HTTP_REFUSAL_H_

#include <string>

#include "framework/errors/failure.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

class HttpExchange;

// Every refusal is answered with the JSON object
// {"error": NAME, "verdict": VERDICT, "detail": TEXT} and the X-Redwing-Verdict
// field; with Retry-After (whole seconds, at least 1) when the failure says
// when to come back.

// Returns whether callers take a status for a promise that nothing was run.
bool PromisesNotRun(unsigned status);

std::string RefusalBody(const Failure& failure);
ResponseHeader RefusalHeader(const Failure& failure);

// Renders a complete HTTP/1.1 response that closes the connection.
std::string RefusalText(const Failure& failure);

// Answers an exchange with a failure.
void SendRefusal(HttpExchange& exchange,
                 const Failure& failure,
                 const Yield& yield);

// Reads a refusal out of a response, as sent by SendRefusal(). A response that
// is none becomes kInternal with the verdict kMayHaveRun.
Failure ParseRefusal(unsigned status, const std::string& body);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_REFUSAL_H_
