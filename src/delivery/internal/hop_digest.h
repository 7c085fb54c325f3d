#ifndef REDWING_DELIVERY_INTERNAL_HOP_DIGEST_H_
#define REDWING_DELIVERY_INTERNAL_HOP_DIGEST_H_

#include <xxhash.h>

#include <memory>
#include <optional>
#include <string_view>

#include "framework/http/http_types.h"

namespace redwing {

// Checks the body of another entry's answer against the hash in its header, so
// that a body that is not the one that belongs to the header is noticed. Not
// for authentication.
class HopDigest {
 public:
  // Returns nothing when the header has no hash.
  static std::optional<HopDigest> Parse(const ResponseHeader& header);
  // Names a body's hash in the header of an answer to another entry.
  static void SetOn(ResponseHeader* header, std::string_view body);

  // Takes the next piece of the body.
  void Add(std::string_view piece);
  // Returns whether the pieces so far are the body that the header names.
  bool Matches() const;

 private:
  struct Free {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };

  HopDigest();

  uint64_t expected_ = 0;
  std::unique_ptr<XXH3_state_t, Free> state_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_HOP_DIGEST_H_
