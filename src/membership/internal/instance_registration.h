#ifndef REDWING_MEMBERSHIP_INTERNAL_INSTANCE_REGISTRATION_H_
#define REDWING_MEMBERSHIP_INTERNAL_INSTANCE_REGISTRATION_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "membership/registration_options.h"

namespace redwing {

class Membership;
class ObjectStore;
struct Identity;

// Registers this instance in the store, removes it at a planned stop, and
// removes other instances whose removal timeout has expired. Used on platforms
// that do not list the instances of this system themselves.
class InstanceRegistration {
 public:
  InstanceRegistration(boost::asio::io_context& io,
                       std::shared_ptr<Identity> identity,
                       RegistrationOptions options);

  void Attach(std::shared_ptr<ObjectStore> store,
              std::shared_ptr<Membership> membership);
  void Start();
  void Stop() { stopped_ = true; }
  // Ends the registration loop and removes this instance from the store in the
  // background.
  void Unregister();

 private:
  void Loop(const Yield& yield);
  // Creates or updates the registration of this process; succeeds if the store
  // contains it. Fails as ObjectStore does.
  Result<void> Register(const Yield& yield);
  // Removes listed instances without a heartbeat for the removal timeout.
  void RemoveExpired(const Yield& yield);
  void Remove(const std::string& name, const Yield& yield);

  boost::asio::io_context& io_;
  std::shared_ptr<Identity> identity_;
  RegistrationOptions options_;
  std::shared_ptr<ObjectStore> store_;
  std::shared_ptr<Membership> membership_;
  bool registered_ = false;
  bool stopped_ = false;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_INTERNAL_INSTANCE_REGISTRATION_H_
