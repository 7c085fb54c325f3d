#ifndef REDWING_ADMIN_ADMIN_MODULE_H_
#define REDWING_ADMIN_ADMIN_MODULE_H_

#include <memory>

#include "admin/admin_settings.h"
#include "framework/kernel/module.h"

namespace redwing {

class AdminHandler;
class GracefulStop;
class HttpServer;

// The administration API over HTTP.
class AdminModule : public Module {
 public:
  explicit AdminModule(AdminSettings settings);
  ~AdminModule() override;

  std::string_view Name() const override { return "admin"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& /*kernel*/) override {}
  void Start() override;
  void BeginDrain() override;
  void Stop() override;

 private:
  AdminSettings settings_;
  std::unique_ptr<AdminHandler> handler_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<GracefulStop> graceful_stop_;
};

}  // namespace redwing

#endif  // REDWING_ADMIN_ADMIN_MODULE_H_
