#ifndef REDWING_FRAMEWORK_KERNEL_TIMER_H_
#define REDWING_FRAMEWORK_KERNEL_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>

#include "framework/kernel/clock.h"

namespace redwing {

// A timer of the event loop on the system's own clock.
using Timer = boost::asio::basic_waitable_timer<Clock>;

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_TIMER_H_
