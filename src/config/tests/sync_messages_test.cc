#include "config/internal/sync_messages.h"

#include <catch2/catch.hpp>

#include "framework/wire/payload.h"

namespace redwing {
namespace {

// Messages as builds before 2026-12 encode them: entries with a revision, and
// no eras.
struct FormerEntry {
  std::string name;
  uint64_t revision = 0;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, revision, body);
  }
};

struct FormerPull {
  std::map<std::string, uint64_t> revisions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revisions);
  }
};

struct FormerReply {
  bool complete = false;
  std::vector<FormerEntry> entries;
  std::vector<Withdrawal> withdrawn;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(complete, entries, withdrawn);
  }
};

TEST_CASE("pulls and replies of builds without eras are of the first era") {
  const Result<StatePull> pull =
      DecodePayload<StatePull>(EncodePayload(FormerPull{{{"keys.a", 253}}}));
  REQUIRE(pull);
  CHECK(pull.value().versions.at("keys.a") == StoreVersion(1, 253));
  const Result<StateReply> reply = DecodePayload<StateReply>(EncodePayload(
      FormerReply{true, {{"keys.a", 253, "{}"}, {"drains", 7, "[]"}}, {}}));
  REQUIRE(reply);
  REQUIRE(reply.value().entries.size() == 2);
  CHECK(reply.value().entries[0].version == StoreVersion(1, 253));
  CHECK(reply.value().entries[1].body == "[]");
}

// Guards against an upgrade in which former builds ignore what is newer.
TEST_CASE("builds without eras read each later version as a higher revision") {
  const StateReply reply = {true,
                            {{"keys.a", StoreVersion(1, 253), "one"},
                             {"keys.a", StoreVersion(2, 189), "two"},
                             {"keys.a", StoreVersion(2, 230), "three"}},
                            {}};
  const Result<FormerReply> former =
      DecodePayload<FormerReply>(EncodePayload(reply));
  REQUIRE(former);
  const std::vector<FormerEntry>& entries = former.value().entries;
  REQUIRE(entries.size() == 3);
  CHECK(entries[0].revision == 253);
  CHECK(entries[0].revision < entries[1].revision);
  CHECK(entries[1].revision < entries[2].revision);
  CHECK(entries[2].body == "three");
}

}  // namespace
}  // namespace redwing
