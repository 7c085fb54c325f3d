#ifndef REDWING_ENTRY_ENTRY_MODULE_H_
#define REDWING_ENTRY_ENTRY_MODULE_H_

#include <memory>

#include "entry/entry_settings.h"
#include "framework/kernel/module.h"

namespace redwing {

class EntryHandler;
class GracefulStop;
class HttpServer;
class PeerTransport;
class Metrics;
class PeriodicTask;
class SteeringConfig;
struct Identity;

// The HTTP interface of an entry instance and its graceful shutdown.
class EntryModule : public Module {
 public:
  explicit EntryModule(EntrySettings settings);
  ~EntryModule() override;

  std::string_view Name() const override { return "entry"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void BeginDrain() override;
  void Stop() override;

 private:
  // A head that a caller may send must also pass between instances.
  void ApplyCallerLimits();

  EntrySettings settings_;
  std::shared_ptr<Identity> identity_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<PeerTransport> transport_;
  std::unique_ptr<EntryHandler> handler_;
  std::unique_ptr<HttpServer> server_;
  std::shared_ptr<GracefulStop> graceful_stop_;
  std::shared_ptr<Metrics> metrics_;
  std::unique_ptr<PeriodicTask> log_counters_;
};

}  // namespace redwing

#endif  // REDWING_ENTRY_ENTRY_MODULE_H_
