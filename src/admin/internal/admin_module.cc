#include "admin/admin_module.h"

#include <fmt/format.h>

#include <cstdio>

#include "admin/internal/admin_handler.h"
#include "framework/http/graceful_stop.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "store/object_store.h"

namespace redwing {

namespace {
constexpr Milliseconds kDrainLimit{30'000};
}  // namespace

AdminModule::AdminModule(AdminSettings settings)
    : settings_(std::move(settings)) {}

AdminModule::~AdminModule() = default;

void AdminModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<Metrics> metrics = kernel.Find<Metrics>();
  const std::shared_ptr<SocketRegistry> sockets = kernel.Find<SocketRegistry>();
  const std::shared_ptr<ObjectStore> store = kernel.Find<ObjectStore>();
  handler_ = std::make_unique<AdminHandler>(
      *metrics, StateEditor(store),
      OperatorDirectory(store, settings_.root_key),
      FleetView(kernel.io(), *sockets, settings_.entry_address,
                settings_.fleet_secret));
  server_ = std::make_unique<HttpServer>(kernel.io(), *sockets, *metrics,
                                         *handler_, HttpServerLimits());
  graceful_stop_ = std::make_unique<GracefulStop>(
      kernel.io(), StopSchedule::WithDrain(Milliseconds(0), kDrainLimit),
      [&kernel]() { kernel.Stop(); });
  graceful_stop_->AddServer(*server_);
}

void AdminModule::Start() {
  server_->Listen(TcpEndpoint(settings_.http_listen));
  fmt::print("{{\"http\":\"{}\"}}\n",
             FormatEndpoint(server_->local_endpoint()));
  std::fflush(stdout);
}

void AdminModule::BeginDrain() {
  graceful_stop_->Begin();
}

void AdminModule::Stop() {
  graceful_stop_->Cancel();
}

}  // namespace redwing
