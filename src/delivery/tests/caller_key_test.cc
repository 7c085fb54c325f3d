#include "delivery/internal/caller_key.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

constexpr const char* kKey =
    "rwk_0123456789abcdef_00112233445566778899aabbccddeeff0011223344556677";

TEST_CASE(
    "a key is found in header fields and query, two different keys fail") {
  RequestHeader header;
  const Url plain = *ParseTarget("/x");
  CHECK(FindCallerKey(header, plain).value().empty());
  header.set("X-Api-Key", kKey);
  CHECK(FindCallerKey(header, plain).value() == kKey);
  header.set(http::field::authorization, std::string("bearer ") + kKey);
  CHECK(FindCallerKey(header, plain).value() == kKey);
  const Url other = *ParseTarget("/x?api_key=other");
  CHECK(FindCallerKey(header, other).error().errc == Errc::kMalformedRequest);
}

TEST_CASE("all fields that contain the key are removed") {
  RequestHeader header;
  header.set(http::field::authorization, std::string("Bearer ") + kKey);
  header.set("x-api-key", kKey);
  header.insert("X-Api-Key", kKey);
  header.set(http::field::cookie, std::string("k=") + kKey + "; a=b");
  header.set(http::field::referer,
             "http://h/?api_key=rwk%5F0123456789abcdef_00112233445566778899"
             "aabbccddeeff0011223344556677");
  header.set("Accept", "text/html");
  RemoveKeyFields(&header, kKey);
  CHECK(std::distance(header.begin(), header.end()) == 1);
  CHECK(header.count("Accept") == 1);
}

TEST_CASE("query parameters that are or contain the key are removed") {
  const Url url =
      *ParseTarget(std::string("/x?a=1&api_key=") + kKey + "&API_KEY=" + kKey +
                   "&b=%20&c=x" + kKey + "&access_token=t");
  CHECK(QueryWithoutKey(url, kKey) == "?a=1&b=%20");
}

}  // namespace
}  // namespace redwing
