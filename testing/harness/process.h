#ifndef REDWING_TESTING_HARNESS_PROCESS_H_
#define REDWING_TESTING_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace redwing::testing {

// A child process of a test. Ends with the object: SIGKILL if it still runs.
class Process {
 public:
  // Starts a program of this build by name, such as "redwing-entry". Its
  // standard error goes to `log_path`.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Reads the line of JSON that the program prints when it listens. Throws
  // std::runtime_error when it ends first.
  nlohmann::json ReadAnnouncement();

  void Signal(int signal) const;
  // Waits for the end; returns the exit code, -1 when a signal ended it or the
  // time is over.
  int Wait(std::chrono::milliseconds limit);
  // Sends SIGKILL and waits.
  void Kill();
  bool running();

  // Resident memory in bytes and processor time in seconds, from /proc.
  size_t ResidentBytes() const;
  double CpuSeconds() const;
  pid_t pid() const { return pid_; }

 private:
  bool Reap(bool block);

  pid_t pid_ = -1;
  int output_ = -1;
  bool ended_ = false;
  int exit_code_ = -1;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_HARNESS_PROCESS_H_
