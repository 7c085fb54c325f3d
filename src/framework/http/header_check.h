#ifndef REDWING_FRAMEWORK_HTTP_HEADER_CHECK_H_
#define REDWING_FRAMEWORK_HTTP_HEADER_CHECK_H_

#include <optional>
#include <string>
#include <string_view>

#include "framework/http/http_types.h"

namespace redwing {

// Checks the raw bytes of a request head, up to and including the empty line,
// for shapes on which two HTTP parsers may disagree: line folding, bare CR or
// LF, NUL, white space around field names. RFC 9112 sections 2.2, 5.1, 5.2.
std::optional<std::string> FindRawHeaderProblem(std::string_view raw);

// Checks the framing fields of a parsed request: several or malformed lengths,
// a length together with a transfer coding, a coding other than "chunked", no
// or several Host fields. RFC 9112 sections 3.2 and 6.3.
std::optional<std::string> FindFramingProblem(const RequestHeader& header);

// Checks the head of a response for what no proxy may take for an answer to a
// request without Upgrade: a status outside 100 to 599, a switch of protocols,
// ambiguous framing, a body where the status allows none. Interim responses
// pass. RFC 9110 sections 15 and 8.6, RFC 9112 sections 6.1 to 6.3.
std::optional<std::string> FindResponseProblem(const ResponseHeader& header);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_HEADER_CHECK_H_
