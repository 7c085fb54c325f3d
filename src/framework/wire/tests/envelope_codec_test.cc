#include "framework/wire/envelope_codec.h"

#include <catch2/catch.hpp>

#include "framework/wire/replay_window.h"

namespace redwing {
namespace {

TEST_CASE("mutated, foreign and oversized messages are refused") {
  const EnvelopeCodec codec({"secret-secret-secret"});
  const std::string bytes =
      codec.Encode({"a", 7, 8, MessageKind::kHeartbeat, "payload"});
  const Result<Envelope> decoded = codec.Decode(bytes);
  REQUIRE(decoded);
  CHECK(decoded.value().sender == "a");
  CHECK(decoded.value().payload == "payload");
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string mutated = bytes;
    mutated[i] = static_cast<char>(mutated[i] ^ 1);
    CHECK_FALSE(codec.Decode(mutated));
  }
  CHECK_FALSE(EnvelopeCodec({"another-secret-other"}).Decode(bytes));
  CHECK_FALSE(codec.Decode(""));
  CHECK_FALSE(codec.Decode(std::string(EnvelopeCodec::kMaxBytes + 1, '\1')));
}

TEST_CASE("a message is accepted once, also out of order") {
  ReplayWindow window;
  CHECK(window.Accept(5, 10));
  CHECK_FALSE(window.Accept(5, 10));
  CHECK(window.Accept(5, 12));
  CHECK(window.Accept(5, 11));
  CHECK_FALSE(window.Accept(5, 11));
  CHECK(window.Accept(5, 12 + ReplayWindow::kSize * 3));
  CHECK_FALSE(window.Accept(5, 13));
  CHECK_FALSE(window.Accept(4, 9999));
  CHECK(window.Accept(6, 1));
  CHECK_FALSE(window.Accept(5, 99'999));
}

}  // namespace
}  // namespace redwing
