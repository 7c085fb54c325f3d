#ifndef REDWING_MEMBERSHIP_MEMBERSHIP_MODULE_H_
#define REDWING_MEMBERSHIP_MEMBERSHIP_MODULE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/kernel/module.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "membership/registration_options.h"

namespace redwing {

class HeartbeatMembership;
class InstanceRegistration;

// Provides the Identity and Membership services.
class MembershipModule : public Module {
 public:
  MembershipModule(Identity identity,
                   MembershipOptions options,
                   std::vector<std::string> seeds)
      : identity_(std::move(identity)),
        options_(options),
        seeds_(std::move(seeds)) {}
  // Registers this instance in the store; for platforms that do not list the
  // instances of this system themselves.
  MembershipModule(Identity identity,
                   MembershipOptions options,
                   RegistrationOptions registration)
      : identity_(std::move(identity)),
        options_(options),
        registration_options_(registration) {}
  ~MembershipModule() override;

  std::string_view Name() const override { return "membership"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void BeginDrain() override;
  void Stop() override;

 private:
  Identity identity_;
  MembershipOptions options_;
  std::vector<std::string> seeds_;
  std::optional<RegistrationOptions> registration_options_;
  std::shared_ptr<HeartbeatMembership> membership_;
  std::shared_ptr<InstanceRegistration> registration_;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_MEMBERSHIP_MODULE_H_
