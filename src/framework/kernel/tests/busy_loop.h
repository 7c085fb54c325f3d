#ifndef REDWING_FRAMEWORK_KERNEL_TESTS_BUSY_LOOP_H_
#define REDWING_FRAMEWORK_KERNEL_TESTS_BUSY_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>

namespace redwing {

// Runs an event loop for some turns, in each of which it has many other tasks.
inline void RunBusyTurns(boost::asio::io_context& io, int turns) {
  constexpr int kTasks = 200;
  int done = 0;
  int posted = kTasks;
  const std::function<void()> task = [&]() {
    ++done;
    if (posted < kTasks * turns) {
      ++posted;
      boost::asio::post(io, task);
    }
  };
  for (int i = 0; i < kTasks; ++i) {
    boost::asio::post(io, task);
  }
  while (done < kTasks * turns) {
    io.run_one();
  }
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_TESTS_BUSY_LOOP_H_
