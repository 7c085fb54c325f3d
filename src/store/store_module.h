#ifndef REDWING_STORE_STORE_MODULE_H_
#define REDWING_STORE_STORE_MODULE_H_

#include <memory>
#include <string>

#include "framework/kernel/clock.h"
#include "framework/kernel/module.h"

namespace redwing {

// Provides the ObjectStore and InstanceDirectory services, backed by the
// Kubernetes API of the platform.
class StoreModule : public Module {
 public:
  StoreModule(std::string address, Milliseconds timeout)
      : address_(std::move(address)), timeout_(timeout) {}
  ~StoreModule() override;

  std::string_view Name() const override { return "store"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;

 private:
  std::string address_;
  Milliseconds timeout_;
};

}  // namespace redwing

#endif  // REDWING_STORE_STORE_MODULE_H_
