#include "delivery/internal/target_notice.h"

#include <catch2/catch.hpp>

#include "delivery/header_dialect.h"
#include "routing/target_rate_limits.h"

namespace redwing {
namespace {

ResponseHeader Answer(unsigned status) {
  ResponseHeader header;
  header.result(status);
  return header;
}

TEST_CASE("a departure is read from a response of any status") {
  const HeaderDialect dialect;
  for (const unsigned status : {200, 404, 500, 503}) {
    ResponseHeader header = Answer(status);
    CHECK_FALSE(TargetNotice::Read(header, dialect).leaving);
    header.set("X-Target-Leaving", "1");
    CHECK(TargetNotice::Read(header, dialect).leaving);
    header.set("X-Target-Leaving", "0");
    CHECK_FALSE(TargetNotice::Read(header, dialect).leaving);
  }
}

TEST_CASE("a backoff time is read only from a 503 response") {
  const HeaderDialect dialect;
  ResponseHeader header = Answer(503);
  CHECK_FALSE(TargetNotice::Read(header, dialect).backoff);
  header.set(http::field::retry_after, "1.5");
  CHECK(TargetNotice::Read(header, dialect).backoff == Milliseconds(1'500));
  header.result(200);
  CHECK_FALSE(TargetNotice::Read(header, dialect).backoff);
}

TEST_CASE("an invalid Retry-After gives no backoff") {
  const HeaderDialect dialect;
  for (const char* const text :
       {"", "-1", "-0.5", "nan", "inf", "soon", "1s", "1,5", "1e3", "0x10",
        "Fri, 04 Dec 2026 12:00:00 GMT"}) {
    CAPTURE(text);
    ResponseHeader header = Answer(503);
    header.set(http::field::retry_after, text);
    CHECK_FALSE(TargetNotice::Read(header, dialect).backoff);
  }
}

TEST_CASE("a rate limit is read from a response of any status") {
  const HeaderDialect dialect;
  for (const unsigned status : {200, 404, 500, 503}) {
    ResponseHeader header = Answer(status);
    CHECK(TargetNotice::Read(header, dialect).rate_limit == kNoRateLimit);
    header.set("X-Target-Rate-Limit", "3.6");
    CHECK(TargetNotice::Read(header, dialect).rate_limit == 3.6);
    header.set("X-Target-Rate-Limit", "0");
    CHECK(TargetNotice::Read(header, dialect).rate_limit == 0);
  }
}

TEST_CASE("an invalid rate limit neither sets nor ends a limit") {
  const HeaderDialect dialect;
  for (const char* const text :
       {"", "-2", "nan", "inf", "two", "2/s", "2,5", "2 3", "1e3"}) {
    CAPTURE(text);
    ResponseHeader header = Answer(200);
    header.set("X-Target-Rate-Limit", text);
    CHECK_FALSE(TargetNotice::Read(header, dialect).rate_limit);
  }
}

}  // namespace
}  // namespace redwing
