#include "testing/harness/process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace redwing::testing {

namespace {
constexpr std::chrono::milliseconds kPoll{5};

// Finds a program beside the running one or in the build's bin folder, so that
// a copy of these folders runs by itself.
std::string ProgramPath(const std::string& program) {
  const std::filesystem::path folder =
      std::filesystem::read_symlink("/proc/self/exe").parent_path();
  const std::filesystem::path beside = folder / program;
  return std::filesystem::exists(beside)
             ? beside.string()
             : (folder.parent_path() / "bin" / program).string();
}
}  // namespace

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log_path) {
  const std::string path = ProgramPath(program);
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe2 failed");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int error =
      posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  output_ = pipe_ends[0];
  if (error != 0) {
    throw std::runtime_error(fmt::format("{} cannot be started", path));
  }
}

Process::~Process() {
  Kill();
  close(output_);
}

nlohmann::json Process::ReadAnnouncement() {
  std::string line;
  char c = 0;
  while (read(output_, &c, 1) == 1 && c != '\n') {
    line += c;
  }
  nlohmann::json announcement =
      nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (announcement.is_discarded()) {
    throw std::runtime_error("process ended before it listened: " + line);
  }
  return announcement;
}

void Process::Signal(int signal) const {
  if (!ended_) {
    kill(pid_, signal);
  }
}

int Process::Wait(std::chrono::milliseconds limit) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + limit;
  while (!Reap(false)) {
    if (std::chrono::steady_clock::now() >= end) {
      return -1;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return exit_code_;
}

void Process::Kill() {
  if (!ended_ && pid_ > 0) {
    kill(pid_, SIGKILL);
    Reap(true);
  }
}

bool Process::running() {
  return !Reap(false);
}

size_t Process::ResidentBytes() const {
  std::ifstream file(fmt::format("/proc/{}/statm", pid_));
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

double Process::CpuSeconds() const {
  std::ifstream file(fmt::format("/proc/{}/stat", pid_));
  std::string field;
  double ticks = 0;
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;
  for (int i = 1; i <= kSystemTime && file >> field; ++i) {
    if (i == kUserTime || i == kSystemTime) {
      ticks += std::stod(field);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

bool Process::Reap(bool block) {
  if (ended_) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_) {
    return false;
  }
  ended_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return true;
}

}  // namespace redwing::testing
