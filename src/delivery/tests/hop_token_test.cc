#include "delivery/internal/hop_token.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("an unaltered hop token is accepted with any of the secrets") {
  HopToken token;
  token.workspace = "alpha";
  token.request_line = "GET /v1/services/svc/";
  const std::string text = HopSigner({"old-secret-old-secret"}).Sign(token);
  const HopSigner both({"new-secret-new-secret", "old-secret-old-secret"});
  CHECK(both.Verify(text).value().workspace == "alpha");
  CHECK_FALSE(HopSigner({"new-secret-new-secret"}).Verify(text));
  for (size_t i = 0; i < text.size(); ++i) {
    std::string altered = text;
    altered[i] = altered[i] == '0' ? '1' : '0';
    CHECK_FALSE(both.Verify(altered));
  }
  CHECK_FALSE(both.Verify(""));
}

TEST_CASE("a hop for a replaced process or another request fails with 503") {
  HopToken token;
  token.to_process = "former";
  token.request_line = "GET /v1/services/svc/";
  CHECK(CheckAddressee(token, "former", token.request_line));
  const Result<void> replaced =
      CheckAddressee(token, "present", token.request_line);
  REQUIRE_FALSE(replaced);
  CHECK(replaced.error().verdict == Verdict::kNotRun);
  CHECK(ErrcHttpStatus(replaced.error().errc) == 503);
  const Result<void> astray = CheckAddressee(token, "former", "GET /other");
  REQUIRE_FALSE(astray);
  CHECK(ErrcHttpStatus(astray.error().errc) == 503);
}

}  // namespace
}  // namespace redwing
