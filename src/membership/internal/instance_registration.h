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

// Lists this instance in the store, takes it from the list at a planned stop,
// and removes others that have long been silent. For platforms that do not
// list the instances of this system themselves.
class InstanceRegistration {
 public:
  InstanceRegistration(boost::asio::io_context& io,
                       std::shared_ptr<Identity> identity,
                       RegistrationOptions options);

  void Attach(std::shared_ptr<ObjectStore> store,
              std::shared_ptr<Membership> membership);
  void Start();
  void Stop() { stopped_ = true; }
  // Takes this instance from the list.
  void Unregister();

 private:
  void Loop(const Yield& yield);
  // Returns whether the store lists this process.
  Result<void> Register(const Yield& yield);
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
