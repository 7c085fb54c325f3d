#ifndef REDWING_CONFIG_STEERING_CONFIG_H_
#define REDWING_CONFIG_STEERING_CONFIG_H_

#include <memory>
#include <string_view>

#include "config/drains.h"
#include "framework/kernel/channel.h"
#include "steering/steering_document.h"
#include "store/instance_directory.h"

namespace redwing {

// Provides the configuration that is in force on this instance.
class SteeringConfig {
 public:
  static constexpr std::string_view kServiceName = "steering_config";

  virtual ~SteeringConfig() = default;

  // Returns the sections in force, with the targets that the platform lists.
  // Never null; empty before the first section is applied.
  virtual std::shared_ptr<const SteeringDocument> document() const = 0;
  // Returns what operators have drained.
  virtual const Drains& drains() const = 0;
  // Returns the platform's list of instances as last read.
  virtual const InstanceList& listing() const = 0;
  // Returns whether the state is complete and configures at least one service,
  // so that requests may be served.
  virtual bool ready() const = 0;
  // Notifies subscribers after the document, the API keys, the drains or the
  // listing changed, and once the state has become complete.
  virtual Channel<>& on_change() = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STEERING_CONFIG_H_
