#ifndef REDWING_CONFIG_CONFIG_MODULE_H_
#define REDWING_CONFIG_CONFIG_MODULE_H_

#include <memory>

#include "framework/kernel/clock.h"
#include "framework/kernel/module.h"

namespace redwing {

class DocumentConfig;
class MajorityFreshness;
class PeerSync;
class ReplicatedState;
class StoreWatcher;

// The configuration, keys and withdrawals in force.
class ConfigModule : public Module {
 public:
  explicit ConfigModule(Milliseconds freshness_limit)
      : freshness_limit_(freshness_limit) {}
  ~ConfigModule() override;

  std::string_view Name() const override { return "config"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void Stop() override;

 private:
  Milliseconds freshness_limit_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<DocumentConfig> config_;
  std::shared_ptr<StoreWatcher> watcher_;
  std::shared_ptr<PeerSync> sync_;
  std::shared_ptr<MajorityFreshness> freshness_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_CONFIG_MODULE_H_
