#ifndef REDWING_ROUTING_TESTS_TARGET_MODEL_H_
#define REDWING_ROUTING_TESTS_TARGET_MODEL_H_

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

namespace redwing {

// A target for playing loads: slots, a queue before them, and the objects that
// it handled lately, runs for which take less time. Times in milliseconds.
struct TargetModel {
  static constexpr int kSlots = 3;
  static constexpr size_t kKeptWarm = 25;
  static constexpr double kWarmMs = 190;
  static constexpr double kColdMs = 640;

  // When each slot is free of all that it was promised to.
  std::array<double, kSlots> busy_until{};
  // Ends of all runs that have not ended, those that wait included.
  std::vector<double> ends;
  // Objects it keeps, the latest last.
  std::deque<int> warm;

  // Requests that run or wait.
  double Work(double now) {
    ends.erase(std::remove_if(ends.begin(), ends.end(),
                              [now](double end) { return end <= now; }),
               ends.end());
    return static_cast<double>(ends.size());
  }

  // Takes a request for an object. Returns when its run ends; `was_warm` tells
  // whether the object was kept.
  double Run(int object, double now, bool* was_warm) {
    *was_warm = Handle(object);
    double& slot = *std::min_element(busy_until.begin(), busy_until.end());
    slot = std::max(slot, now) + (*was_warm ? kWarmMs : kColdMs);
    ends.push_back(slot);
    return slot;
  }

 private:
  bool Handle(int object) {
    const auto known = std::find(warm.begin(), warm.end(), object);
    const bool kept = known != warm.end();
    if (kept) {
      warm.erase(known);
    }
    warm.push_back(object);
    if (warm.size() > kKeptWarm) {
      warm.pop_front();
    }
    return kept;
  }
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TESTS_TARGET_MODEL_H_
