#ifndef REDWING_FRAMEWORK_LOG_INTERNAL_BOUNDED_SINK_H_
#define REDWING_FRAMEWORK_LOG_INTERNAL_BOUNDED_SINK_H_

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

#include "framework/log/line_limiter.h"

namespace redwing {

// Holds lines back and writes them to a file descriptor in one piece, as far
// as that does not block. For one thread.
class BoundedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit BoundedSink(int descriptor) : descriptor_(descriptor) {}

  // Lines that were left out: beyond the rate, or because nobody reads.
  uint64_t lost() const { return lost_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override;

 private:
  // Returns whether the descriptor takes a piece of PIPE_BUF bytes at once.
  bool IsWritable() const;

  int descriptor_;
  LineLimiter limiter_;
  std::string held_;
  uint64_t lost_ = 0;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_LOG_INTERNAL_BOUNDED_SINK_H_
