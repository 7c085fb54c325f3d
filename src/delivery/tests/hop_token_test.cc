#include "delivery/internal/hop_token.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "delivery/internal/request_context.h"

namespace redwing {
namespace {

constexpr std::string_view kTarget = "/v1/services/svc/";

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
  CHECK(CheckAddressee(token, "former", "GET", kTarget));
  const Result<void> replaced =
      CheckAddressee(token, "present", "GET", kTarget);
  REQUIRE_FALSE(replaced);
  CHECK(replaced.error().verdict == Verdict::kNotRun);
  CHECK(ErrcHttpStatus(replaced.error().errc) == 503);
  const Result<void> astray = CheckAddressee(token, "former", "GET", "/other");
  REQUIRE_FALSE(astray);
  CHECK(ErrcHttpStatus(astray.error().errc) == 503);
}

// Guards against "not run" for a key of which only the former process knows.
TEST_CASE("a hop for the replaced owner of a key says that it may have run") {
  HopToken token;
  token.to_process = "former";
  token.request_line = "GET /v1/services/svc/";
  token.owner_hop = true;
  CHECK(CheckAddressee(token, "former", "GET", kTarget));
  const Result<void> replaced =
      CheckAddressee(token, "present", "GET", kTarget);
  REQUIRE_FALSE(replaced);
  CHECK(replaced.error().verdict == Verdict::kMayHaveRun);
  CHECK(ErrcHttpStatus(replaced.error().errc) == 409);
}

// Guards against an instance that runs a request again because its version of
// the route allows it and that of the caller's instance does not.
TEST_CASE("a request that runs once does so wherever it is forwarded") {
  RequestContext context;
  Route route;
  route.idempotent = true;
  context.route = &route;
  CHECK_FALSE(context.runs_once());
  HopToken token;
  token.runs_once = true;
  const HopSigner signer({"secret-secret-secret"});
  context.must_run_once = signer.Verify(signer.Sign(token)).value().runs_once;
  CHECK(context.runs_once());
}

// Guards against tokens that grow with the request beyond what a field holds.
TEST_CASE("the size of a hop token does not depend on a long request line") {
  const HopSigner signer({"secret-secret-secret"});
  constexpr size_t kMaxField = 65'533;  // of Boost.Beast, in bytes
  size_t longest = 0;
  for (size_t size = 1; size < 1024 * 1024; size *= 2) {
    const std::string caller_target = "/" + std::string(size, 'x');
    const std::string target = std::string(kTarget) + caller_target;
    HopToken token;
    token.to_process = "process";
    token.host_route = "route";
    token.service = "svc";
    token.request_line = RequestLineOf("GET", target);
    token.target = target.size() > kMaxTokenLine ? "" : caller_target;
    const std::string text = signer.Sign(token);
    longest = std::max(longest, text.size());
    const HopToken received = signer.Verify(text).value();
    CHECK(CheckAddressee(received, "process", "GET", target));
    CHECK_FALSE(CheckAddressee(received, "process", "PUT", target));
    CHECK_FALSE(CheckAddressee(received, "process", "GET", target + "y"));
    CHECK(TargetOf(received, "/v1/services/",
                   "/v1/services/svc" + caller_target) == caller_target);
  }
  CHECK(longest < kMaxField / 2);
}

TEST_CASE("builds without digests read the token of a short request line") {
  CHECK(RequestLineOf("GET", kTarget) == "GET /v1/services/svc/");
  const std::string longest(kMaxTokenLine - 4, 'x');
  CHECK(RequestLineOf("GET", longest) == "GET " + longest);
}

}  // namespace
}  // namespace redwing
