#ifndef REDWING_FRAMEWORK_HTTP_LINK_TIMEOUTS_H_
#define REDWING_FRAMEWORK_HTTP_LINK_TIMEOUTS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Times after which the link to a peer counts as dead, whatever the deadline of
// a request.
struct LinkTimeouts {
  // For opening a connection; the default is longer than the first
  // retransmission of a lost packet.
  Milliseconds connect{1'500};
  // For data, or a keep-alive probe sent after a second without traffic, that
  // the peer does not acknowledge; 0 leaves it to the system.
  Milliseconds acknowledgement{0};
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_LINK_TIMEOUTS_H_
