#include "store/store_module.h"

#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "store/internal/kubernetes_store.h"

namespace redwing {

StoreModule::~StoreModule() = default;

void StoreModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<KubernetesStore> platform =
      std::make_shared<KubernetesStore>(
          kernel.io(), *kernel.Find<SocketRegistry>(), *kernel.Find<Metrics>(),
          TcpEndpoint(address_), timeout_);
  kernel.Register<ObjectStore>(platform);
  kernel.Register<InstanceDirectory>(platform);
}

void StoreModule::ResolveDependencies(Kernel& /*kernel*/) {}

}  // namespace redwing
