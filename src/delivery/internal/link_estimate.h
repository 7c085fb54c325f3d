#ifndef REDWING_DELIVERY_INTERNAL_LINK_ESTIMATE_H_
#define REDWING_DELIVERY_INTERNAL_LINK_ESTIMATE_H_

#include <cstddef>

namespace redwing {

// Bytes charged to a link for the header of a request or a response: about the
// size of the fields of both.
inline constexpr size_t kLinkHeaderBytes = 512;

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_LINK_ESTIMATE_H_
