#ifndef REDWING_ROUTING_TESTS_TARGET_MODEL_H_
#define REDWING_ROUTING_TESTS_TARGET_MODEL_H_

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

namespace redwing {

// Model of a target for simulated load: slots, a queue in front of them, and
// the objects that it handled recently, whose runs take less time. Times are in
// milliseconds.
struct TargetModel {
  static constexpr int kSlots = 3;
  static constexpr size_t kMaxWarmObjects = 25;
  static constexpr double kWarmMs = 190;
  static constexpr double kColdMs = 640;

  // Time at which each slot has finished all runs assigned to it.
  std::array<double, kSlots> busy_until{};
  // End times of all runs that have not ended, including waiting ones.
  std::vector<double> ends;
  // Objects kept warm, the most recent last.
  std::deque<int> warm;

  // Returns the number of requests that run or wait.
  double Load(double now) {
    ends.erase(std::remove_if(ends.begin(), ends.end(),
                              [now](double end) { return end <= now; }),
               ends.end());
    return static_cast<double>(ends.size());
  }

  // Runs a request for an object. Returns the end time of the run; `was_warm`
  // is set to whether the object was warm.
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
    if (warm.size() > kMaxWarmObjects) {
      warm.pop_front();
    }
    return kept;
  }
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TESTS_TARGET_MODEL_H_
