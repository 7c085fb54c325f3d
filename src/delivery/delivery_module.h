#ifndef REDWING_DELIVERY_DELIVERY_MODULE_H_
#define REDWING_DELIVERY_DELIVERY_MODULE_H_

#include <memory>
#include <string>
#include <vector>

#include "delivery/delivery_options.h"
#include "framework/kernel/module.h"

namespace redwing {

class RequestCarrier;

// Module that delivers callers' requests to targets and forwards them to other
// instances.
class DeliveryModule : public Module {
 public:
  explicit DeliveryModule(std::vector<std::string> secrets,
                          DeliveryOptions options = {})
      : secrets_(std::move(secrets)), options_(std::move(options)) {}
  ~DeliveryModule() override;

  std::string_view Name() const override { return "delivery"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void Stop() override;

 private:
  std::vector<std::string> secrets_;
  DeliveryOptions options_;
  std::shared_ptr<RequestCarrier> carrier_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_DELIVERY_MODULE_H_
