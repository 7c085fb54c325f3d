#ifndef REDWING_ROUTING_INTERNAL_TARGET_LEADERS_H_
#define REDWING_ROUTING_INTERNAL_TARGET_LEADERS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

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
  // The entries of a failure domain, or of a region, and whom they elected.
  struct Electorate {
    bool known = false;
    std::vector<std::string> entries;
    // By name of the target.
    std::map<std::string, std::string, std::less<>> leaders;
  };

  // `belongs`: whether an entry, by region and failure domain, has a vote.
  template <typename Belongs>
  const std::string& ElectFrom(Electorate& electorate,
                               const Target& target,
                               Belongs belongs);

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  // Each is emptied when one of its entries changes.
  std::map<std::string, Electorate, std::less<>> by_failure_domain_;
  std::map<std::string, Electorate, std::less<>> by_region_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_LEADERS_H_
