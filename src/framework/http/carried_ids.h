#ifndef REDWING_FRAMEWORK_HTTP_CARRIED_IDS_H_
#define REDWING_FRAMEWORK_HTTP_CARRIED_IDS_H_

#include <cstddef>
#include <string_view>
#include <vector>

namespace redwing {

// The ids of the requests that one connection has carried. A peer may send an
// earlier response once more; it can be told from the response to the current
// request only if no two requests on the connection have the same id.
class CarriedIds {
 public:
  // A connection that has carried this many is to be replaced.
  static constexpr size_t kMaxIds = 4096;

  // Ids are compared by hash: two different ones may count as equal.
  bool Contains(std::string_view id) const;
  void Add(std::string_view id);
  bool full() const { return hashes_.size() >= kMaxIds; }

 private:
  std::vector<size_t> hashes_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_CARRIED_IDS_H_
