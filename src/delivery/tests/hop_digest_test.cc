#include "delivery/internal/hop_digest.h"

#include <catch2/catch.hpp>
#include <string>

#include "delivery/internal/header_rules.h"

namespace redwing {
namespace {

TEST_CASE(
    "a body added in pieces matches its hash, a different body does not") {
  constexpr size_t kSize = 40'000;
  constexpr size_t kFirst = 16'384;
  const std::string body(kSize, 'a');
  const std::string first(kFirst, 'a');
  const std::string rest(kSize - kFirst, 'a');
  const std::string other_rest(kSize - kFirst, 'b');
  ResponseHeader header;
  HopDigest::SetOn(&header, body);
  std::optional<HopDigest> own = HopDigest::Parse(header);
  REQUIRE(own);
  own->Add(first);
  CHECK_FALSE(own->Matches());
  own->Add(rest);
  CHECK(own->Matches());
  std::optional<HopDigest> swapped = HopDigest::Parse(header);
  swapped->Add(first);
  swapped->Add(other_rest);
  CHECK_FALSE(swapped->Matches());
}

TEST_CASE("an empty body matches its hash") {
  ResponseHeader header;
  HopDigest::SetOn(&header, "");
  const std::optional<HopDigest> digest = HopDigest::Parse(header);
  REQUIRE(digest);
  CHECK(digest->Matches());
}

TEST_CASE("a header without a hash or with a malformed one has no digest") {
  ResponseHeader header;
  CHECK_FALSE(HopDigest::Parse(header));
  for (const char* broken : {"", "xyz", "1 2", "-1", "11112222333344445"}) {
    CAPTURE(broken);
    header.set(std::string(kBodyField), broken);
    CHECK_FALSE(HopDigest::Parse(header));
  }
}

}  // namespace
}  // namespace redwing
