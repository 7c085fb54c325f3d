#ifndef REDWING_DELIVERY_INTERNAL_LINK_ESTIMATE_H_
#define REDWING_DELIVERY_INTERNAL_LINK_ESTIMATE_H_

#include <cstddef>

namespace redwing {

// Charged to a link for the header of a request or an answer: about what the
// fields of both take.
inline constexpr size_t kLinkHeaderBytes = 512;

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_LINK_ESTIMATE_H_
