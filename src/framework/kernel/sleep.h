#ifndef REDWING_FRAMEWORK_KERNEL_SLEEP_H_
#define REDWING_FRAMEWORK_KERNEL_SLEEP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "framework/kernel/clock.h"
#include "framework/kernel/timer.h"

namespace redwing {

// Suspends the running coroutine.
inline void SleepFor(boost::asio::io_context& io,
                     Clock::duration duration,
                     const boost::asio::yield_context& yield) {
  Timer timer(io, duration);
  boost::system::error_code ignored;
  timer.async_wait(yield[ignored]);
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_SLEEP_H_
