#include "framework/http/core_module.h"

#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"

namespace redwing {

void CoreModule::RegisterServices(Kernel& kernel) {
  kernel.Register(std::make_shared<Metrics>());
  const std::shared_ptr<SocketRegistry> sockets =
      std::make_shared<SocketRegistry>(kernel.io());
  if (!source_address_.empty()) {
    sockets->SetSourceAddress(boost::asio::ip::make_address(source_address_));
  }
  kernel.Register(sockets);
}

}  // namespace redwing
