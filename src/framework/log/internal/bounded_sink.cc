#include "framework/log/internal/bounded_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace redwing {

namespace {
// Held back at the most: about what the allowed rate writes in two seconds.
constexpr size_t kMaxHeldBytes = 512 * 1024;
// Written before the next flush: larger pieces save no system calls.
constexpr size_t kWriteBytes = 64 * 1024;
}  // namespace

void BoundedSink::sink_it_(const spdlog::details::log_msg& message) {
  const bool frequent = message.level < spdlog::level::warn;
  if (frequent && !limiter_.TryTake(Clock::now())) {
    ++lost_;
    return;
  }
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (held_.size() + line.size() > kMaxHeldBytes) {
    ++lost_;
    return;
  }
  held_.append(line.data(), line.size());
  if (held_.size() >= kWriteBytes) {
    flush_();
  }
}

void BoundedSink::flush_() {
  size_t written = 0;
  while (written < held_.size() && IsWritable()) {
    const size_t size = std::min<size_t>(held_.size() - written, PIPE_BUF);
    const ssize_t done = write(descriptor_, held_.data() + written, size);
    if (done < 0 && errno != EINTR) {
      // The lines stay held, and are counted as lost once there are too many.
      break;
    }
    written += static_cast<size_t>(std::max<ssize_t>(done, 0));
  }
  held_.erase(0, written);
}

bool BoundedSink::IsWritable() const {
  pollfd state{descriptor_, POLLOUT, 0};
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace redwing
