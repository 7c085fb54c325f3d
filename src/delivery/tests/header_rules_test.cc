#include "delivery/internal/header_rules.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("hop-by-hop fields and fields named by Connection are removed") {
  RequestHeader header;
  header.set(http::field::connection, "keep-alive, X-Trace, Content-Length");
  header.set("X-Trace", "1");
  header.set("X-Keep", "1");
  header.set(http::field::content_length, "5");
  header.set(http::field::transfer_encoding, "chunked");
  header.set(http::field::te, "trailers");
  RemoveHopByHopFields(&header);
  CHECK(header.count("X-Trace") == 0);
  CHECK(header.count(http::field::connection) == 0);
  CHECK(header.count(http::field::transfer_encoding) == 0);
  CHECK(header.count(http::field::te) == 0);
  CHECK(header.count("X-Keep") == 1);
  CHECK(header.count(http::field::content_length) == 1);
}

TEST_CASE("internal fields set by a caller are removed") {
  RequestHeader header;
  header.set("x-redwing-workspace", "other");
  header.set("X-REDWING-HOP", "forged");
  header.set("X-Redwing", "kept");
  RemoveInternalFields(&header);
  CHECK(std::distance(header.begin(), header.end()) == 1);
}

}  // namespace
}  // namespace redwing
