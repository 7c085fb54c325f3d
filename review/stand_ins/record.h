#ifndef REDWING_REVIEW_STAND_INS_RECORD_H_
#define REDWING_REVIEW_STAND_INS_RECORD_H_

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>

namespace review {

// Seconds since the first call.
inline double Now() {
  static const std::chrono::steady_clock::time_point begun =
      std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
      .count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// What was sent, answered and run, a line an event.
class Record {
 public:
  static void Open(const std::string& path) {
    File() = std::fopen(path.c_str(), "w");
  }
  template <typename... Args>
  static void Line(fmt::format_string<Args...> format, Args&&... args) {
    Write(fmt::format(format, std::forward<Args>(args)...), false);
  }
  // Goes to standard output as well.
  template <typename... Args>
  static void Say(fmt::format_string<Args...> format, Args&&... args) {
    Write(fmt::format(format, std::forward<Args>(args)...), true);
  }

 private:
  static std::FILE*& File() {
    static std::FILE* file = nullptr;
    return file;
  }
  static void Write(const std::string& text, bool aloud) {
    static std::mutex mutex;
    const std::lock_guard<std::mutex> lock(mutex);
    const std::string line = fmt::format("{:8.3f} {}\n", Now(), text);
    if (File() != nullptr) {
      std::fputs(line.c_str(), File());
      std::fflush(File());
    }
    if (aloud) {
      std::fputs(line.c_str(), stdout);
      std::fflush(stdout);
    }
  }
};

}  // namespace review

#endif  // REDWING_REVIEW_STAND_INS_RECORD_H_
