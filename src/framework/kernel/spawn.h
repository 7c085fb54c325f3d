#ifndef REDWING_FRAMEWORK_KERNEL_SPAWN_H_
#define REDWING_FRAMEWORK_KERNEL_SPAWN_H_

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <utility>

namespace redwing {

// Starts a coroutine on the event loop. boost::asio::spawn() of an io_context
// would put a strand around it, which a loop on one thread does not need.
template <typename Function>
void Spawn(boost::asio::io_context& io, Function&& function) {
  void (*const nothing)() = []() {};
  boost::asio::spawn(
      boost::asio::bind_executor(
          boost::asio::any_io_executor(io.get_executor()), nothing),
      std::forward<Function>(function));
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_SPAWN_H_
