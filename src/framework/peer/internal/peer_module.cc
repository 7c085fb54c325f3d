#include "framework/peer/peer_module.h"

#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/internal/socket_peer_transport.h"
#include "framework/settings/endpoint.h"

namespace redwing {

PeerModule::~PeerModule() = default;

void PeerModule::RegisterServices(Kernel& kernel) {
  transport_ = std::make_shared<SocketPeerTransport>(
      kernel.io(), *kernel.Find<SocketRegistry>(), *kernel.Find<Metrics>(),
      own_name_, secrets_);
  kernel.Register<PeerTransport>(transport_);
}

void PeerModule::ResolveDependencies(Kernel& /*kernel*/) {}

void PeerModule::Start() {
  transport_->Listen(UdpEndpoint(listen_));
}

void PeerModule::Stop() {
  transport_->Stop();
}

}  // namespace redwing
