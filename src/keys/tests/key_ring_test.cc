#include "keys/key_ring.h"

#include <catch2/catch.hpp>

#include "keys/api_key.h"

namespace redwing {
namespace {

TEST_CASE("a key is accepted until it is withdrawn") {
  const ApiKey key = ApiKey::Generate();
  KeyRecord record;
  record.workspace = "alpha";
  key.FillRecord(&record);
  CHECK(record.hash.find(key.secret) == std::string::npos);
  KeyRing ring;
  CHECK(ring.Check(key.Text()).error().errc == Errc::kUnknownKey);
  ring.SetShard("s", {record});
  CHECK(ring.Check(key.Text()).value()->workspace == "alpha");
  std::string wrong = key.Text();
  wrong.back() = wrong.back() == '0' ? '1' : '0';
  CHECK(ring.Check(wrong).error().errc == Errc::kUnknownKey);
  CHECK(ring.Withdraw({{key.id, "op", 1}}));
  CHECK_FALSE(ring.Withdraw({{key.id, "op", 2}}));
  CHECK(ring.Check(key.Text()).error().errc == Errc::kKeyWithdrawn);
  // Reloading the shard does not undo the withdrawal.
  ring.SetShard("s", {record});
  CHECK(ring.Check(key.Text()).error().errc == Errc::kKeyWithdrawn);
}

TEST_CASE("the hash of withdrawn keys does not depend on their order") {
  KeyRing a;
  KeyRing b;
  a.Withdraw({{"1", "", 0}, {"2", "", 0}});
  b.Withdraw({{"2", "", 0}});
  CHECK(a.withdrawn_hash() != b.withdrawn_hash());
  b.Withdraw({{"1", "", 0}, {"2", "", 0}});
  CHECK(a.withdrawn_hash() == b.withdrawn_hash());
}

TEST_CASE("an opaque key is found by the digest of its text") {
  KeyRing ring;
  KeyRecord record;
  record.id = OpaqueKeyId("tnfzs989anu6");
  record.workspace = "w";
  ring.SetShard("keys.x", {record});
  REQUIRE(ring.Check("tnfzs989anu6"));
  CHECK(ring.Check("tnfzs989anu6").value()->workspace == "w");
  CHECK_FALSE(ring.Check("tnfzs989anu7"));
  // The id, which may be logged, is not accepted as a key.
  CHECK_FALSE(ring.Check(record.id));
  ring.SetShard("keys.x", {});
  CHECK_FALSE(ring.Check("tnfzs989anu6"));
}

}  // namespace
}  // namespace redwing
