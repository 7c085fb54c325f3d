#ifndef REDWING_DELIVERY_INTERNAL_CALLER_KEY_H_
#define REDWING_DELIVERY_INTERNAL_CALLER_KEY_H_

#include <string>
#include <string_view>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/http/url.h"

namespace redwing {

// Returns the caller's API key from "Authorization: Bearer KEY", "X-Api-Key:
// KEY" or the query parameter "api_key". Empty if the request has no key. Fails
// with kMalformedRequest if the request contains two different keys.
Result<std::string> FindCallerKey(const RequestHeader& header, const Url& url);

// Returns the bearer key of the field Authorization alone; empty if there is
// none.
std::string FindBearerKey(const RequestHeader& header);

// Returns whether a text contains the key, plainly or percent-encoded.
bool ContainsKey(std::string_view text, std::string_view key);

// Removes every credential field and every other field that contains the given
// key.
void RemoveKeyFields(RequestHeader* header, std::string_view key);

// Rebuilds the query without credential parameters and without any parameter
// that contains the key.
std::string QueryWithoutKey(const Url& url, std::string_view key);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_CALLER_KEY_H_
