#include "config/config_module.h"

#include "config/internal/document_config.h"
#include "config/internal/majority_freshness.h"
#include "config/internal/peer_sync.h"
#include "config/internal/store_watcher.h"
#include "config/replicated_state.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "keys/key_ring.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "platform/instance_directory.h"
#include "platform/object_store.h"

namespace redwing {

ConfigModule::~ConfigModule() = default;

void ConfigModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<Metrics> metrics = kernel.Find<Metrics>();
  const std::shared_ptr<KeyRing> keys = std::make_shared<KeyRing>();
  state_ = std::make_shared<ReplicatedState>(*metrics);
  config_ = std::make_shared<DocumentConfig>(state_, keys);
  watcher_ = std::make_shared<StoreWatcher>(kernel.io(), state_, keys,
                                            kernel.Find<Identity>());
  sync_ =
      std::make_shared<PeerSync>(kernel.io(), *metrics, state_, keys, watcher_);
  freshness_ = std::make_shared<MajorityFreshness>(watcher_, freshness_limit_);
  kernel.Register(keys);
  kernel.Register(state_);
  kernel.Register<SteeringConfig>(config_);
  kernel.Register<Withdrawals>(sync_);
  kernel.Register<Freshness>(freshness_);
}

void ConfigModule::ResolveDependencies(Kernel& kernel) {
  const std::shared_ptr<Membership> membership = kernel.Find<Membership>();
  config_->Attach(membership);
  watcher_->Attach(kernel.Find<ObjectStore>(), kernel.Find<InstanceDirectory>(),
                   membership);
  sync_->Attach(kernel.Find<PeerTransport>(), membership);
  freshness_->Attach(membership);
}

void ConfigModule::Start() {
  watcher_->Start();
  sync_->Start();
}

void ConfigModule::Stop() {
  sync_->Stop();
  watcher_->Stop();
}

}  // namespace redwing
