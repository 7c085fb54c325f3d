#ifndef REDWING_CONFIG_CONFIG_MODULE_H_
#define REDWING_CONFIG_CONFIG_MODULE_H_

#include <memory>

#include "config/config_options.h"
#include "framework/kernel/clock.h"
#include "framework/kernel/module.h"

namespace redwing {

class DocumentConfig;
class MajorityFreshness;
class PeerSync;
class ReplicatedState;
class ServeStaleFreshness;
class SourceFeed;
class StateFeed;
class StoreWatcher;

// Provides the configuration, API keys and key withdrawals that are in force on
// this instance, and keeps them in sync with the store and with peers.
class ConfigModule : public Module {
 public:
  explicit ConfigModule(ConfigOptions options) : options_(options) {}
  ~ConfigModule() override;

  std::string_view Name() const override { return "config"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void Stop() override;

 private:
  void AttachFeed(Kernel& kernel);

  ConfigOptions options_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<DocumentConfig> config_;
  // Exactly one of these two is set, depending on ConfigOptions::origin; feed_
  // refers to it.
  std::shared_ptr<StoreWatcher> watcher_;
  std::shared_ptr<SourceFeed> source_feed_;
  std::shared_ptr<StateFeed> feed_;
  std::shared_ptr<PeerSync> sync_;
  // Exactly one of these two is set, depending on
  // ConfigOptions::freshness_policy.
  std::shared_ptr<MajorityFreshness> majority_freshness_;
  std::shared_ptr<ServeStaleFreshness> serve_stale_freshness_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_CONFIG_MODULE_H_
