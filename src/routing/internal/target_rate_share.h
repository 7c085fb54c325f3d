#ifndef REDWING_ROUTING_INTERNAL_TARGET_RATE_SHARE_H_
#define REDWING_ROUTING_INTERNAL_TARGET_RATE_SHARE_H_

#include <memory>

namespace redwing {

class Membership;
class TargetLeaders;
struct Identity;
struct Target;

// Divides the request rate that a target accepts from all instances together
// among the instances of its region, so that they stay within it without any
// communication.
class TargetRateShare {
 public:
  TargetRateShare() = default;
  // `leaders` is null if other instances than its slot leader send requests to
  // a target.
  TargetRateShare(std::shared_ptr<Identity> identity,
                  std::shared_ptr<Membership> membership,
                  std::shared_ptr<TargetLeaders> leaders);

  // Returns this instance's fraction of the target's rate, from 0 to 1.
  double FractionFor(const Target& target) const;

 private:
  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<TargetLeaders> leaders_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_RATE_SHARE_H_
