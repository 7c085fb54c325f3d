#include "framework/wire/payload.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

namespace redwing {
namespace {

struct OlderMessage {
  uint32_t number = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

struct NewerMessage {
  uint32_t number = 0;
  std::vector<uint32_t> appended;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
    ArchiveAppended(archive, appended);
  }
};

TEST_CASE("a message is decoded by an older and a newer version") {
  const Result<NewerMessage> newer =
      DecodePayload<NewerMessage>(EncodePayload(OlderMessage{7}));
  REQUIRE(newer);
  CHECK(newer.value().number == 7);
  CHECK(newer.value().appended.empty());
  const std::string bytes = EncodePayload(NewerMessage{8, {1, 2}});
  const Result<OlderMessage> older = DecodePayload<OlderMessage>(bytes);
  REQUIRE(older);
  CHECK(older.value().number == 8);
  CHECK(DecodePayload<NewerMessage>(bytes).value().appended.size() == 2);
  // A field that is cut short is not the end of an older message.
  CHECK_FALSE(DecodePayload<NewerMessage>(bytes.substr(0, bytes.size() - 1)));
}

}  // namespace
}  // namespace redwing
