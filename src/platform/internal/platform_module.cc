#include "platform/platform_module.h"

#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "platform/internal/kubernetes_platform.h"

namespace redwing {

PlatformModule::~PlatformModule() = default;

void PlatformModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<KubernetesPlatform> platform =
      std::make_shared<KubernetesPlatform>(
          kernel.io(), *kernel.Find<SocketRegistry>(), *kernel.Find<Metrics>(),
          TcpEndpoint(address_), timeout_);
  kernel.Register<ObjectStore>(platform);
  kernel.Register<InstanceDirectory>(platform);
}

void PlatformModule::ResolveDependencies(Kernel& /*kernel*/) {}

}  // namespace redwing
