#include "membership/membership_module.h"

#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "membership/internal/heartbeat_membership.h"

namespace redwing {

MembershipModule::~MembershipModule() = default;

void MembershipModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<Identity> identity =
      std::make_shared<Identity>(identity_);
  kernel.Register(identity);
  membership_ = std::make_shared<HeartbeatMembership>(
      kernel.io(), *kernel.Find<Metrics>(), identity, options_, seeds_);
  kernel.Register<Membership>(membership_);
}

void MembershipModule::ResolveDependencies(Kernel& kernel) {
  membership_->Attach(kernel.Find<PeerTransport>());
}

void MembershipModule::Start() {
  membership_->Start();
}

void MembershipModule::BeginDrain() {
  membership_->AnnounceLeaving();
}

void MembershipModule::Stop() {
  membership_->Stop();
}

}  // namespace redwing
