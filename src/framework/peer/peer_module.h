#ifndef REDWING_FRAMEWORK_PEER_PEER_MODULE_H_
#define REDWING_FRAMEWORK_PEER_PEER_MODULE_H_

#include <memory>
#include <string>
#include <vector>

#include "framework/kernel/module.h"

namespace redwing {

class SocketPeerTransport;

// Messages between instances.
class PeerModule : public Module {
 public:
  PeerModule(std::string own_name,
             std::string listen,
             std::vector<std::string> secrets)
      : own_name_(std::move(own_name)),
        listen_(std::move(listen)),
        secrets_(std::move(secrets)) {}
  ~PeerModule() override;

  std::string_view Name() const override { return "peer"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void Stop() override;

 private:
  std::string own_name_;
  std::string listen_;
  std::vector<std::string> secrets_;
  std::shared_ptr<SocketPeerTransport> transport_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_PEER_PEER_MODULE_H_
