#include "entry/entry_module.h"

#include <fmt/format.h>

#include <cstdio>

#include "budget/budgets.h"
#include "config/freshness.h"
#include "config/replicated_state.h"
#include "config/steering_config.h"
#include "config/withdrawals.h"
#include "delivery/request_handler.h"
#include "entry/internal/entry_handler.h"
#include "framework/http/graceful_stop.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/kernel/periodic_task.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "framework/settings/endpoint.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/entry_lookup.h"
#include "routing/target_router.h"

namespace redwing {

namespace {
// How often all counters go to the log, for those who have nothing else.
constexpr Milliseconds kCountersInterval{10'000};
}  // namespace

EntryModule::EntryModule(EntrySettings settings)
    : settings_(std::move(settings)) {}

EntryModule::~EntryModule() = default;

void EntryModule::RegisterServices(Kernel& kernel) {
  identity_ = kernel.Find<Identity>();
  transport_ = kernel.Find<PeerTransport>();
  EntryServices services;
  services.identity = identity_;
  services.metrics = kernel.Find<Metrics>();
  services.lookup = kernel.Find<EntryLookup>();
  services.requests = kernel.Find<RequestHandler>();
  services.config = kernel.Find<SteeringConfig>();
  services.state = kernel.Find<ReplicatedState>();
  services.freshness = kernel.Find<Freshness>();
  services.membership = kernel.Find<Membership>();
  services.budgets = kernel.Find<Budgets>();
  services.router = kernel.Find<TargetRouter>();
  services.withdrawals = kernel.Find<Withdrawals>();
  config_ = services.config;
  HttpServerLimits limits;
  limits.header_bytes += RequestHandler::kMaxForwardingBytes;
  limits.connections = settings_.max_connections;
  limits.idle_timeout = settings_.idle_timeout;
  limits.header_timeout = settings_.header_timeout;
  limits.io_timeout = settings_.io_timeout;
  handler_ = std::make_unique<EntryHandler>(kernel.io(), std::move(services),
                                            settings_.fleet_secrets);
  server_ =
      std::make_unique<HttpServer>(kernel.io(), *kernel.Find<SocketRegistry>(),
                                   *kernel.Find<Metrics>(), *handler_, limits);
  graceful_stop_ = std::make_shared<GracefulStop>(
      kernel.io(), settings_.stop_schedule(), [&kernel]() { kernel.Stop(); });
  graceful_stop_->AddServer(*server_);
  kernel.Register<GracefulStop>(graceful_stop_);
}

void EntryModule::ResolveDependencies(Kernel& kernel) {
  config_->on_change().Subscribe([this]() { ApplyCallerLimits(); });
  metrics_ = kernel.Find<Metrics>();
  log_counters_ = std::make_unique<PeriodicTask>(
      kernel.io(), kCountersInterval,
      [this]() { spdlog::info("event=counters{}", metrics_->LogLine()); });
}

void EntryModule::Start() {
  server_->Listen(TcpEndpoint(settings_.http_listen));
  const std::string address = FormatEndpoint(server_->local_endpoint());
  if (identity_->http_address.empty()) {
    identity_->http_address = address;
  }
  spdlog::info("event=serving address={}", address);
  log_counters_->Start();
  // One line for whoever started the process with port 0.
  fmt::print("{{\"http\":\"{}\",\"peer_listen\":\"{}\"}}\n", address,
             transport_->local_address());
  std::fflush(stdout);
}

void EntryModule::ApplyCallerLimits() {
  HttpServerLimits limits = server_->limits();
  limits.header_bytes = config_->document()->caller_limits().header_bytes +
                        RequestHandler::kMaxForwardingBytes;
  server_->SetLimits(limits);
}

void EntryModule::BeginDrain() {
  graceful_stop_->Begin();
}

void EntryModule::Stop() {
  graceful_stop_->Cancel();
}

}  // namespace redwing
