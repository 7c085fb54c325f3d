#ifndef REDWING_CONFIG_STEERING_CONFIG_H_
#define REDWING_CONFIG_STEERING_CONFIG_H_

#include <memory>
#include <string_view>

#include "config/drains.h"
#include "framework/kernel/channel.h"
#include "steering/steering_document.h"
#include "store/instance_directory.h"

namespace redwing {

// The configuration in force on this instance.
class SteeringConfig {
 public:
  static constexpr std::string_view kServiceName = "steering_config";

  virtual ~SteeringConfig() = default;

  // Never null; empty before the first section arrives.
  virtual std::shared_ptr<const SteeringDocument> document() const = 0;
  virtual const Drains& drains() const = 0;
  // The platform's list as of the last reading.
  virtual const InstanceList& listing() const = 0;
  // Returns whether the state is complete, so that requests may be served.
  virtual bool ready() const = 0;
  // Tells that the document, the drains or the listing changed.
  virtual Channel<>& on_change() = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STEERING_CONFIG_H_
