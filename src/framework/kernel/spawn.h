#ifndef REDWING_FRAMEWORK_KERNEL_SPAWN_H_
#define REDWING_FRAMEWORK_KERNEL_SPAWN_H_

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <string_view>
#include <utility>

#include "framework/kernel/guard.h"
#include "framework/kernel/sleep.h"

namespace redwing {

// Pause before a service coroutine that an exception has ended runs again.
inline constexpr Milliseconds kServiceRestartDelay{500};

// Starts a coroutine on the event loop. An exception that it does not catch is
// reported and ends it alone. boost::asio::spawn() of an io_context would put a
// strand around it, which a loop on one thread does not need.
template <typename Function>
void Spawn(boost::asio::io_context& io, Function&& function) {
  void (*const nothing)() = []() {};
  boost::asio::spawn(
      boost::asio::bind_executor(
          boost::asio::any_io_executor(io.get_executor()), nothing),
      [function = std::forward<Function>(function)](
          const boost::asio::yield_context& yield) mutable {
        RunGuarded("coroutine", [&]() { function(yield); });
      });
}

// Starts a coroutine that serves until the process stops. After an exception
// that it does not catch, it runs again. `name` must have static storage.
template <typename Function>
void SpawnService(boost::asio::io_context& io,
                  std::string_view name,
                  Function&& function) {
  Spawn(io, [&io, name, function = std::forward<Function>(function)](
                const boost::asio::yield_context& yield) mutable {
    while (!RunGuarded(name, [&]() { function(yield); })) {
      SleepFor(io, kServiceRestartDelay, yield);
    }
  });
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_SPAWN_H_
