#ifndef REDWING_ROUTING_INTERNAL_COLD_SHARE_H_
#define REDWING_ROUTING_INTERNAL_COLD_SHARE_H_

#include <memory>

namespace redwing {

class Membership;
struct Identity;
struct Target;

// Divides what a cold target bears among the instances of its region, so that
// all together keep to it without a word.
class ColdShare {
 public:
  ColdShare() = default;
  // `led`: each target is sent to by its leader alone.
  ColdShare(std::shared_ptr<Identity> identity,
            std::shared_ptr<Membership> membership,
            bool led);

  // This instance's part of what a cold target bears, 0 to 1.
  double PartOf(const Target& target) const;

 private:
  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  bool led_ = false;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_COLD_SHARE_H_
