#include "framework/http/header_check.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("heads on which parsers may disagree are found") {
  CHECK_FALSE(FindRawHeaderProblem("GET / HTTP/1.1\r\nA: b\r\n\r\n"));
  CHECK(FindRawHeaderProblem("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"));
  CHECK(FindRawHeaderProblem("GET / HTTP/1.1\r\nA: b\r\n\tc\r\n\r\n"));
  CHECK(FindRawHeaderProblem("GET / HTTP/1.1\nA: b\r\n\r\n"));
  CHECK(FindRawHeaderProblem("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n"));
  CHECK(FindRawHeaderProblem("GET / HTTP/1.1\r\nA : b\r\n\r\n"));
  CHECK(FindRawHeaderProblem(
      std::string_view("GET / HTTP/1.1\r\nA: \0\r\n\r\n", 24)));
}

TEST_CASE("ambiguous framing is found") {
  RequestHeader header;
  header.version(11);
  header.set(http::field::host, "h");
  CHECK_FALSE(FindFramingProblem(header));
  SECTION("several lengths") {
    header.insert(http::field::content_length, "5");
    header.insert(http::field::content_length, "5");
  }
  SECTION("length and coding") {
    header.set(http::field::content_length, "5");
    header.set(http::field::transfer_encoding, "chunked");
  }
  SECTION("a list of lengths") {
    header.set(http::field::content_length, "5, 5");
  }
  SECTION("a signed length") {
    header.set(http::field::content_length, "+5");
  }
  SECTION("another coding") {
    header.set(http::field::transfer_encoding, "gzip, chunked");
  }
  SECTION("two hosts") {
    header.insert(http::field::host, "other");
  }
  SECTION("no host") {
    header.erase(http::field::host);
  }
  CHECK(FindFramingProblem(header));
}

}  // namespace
}  // namespace redwing
