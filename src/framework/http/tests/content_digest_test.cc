#include "framework/http/content_digest.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

// RFC 9530, appendix D: the digest of {"hello": "world"} and a line break.
constexpr std::string_view kBody = "{\"hello\": \"world\"}\n";
constexpr std::string_view kField =
    "sha-256=:RK/0qy18MlBSVnWgjwz6lZEWjP/lF5HF9bvEF8FabDg=:";

TEST_CASE("a body is checked against the digest of the standard's example") {
  CHECK(ContentDigestOf(kBody) == kField);
  std::optional<ContentDigest> digest = ContentDigest::Parse(kField);
  REQUIRE(digest);
  digest->Add(kBody.substr(0, 5));
  digest->Add(kBody.substr(5));
  CHECK(digest->Matches());
}

TEST_CASE("another body, or a part of it, does not match") {
  for (const std::string_view body : {kBody.substr(1), std::string_view("x")}) {
    std::optional<ContentDigest> digest = ContentDigest::Parse(kField);
    REQUIRE(digest);
    digest->Add(body);
    CHECK_FALSE(digest->Matches());
  }
}

TEST_CASE("a digest of another algorithm or a broken field checks nothing") {
  CHECK_FALSE(ContentDigest::Parse(""));
  CHECK_FALSE(ContentDigest::Parse("sha-512=:AAAA:"));
  CHECK_FALSE(ContentDigest::Parse("sha-256=:AAAA:"));
  CHECK_FALSE(ContentDigest::Parse("sha-256=:not base64"));
  const std::string both = "sha-512=:AAAA:, " + std::string(kField);
  CHECK(ContentDigest::Parse(both));
}

}  // namespace
}  // namespace redwing
