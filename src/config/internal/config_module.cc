#include "config/config_module.h"

#include "config/internal/document_config.h"
#include "config/internal/majority_freshness.h"
#include "config/internal/peer_sync.h"
#include "config/internal/serve_stale_freshness.h"
#include "config/internal/source_feed.h"
#include "config/internal/store_watcher.h"
#include "config/replicated_state.h"
#include "config/state_source.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "keys/key_ring.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "store/instance_directory.h"
#include "store/object_store.h"

namespace redwing {

ConfigModule::~ConfigModule() = default;

void ConfigModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<Metrics> metrics = kernel.Find<Metrics>();
  const std::shared_ptr<KeyRing> keys = std::make_shared<KeyRing>();
  state_ = std::make_shared<ReplicatedState>(*metrics);
  config_ = std::make_shared<DocumentConfig>(*metrics, state_, keys);
  if (options_.origin == StateOrigin::kStateObjects) {
    watcher_ = std::make_shared<StoreWatcher>(kernel.io(), state_, keys,
                                              kernel.Find<Identity>());
    feed_ = watcher_;
  } else {
    source_feed_ = std::make_shared<SourceFeed>(
        kernel.io(), state_, kernel.Find<Identity>(), options_);
    feed_ = source_feed_;
  }
  sync_ = std::make_shared<PeerSync>(kernel.io(), *metrics, state_, keys,
                                     kernel.Find<Identity>(), feed_);
  kernel.Register(keys);
  kernel.Register(state_);
  kernel.Register<SteeringConfig>(config_);
  kernel.Register<Withdrawals>(sync_);
  if (options_.freshness_policy == FreshnessPolicy::kServeStale) {
    serve_stale_freshness_ =
        std::make_shared<ServeStaleFreshness>(kernel.io(), feed_);
    kernel.Register<Freshness>(serve_stale_freshness_);
    return;
  }
  majority_freshness_ =
      std::make_shared<MajorityFreshness>(feed_, options_.freshness_limit);
  kernel.Register<Freshness>(majority_freshness_);
}

void ConfigModule::ResolveDependencies(Kernel& kernel) {
  const std::shared_ptr<Membership> membership = kernel.Find<Membership>();
  config_->Attach(membership);
  AttachFeed(kernel);
  sync_->Attach(kernel.Find<PeerTransport>(), membership);
  if (majority_freshness_) {
    majority_freshness_->Attach(membership);
  }
  if (serve_stale_freshness_) {
    serve_stale_freshness_->Attach(membership);
    const std::shared_ptr<PeerSync> sync = sync_;
    membership->on_pause().Subscribe(
        [sync](const Milliseconds& /*pause*/) { sync->PullAfterPause(); });
  }
}

void ConfigModule::AttachFeed(Kernel& kernel) {
  const std::shared_ptr<Membership> membership = kernel.Find<Membership>();
  const std::shared_ptr<InstanceDirectory> directory =
      kernel.Find<InstanceDirectory>();
  if (watcher_) {
    watcher_->Attach(kernel.Find<ObjectStore>(), directory, membership);
  } else {
    source_feed_->Attach(kernel.Find<StateSource>(), directory, membership);
  }
}

void ConfigModule::Start() {
  feed_->Start();
  sync_->Start();
  if (serve_stale_freshness_) {
    serve_stale_freshness_->Start();
  }
}

void ConfigModule::Stop() {
  if (serve_stale_freshness_) {
    serve_stale_freshness_->Stop();
  }
  sync_->Stop();
  feed_->Stop();
}

}  // namespace redwing
