#include "delivery/internal/attempt_end.h"

#include <array>
#include <cstddef>
#include <string>

#include "delivery/header_dialect.h"
#include "framework/http/refusal.h"

namespace redwing {

namespace {

constexpr unsigned kMisdirectedStatus = 421;

struct EndRow {
  AttemptEnd end;
  std::string_view name;
  Verdict verdict;
  Errc errc;
  std::string_view detail;
};

constexpr std::array kEnds = {
    EndRow{AttemptEnd::kNotSent, "not_sent", Verdict::kNotRun,
           Errc::kTargetBroken, "the request was not sent"},
    EndRow{AttemptEnd::kNoResponse, "no_response", Verdict::kMayHaveRun,
           Errc::kTargetBroken, "no response arrived"},
    EndRow{AttemptEnd::kMalformedResponse, "malformed_response",
           Verdict::kMayHaveRun, Errc::kTargetBroken,
           "the response is malformed"},
    EndRow{AttemptEnd::kForeignResponse, "foreign_response",
           Verdict::kMayHaveRun, Errc::kTargetBroken,
           "the response belongs to another request"},
    EndRow{AttemptEnd::kStatedNotRun, "stated_not_run", Verdict::kNotRun,
           Errc::kTargetShed, "the target is shedding load"},
    EndRow{AttemptEnd::kMisdirected, "misdirected", Verdict::kNotRun,
           Errc::kTargetMoved, "another target is using the address"},
    EndRow{AttemptEnd::kUnstatedRefusal, "unstated_refusal",
           Verdict::kMayHaveRun, Errc::kTargetBroken,
           "the response's status promises that nothing was run, but the "
           "target does not state it"},
    EndRow{AttemptEnd::kContradiction, "contradiction", Verdict::kMayHaveRun,
           Errc::kTargetBroken,
           "the response is a success that states that nothing was run"},
    EndRow{AttemptEnd::kUnsigned, "unsigned", Verdict::kMayHaveRun,
           Errc::kTargetBroken, "the response has no valid target signature"},
    EndRow{AttemptEnd::kUnframed, "unframed", Verdict::kRan,
           Errc::kTargetBroken,
           "the response has neither a length nor chunked framing"},
    EndRow{AttemptEnd::kRefusedNotRun, "refused_not_run", Verdict::kNotRun,
           Errc::kTargetBroken, "another instance refused the request"},
    EndRow{AttemptEnd::kRefusedMayHaveRun, "refused_may_have_run",
           Verdict::kMayHaveRun, Errc::kTargetBroken,
           "another instance refused the request"},
    EndRow{AttemptEnd::kRefusedRan, "refused_ran", Verdict::kRan,
           Errc::kTargetBroken, "another instance refused the request"},
    EndRow{AttemptEnd::kAlteredRefusal, "altered_refusal", Verdict::kMayHaveRun,
           Errc::kTargetBroken, "the refusal of another instance is altered"},
    EndRow{AttemptEnd::kCutResponse, "cut_response", Verdict::kRan,
           Errc::kTargetBroken, "the response was truncated"},
    EndRow{AttemptEnd::kAlteredResponse, "altered_response", Verdict::kRan,
           Errc::kTargetBroken, "the response body does not match its digest"},
    EndRow{AttemptEnd::kResponded, "responded", Verdict::kRan,
           Errc::kTargetBroken, ""},
};

constexpr bool IsInOrder() {
  for (size_t i = 0; i < kEnds.size(); ++i) {
    if (kEnds[i].end != static_cast<AttemptEnd>(i)) {
      return false;
    }
  }
  return true;
}
static_assert(IsInOrder());

const EndRow& RowOf(AttemptEnd end) {
  return kEnds.at(static_cast<size_t>(end));
}

bool IsSuccess(const ResponseHeader& header) {
  return header.result_int() >= 200 && header.result_int() < 300;
}

bool IsSigned(const ResponseHeader& header, const HeaderDialect& dialect) {
  return dialect.signature.empty() ||
         (header.count(dialect.signature) > 0 &&
          header.count(http::field::content_encoding) == 0);
}

}  // namespace

Verdict VerdictOf(AttemptEnd end) {
  return RowOf(end).verdict;
}

Failure FailureOf(AttemptEnd end) {
  const EndRow& row = RowOf(end);
  return {row.errc, row.verdict, std::string(row.detail), {}};
}

std::string_view AttemptEndName(AttemptEnd end) {
  return RowOf(end).name;
}

AttemptEnd EndOfTargetResponse(const ResponseHeader& header,
                               const HeaderDialect& dialect,
                               bool runs_once,
                               bool unframed) {
  if (!dialect.target_instance.empty() &&
      header.result_int() == kMisdirectedStatus) {
    return AttemptEnd::kMisdirected;
  }
  const bool success = IsSuccess(header);
  if (header.count(dialect.not_run) > 0) {
    return success ? AttemptEnd::kContradiction : AttemptEnd::kStatedNotRun;
  }
  if (unframed) {
    return AttemptEnd::kUnframed;
  }
  if (success && !IsSigned(header, dialect)) {
    return AttemptEnd::kUnsigned;
  }
  return EndOfInstanceResponse(header, runs_once);
}

AttemptEnd EndOfInstanceResponse(const ResponseHeader& header, bool runs_once) {
  return runs_once && PromisesNotRun(header.result_int())
             ? AttemptEnd::kUnstatedRefusal
             : AttemptEnd::kResponded;
}

AttemptEnd EndOfRefusal(Verdict header, Verdict body) {
  if (header != body) {
    return AttemptEnd::kAlteredRefusal;
  }
  switch (body) {
    case Verdict::kNotRun:
      return AttemptEnd::kRefusedNotRun;
    case Verdict::kMayHaveRun:
      return AttemptEnd::kRefusedMayHaveRun;
    case Verdict::kRan:
      return AttemptEnd::kRefusedRan;
  }
  return AttemptEnd::kAlteredRefusal;
}

}  // namespace redwing
