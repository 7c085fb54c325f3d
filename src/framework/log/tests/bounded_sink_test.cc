#include "framework/log/internal/bounded_sink.h"

#include <spdlog/logger.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "framework/log/log.h"

namespace redwing {
namespace {

// A pipe that nobody reads until Read().
class UnreadPipe {
 public:
  UnreadPipe() { REQUIRE(pipe(ends_) == 0); }
  ~UnreadPipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  std::string Read() {
    constexpr size_t kPiece = 1024 * 1024;  // bytes
    std::string text(kPiece, '\0');
    const ssize_t size = read(ends_[0], text.data(), text.size());
    text.resize(static_cast<size_t>(size));
    return text;
  }

 private:
  int ends_[2] = {-1, -1};
};

TEST_CASE(
    "a log that nobody reads does not block, and its losses are counted") {
  UnreadPipe pipe;
  const std::shared_ptr<BoundedSink> sink =
      std::make_shared<BoundedSink>(pipe.writer());
  spdlog::logger logger("a", sink);
  const std::string line(1000, 'x');
  constexpr int kLines = 1900;
  for (int i = 0; i < kLines; ++i) {
    logger.info(line);
    logger.flush();
  }
  // The pipe takes 64 kB and the sink holds 512 kB.
  CHECK(sink->lost() > 1000);
  CHECK(sink->lost() < 1900);
  CHECK(pipe.Read().find(line) != std::string::npos);
}

TEST_CASE("lines beyond the rate are left out, warnings are not") {
  UnreadPipe pipe;
  const std::shared_ptr<BoundedSink> sink =
      std::make_shared<BoundedSink>(pipe.writer());
  spdlog::logger logger("a", sink);
  constexpr int kLines = 20'000;
  for (int i = 0; i < kLines; ++i) {
    logger.info("x");
  }
  CHECK(sink->lost() > kLines / 2);
  const uint64_t lost = sink->lost();
  for (int i = 0; i < 10; ++i) {
    logger.warn("y");
  }
  CHECK(sink->lost() == lost);
}

TEST_CASE("the rate of lines holds over any time") {
  LineLimiter limiter;
  const TimePoint start(std::chrono::hours(1));
  constexpr int kSeconds = 10;
  constexpr int kTriesPerSecond = 100'000;
  int taken = 0;
  for (int i = 0; i < kSeconds * kTriesPerSecond; ++i) {
    const std::chrono::microseconds at(i * (1'000'000 / kTriesPerSecond));
    taken += limiter.TryTake(start + at) ? 1 : 0;
  }
  CHECK(taken <= LineLimiter::kBurst + kSeconds * LineLimiter::kLinesPerSecond);
  CHECK(taken > kSeconds * LineLimiter::kLinesPerSecond);
}

TEST_CASE("a quoted value stays one value on one line") {
  CHECK(Quoted("a \"b\" \\ c\nevent=forged") ==
        R"("a \"b\" \\ c event=forged")");
}

}  // namespace
}  // namespace redwing
