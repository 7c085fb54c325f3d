// The store comes back from an older copy, as after a restore from a backup:
// revisions are assigned again, and later writes are lost until they are
// written again.

#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr int kInstances = 4;
constexpr Milliseconds kStartLimit{15'000};
constexpr Milliseconds kChangeLimit{2'500};
constexpr Milliseconds kAway{1'000};
// Time until the operator writes again what the copy lacks.
constexpr Milliseconds kRewriteDelay{500};
// Time after a restore in which instances are not in touch with the store.
constexpr Milliseconds kContact{4'000};
// Writes between the copy and the restore.
constexpr int kLostWrites = 60;
constexpr unsigned kForbidden = 403;
constexpr unsigned kUnauthorized = 401;

json ManifestWithKeys(int version, const std::vector<std::string>& keys) {
  json manifest = PlatformStandIn::Manifest(version);
  manifest["tenants"]["rows"][0][1] = keys;
  return manifest;
}

// Asks one instance with a key until stopped.
class KeyUser {
 public:
  KeyUser(PlatformStandIn& fleet, int instance, const std::string& key)
      : thread_([this, &fleet, instance, key]() {
          for (int i = 0; !stopped_; ++i) {
            const Result<HttpReply> reply =
                fleet.Send(instance, fmt::format("{}-{}-{}", key, instance, i),
                           http::verb::get, "/safe/1", key);
            const unsigned status = reply ? reply.value().status : 0;
            ran_ += status == 200 ? 1 : 0;
            denied_ += status == kUnauthorized || status == kForbidden ? 1 : 0;
            std::this_thread::sleep_for(kPause);
          }
        }) {}
  ~KeyUser() {
    stopped_ = true;
    thread_.join();
  }
  KeyUser(const KeyUser&) = delete;
  KeyUser& operator=(const KeyUser&) = delete;

  int ran() const { return ran_; }
  int denied() const { return denied_; }

 private:
  static constexpr Milliseconds kPause{20};

  std::atomic<bool> stopped_ = false;
  std::atomic<int> ran_ = 0;
  std::atomic<int> denied_ = 0;
  std::thread thread_;
};

using KeyUsers = std::vector<std::unique_ptr<KeyUser>>;

KeyUsers StartUsers(PlatformStandIn& fleet, const std::string& key) {
  KeyUsers users;
  for (int i = 0; i < kInstances; ++i) {
    users.push_back(std::make_unique<KeyUser>(fleet, i, key));
  }
  return users;
}

// A key is added after the copy, so that the restored store lacks it until the
// manifest is written again. `rewrite`: what the operator then writes.
void RestoreWithoutKey(PlatformStandIn& fleet, const json& rewrite) {
  fleet.OnLoop([&]() { fleet.store().SetDown(true); });
  std::this_thread::sleep_for(kAway);
  fleet.OnLoop([&]() {
    fleet.store().Restore();
    fleet.store().SetDown(false);
  });
  std::this_thread::sleep_for(kRewriteDelay);
  fleet.OnLoop([&]() { fleet.store().Put("config", "main", rewrite); });
}

void AddKeyAfterCopy(PlatformStandIn& fleet, const json& manifest) {
  fleet.OnLoop([&]() {
    fleet.store().KeepCopy();
    for (int i = 0; i < kLostWrites; ++i) {
      fleet.store().Put("other", "object", {{"number", i}});
    }
    fleet.store().Put("config", "main", manifest);
  });
  std::this_thread::sleep_for(kChangeLimit);
}

// Guards against a lower revision of a later era being ignored.
TEST_CASE("a key that is taken away after a restore of the store is refused") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  const json with_both = ManifestWithKeys(10, {"key-one", "key-added"});
  AddKeyAfterCopy(fleet, with_both);
  // The second round restores the same copy again.
  for (int round = 0; round < 2; ++round) {
    CAPTURE(round);
    RestoreWithoutKey(fleet, with_both);
    std::this_thread::sleep_for(kContact + kChangeLimit);
    fleet.PutManifest(ManifestWithKeys(11 + 2 * round, {"key-one"}));
    std::this_thread::sleep_for(kChangeLimit);
    {
      const KeyUsers removed = StartUsers(fleet, "key-added");
      const KeyUsers kept = StartUsers(fleet, "key-one");
      std::this_thread::sleep_for(kChangeLimit);
      for (int i = 0; i < kInstances; ++i) {
        CAPTURE(i);
        CHECK(removed[i]->ran() == 0);
        CHECK(removed[i]->denied() > 0);
        CHECK(kept[i]->denied() == 0);
        CHECK(kept[i]->ran() > 0);
      }
    }
    fleet.PutManifest(with_both);
    std::this_thread::sleep_for(kChangeLimit);
  }
}

// Guards against the return to the older configuration of the copy.
TEST_CASE("no instance returns to the configuration of a restored copy") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  const json with_both = ManifestWithKeys(10, {"key-one", "key-added"});
  AddKeyAfterCopy(fleet, with_both);
  const KeyUsers users = StartUsers(fleet, "key-added");
  std::this_thread::sleep_for(kChangeLimit);
  RestoreWithoutKey(fleet, with_both);
  std::this_thread::sleep_for(kContact + kChangeLimit);
  for (int i = 0; i < kInstances; ++i) {
    CAPTURE(i);
    CHECK(users[i]->ran() > 0);
    CHECK(users[i]->denied() == 0);
  }
}

}  // namespace
}  // namespace redwing::testing
