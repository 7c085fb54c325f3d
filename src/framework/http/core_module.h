#ifndef REDWING_FRAMEWORK_HTTP_CORE_MODULE_H_
#define REDWING_FRAMEWORK_HTTP_CORE_MODULE_H_

#include <memory>
#include <string>

#include "framework/kernel/module.h"

namespace redwing {

class Metrics;
class PeriodicTask;

// Registers what every daemon needs: metrics and the timeout sockets. Comes
// first in a program's list of modules.
class CoreModule : public Module {
 public:
  // Connections are opened from `source_address`, an IP number; empty lets the
  // system choose.
  explicit CoreModule(std::string source_address);
  ~CoreModule() override;

  std::string_view Name() const override { return "core"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void Stop() override;

 private:
  // Writes the log out and counts what was left out of it.
  void HandleLog();

  std::string source_address_;
  std::shared_ptr<Metrics> metrics_;
  std::unique_ptr<PeriodicTask> flush_log_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_CORE_MODULE_H_
