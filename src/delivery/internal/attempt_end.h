#ifndef REDWING_DELIVERY_INTERNAL_ATTEMPT_END_H_
#define REDWING_DELIVERY_INTERNAL_ATTEMPT_END_H_

#include <string_view>

#include "framework/errors/failure.h"
#include "framework/http/http_types.h"

namespace redwing {

struct HeaderDialect;

// How an attempt at an upstream ended, or would end if nothing more arrived.
// The verdict on the attempt is made from it and from nothing else.
enum class AttemptEnd {
  // No byte of the request was written.
  kNotSent,
  // The request was written, at least in part; no response header arrived.
  kNoResponse,
  // Bytes arrived that are no response.
  kMalformedResponse,
  // The response belongs to another attempt.
  kForeignResponse,
  // The target states that it did not run the request.
  kStatedNotRun,
  // Another target than the addressed one responded, and did not run it.
  kMisdirected,
  // The status tells callers that nothing was run, but the response does not
  // state it, and the request must not run more than once.
  kUnstatedRefusal,
  // A success that states that nothing was run.
  kContradiction,
  // A success without the target's signature.
  kUnsigned,
  // A response whose end cannot be told from a cut.
  kUnframed,
  // Another instance refused the request, with a verdict of its own.
  kRefusedNotRun,
  kRefusedMayHaveRun,
  kRefusedRan,
  // The header and the body of another instance's refusal do not agree.
  kAlteredRefusal,
  // The response broke off, or its body is not the one that its header names.
  kCutResponse,
  kAlteredResponse,
  // The target responded to the request.
  kResponded,
};

// Returns what an attempt that ended so says of its request.
Verdict VerdictOf(AttemptEnd end);

// Returns the failure of an attempt that ended so.
Failure FailureOf(AttemptEnd end);

// Returns the name used in logs: "not_sent", ...
std::string_view AttemptEndName(AttemptEnd end);

// Tells how an attempt ends by the header of a target's response to it.
// `runs_once`: whether the request must not run more than once; `unframed`:
// whether only the end of the connection would end the response, against the
// dialect.
AttemptEnd EndOfTargetResponse(const ResponseHeader& header,
                               const HeaderDialect& dialect,
                               bool runs_once,
                               bool unframed);

// The same for another instance's response that is not a refusal.
AttemptEnd EndOfInstanceResponse(const ResponseHeader& header, bool runs_once);

// The same for another instance's refusal: `header` is the verdict in its
// header, `body` the one in its body.
AttemptEnd EndOfRefusal(Verdict header, Verdict body);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_ATTEMPT_END_H_
