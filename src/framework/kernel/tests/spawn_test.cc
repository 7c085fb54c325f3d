#include "framework/kernel/spawn.h"

#include <catch2/catch.hpp>
#include <stdexcept>

#include "framework/kernel/kernel.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {
namespace {

using boost::asio::yield_context;

// Guards against one request, entry or message ending the process.
TEST_CASE("an uncaught exception ends its coroutine alone") {
  boost::asio::io_context io;
  const uint64_t before = UncaughtCount();
  bool other_ended = false;
  Spawn(io, [&](const yield_context& yield) {
    SleepFor(io, Milliseconds(1), yield);
    throw std::length_error("field value too large");
  });
  Spawn(io, [&](const yield_context& yield) {
    SleepFor(io, Milliseconds(20), yield);
    other_ended = true;
  });
  io.run();
  CHECK(other_ended);
  CHECK(UncaughtCount() == before + 1);
}

TEST_CASE("a service coroutine runs again after an uncaught exception") {
  boost::asio::io_context io;
  int runs = 0;
  SpawnService(io, "test", [&](const yield_context& yield) {
    SleepFor(io, Milliseconds(1), yield);
    if (++runs < 3) {
      throw std::out_of_range("number");
    }
  });
  io.run();
  CHECK(runs == 3);
}

TEST_CASE("a periodic task goes on after an uncaught exception") {
  boost::asio::io_context io;
  int calls = 0;
  PeriodicTask task(io, Milliseconds(1), [&]() {
    if (++calls == 3) {
      task.Stop();
    }
    throw std::runtime_error("call");
  });
  task.Start();
  io.run();
  CHECK(calls == 3);
}

TEST_CASE("the event loop goes on after an exception of a handler") {
  Kernel kernel;
  bool other_called = false;
  boost::asio::post(kernel.io(), []() { throw std::runtime_error("handler"); });
  boost::asio::post(kernel.io(), [&]() {
    other_called = true;
    kernel.Stop();
  });
  kernel.Run();
  CHECK(other_called);
}

}  // namespace
}  // namespace redwing
