#include "config/internal/document_config.h"

#include <catch2/catch.hpp>
#include <memory>

#include "config/replicated_state.h"
#include "framework/metrics/metrics.h"
#include "keys/key_ring.h"

namespace redwing {
namespace {

// Guards against look-ups that name no instance although the instance has said
// that it is ready.
TEST_CASE("modules are notified when the configuration becomes ready") {
  Metrics metrics;
  const auto state = std::make_shared<ReplicatedState>(metrics);
  DocumentConfig config(metrics, state, std::make_shared<KeyRing>());
  int notified = 0;
  bool ready_when_notified = false;
  config.on_change().Subscribe([&]() {
    ++notified;
    ready_when_notified = config.ready();
  });
  const std::string section =
      R"({"team": "t", "services": [{"name": "svc", "discovered": true}]})";
  state->Apply(
      {std::string(kSectionPrefix) + "one", StoreVersion(1, 1), section},
      TimePoint() + std::chrono::hours(1));
  CHECK_FALSE(config.ready());
  const int before = notified;
  state->MarkComplete();
  CHECK(notified == before + 1);
  CHECK(ready_when_notified);
  state->MarkComplete();
  CHECK(notified == before + 1);
}

}  // namespace
}  // namespace redwing
