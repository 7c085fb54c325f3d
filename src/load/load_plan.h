#ifndef REDWING_LOAD_LOAD_PLAN_H_
#define REDWING_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/errors/result.h"
#include "framework/kernel/clock.h"

namespace redwing {

// One kind of request of a group of callers.
struct LoadRequest {
  std::string service;
  std::string method;
  std::string path;
  double weight = 1;
  size_t body_bytes = 0;
  size_t response_bytes = 0;
  // Sends an idempotency key and repeats with it when the outcome is unknown.
  bool keyed = false;
  // Runs only once, so that a second run of its token is a fault.
  bool once = false;
};

// Callers of one workspace in one region.
struct CallerGroup {
  std::string name;
  std::string key;
  std::string region;
  double rate = 0;  // requests a second
  // Number of callers, each of which caches look-up answers of its own.
  int callers = 1;
  // Part of the run in which the group sends.
  Milliseconds from{0};
  Milliseconds until{0};
  std::vector<LoadRequest> requests;
};

// What redwing-load does, read from its settings file.
struct LoadPlan {
  uint64_t seed = 1;
  Milliseconds duration{0};
  // Addresses to ask for look-ups; direct sends there without look-ups.
  std::vector<std::string> entries;
  bool direct = false;
  Milliseconds timeout{0};
  int max_tries = 1;
  // Control address of target stand-ins whose runs are joined to the answers.
  std::string runs_from;
  std::vector<CallerGroup> groups;

  static Result<LoadPlan> Load(const std::string& path);
};

}  // namespace redwing

#endif  // REDWING_LOAD_LOAD_PLAN_H_
