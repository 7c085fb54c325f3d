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

// Elects the slot leader of each target: the entry instance with the highest
// rendezvous score among those in the target's failure domain that are usable
// and reach targets, so that the last hop stays within the domain; if there is
// none, among those in its region. No consensus is needed: two leaders at the
// same time overfill a target's slots slightly and break no guarantee.
class TargetLeaders {
 public:
  TargetLeaders(std::shared_ptr<Identity> identity,
                std::shared_ptr<Membership> membership);

  // Returns the name of the target's slot leader; empty if no entry instance of
  // the region is usable and reaches targets.
  const std::string& LeaderOf(const Target& target);
  bool IsOwn(const Target& target);
  // Sets whether this instance may lead targets. True by default.
  void SetMayLead(bool may_lead);

 private:
  // The entry instances of a failure domain or region, and the leaders elected
  // from them.
  struct Electorate {
    bool known = false;
    std::vector<std::string> entries;
    // Leaders by name of the target.
    std::map<std::string, std::string, std::less<>> leaders;
  };

  // Returns the leader elected from the electorate; empty if it has no entry.
  // `belongs` tells whether an entry instance of the given region and failure
  // domain is a member of the electorate.
  template <typename Belongs>
  const std::string& ElectFrom(Electorate& electorate,
                               const Target& target,
                               Belongs belongs);

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  bool may_lead_ = true;
  // An electorate is discarded when one of its entry instances changes.
  std::map<std::string, Electorate, std::less<>> by_failure_domain_;
  std::map<std::string, Electorate, std::less<>> by_region_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_LEADERS_H_
