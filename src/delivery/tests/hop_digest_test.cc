#include "delivery/internal/hop_digest.h"

#include <catch2/catch.hpp>
#include <string>

#include "delivery/internal/header_rules.h"

namespace redwing {
namespace {

TEST_CASE("a body in pieces matches the hash in its header, another does not") {
  const std::string body(40'000, 'a');
  const std::string other(40'000, 'b');
  ResponseHeader header;
  HopDigest::SetOn(&header, body);
  std::optional<HopDigest> own = HopDigest::Parse(header);
  REQUIRE(own);
  own->Add(std::string_view(body).substr(0, 16'384));
  CHECK_FALSE(own->Matches());
  own->Add(std::string_view(body).substr(16'384));
  CHECK(own->Matches());
  std::optional<HopDigest> swapped = HopDigest::Parse(header);
  swapped->Add(std::string_view(body).substr(0, 16'384));
  swapped->Add(std::string_view(other).substr(16'384));
  CHECK_FALSE(swapped->Matches());
}

TEST_CASE("an empty body has a hash too") {
  ResponseHeader header;
  HopDigest::SetOn(&header, "");
  const std::optional<HopDigest> digest = HopDigest::Parse(header);
  REQUIRE(digest);
  CHECK(digest->Matches());
}

TEST_CASE("a header without a hash, or with a broken one, checks nothing") {
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
