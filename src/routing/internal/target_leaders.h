#ifndef REDWING_ROUTING_INTERNAL_TARGET_LEADERS_H_
#define REDWING_ROUTING_INTERNAL_TARGET_LEADERS_H_

#include <map>
#include <memory>
#include <string>

namespace redwing {

class Membership;
struct Identity;
struct Target;

// Which entry leads each target: the first by rendezvous order of those that
// are heard in the target's failure domain, so that the last part of the way
// costs nothing; where there is none, in its region. No agreement is needed:
// two leaders for a moment fill a target's slots a little beyond their number
// and break no promise.
class TargetLeaders {
 public:
  TargetLeaders(std::shared_ptr<Identity> identity,
                std::shared_ptr<Membership> membership);

  // Returns the leader's name; empty when no entry of the region is heard.
  const std::string& LeaderOf(const Target& target);
  bool IsOwn(const Target& target);

 private:
  std::string Elect(const Target& target) const;
  // Elects among the entries of a failure domain; empty for the whole region.
  std::string ElectFrom(const Target& target,
                        const std::string& failure_domain) const;

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  // By name of the target; emptied when the members change.
  std::map<std::string, std::string, std::less<>> leaders_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_LEADERS_H_
