#include "framework/wire/compression.h"

#include <catch2/catch.hpp>
#include <random>

namespace redwing {
namespace {

constexpr size_t kMax = 1 << 20;

TEST_CASE("compressed bytes come back as they were") {
  for (const size_t size : {0, 1, 1'000, 200'000}) {
    CAPTURE(size);
    const std::string bytes(size, 'x');
    const Result<std::string> compressed = Compress(bytes);
    REQUIRE(compressed);
    const Result<std::string> restored = Decompress(compressed.value(), kMax);
    REQUIRE(restored);
    CHECK(restored.value() == bytes);
  }
}

TEST_CASE("bytes that grow beyond the limit are refused") {
  const Result<std::string> compressed = Compress(std::string(kMax + 1, 'x'));
  REQUIRE(compressed);
  const Result<std::string> restored = Decompress(compressed.value(), kMax);
  REQUIRE_FALSE(restored);
  CHECK(restored.error().errc == Errc::kBadMessage);
}

TEST_CASE("cut or changed bytes are refused or restore to something bounded") {
  std::mt19937_64 random(1);
  const Result<std::string> compressed = Compress(std::string(5'000, 'x'));
  REQUIRE(compressed);
  for (size_t size = 0; size < compressed.value().size(); ++size) {
    CHECK_FALSE(Decompress(compressed.value().substr(0, size), kMax));
  }
  for (int i = 0; i < 1'000; ++i) {
    std::string bytes = compressed.value();
    bytes[random() % bytes.size()] = static_cast<char>(random());
    const Result<std::string> restored = Decompress(bytes, kMax);
    CHECK((!restored || restored.value().size() <= kMax));
  }
}

}  // namespace
}  // namespace redwing
