#include "delivery/internal/attempt_end.h"

#include <catch2/catch.hpp>
#include <string>

#include "delivery/header_dialect.h"
#include "framework/http/refusal.h"

namespace redwing {
namespace {

HeaderDialect Dialect() {
  HeaderDialect dialect;
  dialect.target_instance = "X-Target";
  dialect.signature = "X-Signature";
  return dialect;
}

ResponseHeader Header(unsigned status, const std::string& field = "") {
  ResponseHeader header;
  header.result(status);
  if (!field.empty()) {
    header.set(field, "1");
  }
  return header;
}

AttemptEnd EndOf(const ResponseHeader& header,
                 bool runs_once = true,
                 bool unframed = false) {
  return EndOfTargetResponse(header, Dialect(), runs_once, unframed);
}

// Guards against a promise for a request that was sent and of which no target
// has said that it was not run.
TEST_CASE("only what was not sent, or is stated, counts as not run") {
  for (const AttemptEnd end :
       {AttemptEnd::kNoResponse, AttemptEnd::kMalformedResponse,
        AttemptEnd::kForeignResponse, AttemptEnd::kUnstatedRefusal,
        AttemptEnd::kContradiction, AttemptEnd::kUnsigned,
        AttemptEnd::kUnframed, AttemptEnd::kRefusedMayHaveRun,
        AttemptEnd::kRefusedRan, AttemptEnd::kAlteredRefusal,
        AttemptEnd::kCutResponse, AttemptEnd::kAlteredResponse,
        AttemptEnd::kResponded}) {
    CAPTURE(AttemptEndName(end));
    CHECK(VerdictOf(end) != Verdict::kNotRun);
    CHECK_FALSE(PromisesNotRun(RefusalHeader(FailureOf(end)).result_int()));
  }
  for (const AttemptEnd end :
       {AttemptEnd::kNotSent, AttemptEnd::kStatedNotRun,
        AttemptEnd::kMisdirected, AttemptEnd::kRefusedNotRun}) {
    CAPTURE(AttemptEndName(end));
    CHECK(VerdictOf(end) == Verdict::kNotRun);
  }
  CHECK(Failure().verdict == Verdict::kMayHaveRun);
}

TEST_CASE("the end of an attempt is read from a target's response") {
  const std::string not_run = Dialect().not_run;
  CHECK(EndOf(Header(421)) == AttemptEnd::kMisdirected);
  CHECK(EndOf(Header(503, not_run)) == AttemptEnd::kStatedNotRun);
  CHECK(EndOf(Header(429, not_run)) == AttemptEnd::kStatedNotRun);
  CHECK(EndOf(Header(400, not_run)) == AttemptEnd::kStatedNotRun);
  CHECK(EndOf(Header(200, not_run)) == AttemptEnd::kContradiction);
  CHECK(EndOf(Header(200)) == AttemptEnd::kUnsigned);
  CHECK(EndOf(Header(200, "X-Signature")) == AttemptEnd::kResponded);
  CHECK(EndOf(Header(200, "X-Signature"), true, true) == AttemptEnd::kUnframed);
  CHECK(EndOf(Header(500)) == AttemptEnd::kResponded);
  for (const unsigned status : {408U, 429U, 503U}) {
    CAPTURE(status);
    CHECK(EndOf(Header(status)) == AttemptEnd::kUnstatedRefusal);
    CHECK(EndOf(Header(status), false) == AttemptEnd::kResponded);
  }
}

// Guards against a status that another instance has relayed because it holds
// the request for one that may run again.
TEST_CASE("a status that promises is not believed of another instance") {
  for (const unsigned status : {408U, 421U, 429U, 503U}) {
    CAPTURE(status);
    CHECK(EndOfInstanceResponse(Header(status), true) ==
          AttemptEnd::kUnstatedRefusal);
    CHECK(EndOfInstanceResponse(Header(status), false) ==
          AttemptEnd::kResponded);
  }
  CHECK(EndOfInstanceResponse(Header(200), true) == AttemptEnd::kResponded);
}

TEST_CASE("a refusal is believed if its header and its body agree") {
  CHECK(EndOfRefusal(Verdict::kNotRun, Verdict::kNotRun) ==
        AttemptEnd::kRefusedNotRun);
  CHECK(EndOfRefusal(Verdict::kRan, Verdict::kRan) == AttemptEnd::kRefusedRan);
  CHECK(EndOfRefusal(Verdict::kMayHaveRun, Verdict::kNotRun) ==
        AttemptEnd::kAlteredRefusal);
  CHECK(EndOfRefusal(Verdict::kNotRun, Verdict::kRan) ==
        AttemptEnd::kAlteredRefusal);
  CHECK(VerdictFromName("not_run") == Verdict::kNotRun);
  CHECK(VerdictFromName("") == Verdict::kMayHaveRun);
  CHECK(CombinedVerdict(Verdict::kMayHaveRun, Verdict::kNotRun) ==
        Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace redwing
