#ifndef REDWING_FRAMEWORK_KERNEL_MODULE_H_
#define REDWING_FRAMEWORK_KERNEL_MODULE_H_

#include <string_view>

namespace redwing {

class Kernel;

// A unit of functionality. The kernel calls the steps of all modules in the
// order of registration, Stop() in the reverse order.
class Module {
 public:
  virtual ~Module() = default;

  virtual std::string_view Name() const = 0;

  // Creates the module's services and registers them with the kernel. Only
  // services of the modules added before can be found yet.
  virtual void RegisterServices(Kernel& kernel) = 0;

  // Looks up the services of other modules; all are registered by now.
  virtual void ResolveDependencies(Kernel& kernel) = 0;

  // Begins work: timers, listeners, first messages.
  virtual void Start() {}

  // Stops admitting work. What runs goes on until Stop().
  virtual void BeginDrain() {}

  virtual void Stop() {}
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_MODULE_H_
