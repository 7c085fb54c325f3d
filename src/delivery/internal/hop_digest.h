#ifndef REDWING_DELIVERY_INTERNAL_HOP_DIGEST_H_
#define REDWING_DELIVERY_INTERNAL_HOP_DIGEST_H_

#include <xxhash.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "framework/http/http_types.h"

namespace redwing {

// Checks the body of another instance's response against the hash in its
// header, to detect a body that belongs to a different response. It does not
// authenticate the sender.
class HopDigest {
 public:
  // Returns std::nullopt if the header has no valid hash.
  static std::optional<HopDigest> Parse(const ResponseHeader& header);
  // Returns the hash of a body as the field kBodyField holds it.
  static std::string TextOf(std::string_view body);
  // Sets the hash of a body in the header of a response to another instance.
  static void SetOn(ResponseHeader* header, std::string_view body);

  // Adds the next piece of the body.
  void Add(std::string_view piece);
  // Returns whether the hash of all pieces added equals the one in the header.
  bool Matches() const;

 private:
  struct FreeState {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };

  HopDigest();

  uint64_t expected_ = 0;
  std::unique_ptr<XXH3_state_t, FreeState> state_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_HOP_DIGEST_H_
