#ifndef REDWING_DELIVERY_INTERNAL_CALLER_KEY_H_
#define REDWING_DELIVERY_INTERNAL_CALLER_KEY_H_

#include <string>
#include <string_view>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/http/url.h"

namespace redwing {

// Finds a caller's key: "Authorization: Bearer KEY", "X-Api-Key: KEY" or the
// query parameter "api_key". Empty when there is none. Fails with
// kMalformedRequest when two places name different keys.
Result<std::string> FindCallerKey(const RequestHeader& header, const Url& url);

// Finds a key in the field Authorization alone; empty when there is none.
std::string FindBearerKey(const RequestHeader& header);

// Returns whether a text contains the key, plainly or percent-encoded.
bool ContainsKey(std::string_view text, std::string_view key);

// Removes from a header every field in which a key may stand: the credential
// fields, and any field that contains the given key.
void RemoveKeyFields(RequestHeader* header, std::string_view key);

// Rebuilds the query without credential parameters and without any parameter
// that contains the key.
std::string QueryWithoutKey(const Url& url, std::string_view key);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_CALLER_KEY_H_
