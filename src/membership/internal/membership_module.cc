#include "membership/membership_module.h"

#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "membership/internal/heartbeat_membership.h"
#include "membership/internal/instance_registration.h"
#include "store/object_store.h"

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
  if (registration_options_) {
    registration_ = std::make_shared<InstanceRegistration>(
        kernel.io(), kernel.Find<Identity>(), *registration_options_);
    registration_->Attach(kernel.Find<ObjectStore>(), membership_);
  }
}

void MembershipModule::Start() {
  membership_->Start();
  if (registration_) {
    registration_->Start();
  }
}

void MembershipModule::BeginDrain() {
  membership_->AnnounceLeaving();
  if (registration_) {
    registration_->Unregister();
  }
}

void MembershipModule::Stop() {
  if (registration_) {
    registration_->Stop();
  }
  membership_->Stop();
}

}  // namespace redwing
