#ifndef REDWING_ROUTING_INTERNAL_TARGET_RATE_SHARE_H_
#define REDWING_ROUTING_INTERNAL_TARGET_RATE_SHARE_H_

#include <memory>

namespace redwing {

class Membership;
struct Identity;
struct Target;

// Divides the request rate that a target accepts from all instances together
// among the instances of its region, so that they stay within it without any
// communication.
class TargetRateShare {
 public:
  TargetRateShare() = default;
  // `led` is true if only its slot leader sends requests to a target.
  TargetRateShare(std::shared_ptr<Identity> identity,
                  std::shared_ptr<Membership> membership,
                  bool led);

  // Returns this instance's fraction of the target's rate, from 0 to 1.
  double FractionFor(const Target& target) const;

 private:
  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  bool led_ = false;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_RATE_SHARE_H_
