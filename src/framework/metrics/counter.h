#ifndef REDWING_FRAMEWORK_METRICS_COUNTER_H_
#define REDWING_FRAMEWORK_METRICS_COUNTER_H_

#include <cstdint>

namespace redwing {

// A metric value of one process. Counters only grow; gauges are Set().
// Written and read on the event loop's thread only.
class Counter {
 public:
  void Add(uint64_t amount = 1) { value_ += static_cast<double>(amount); }
  void Set(double value) { value_ = value; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_METRICS_COUNTER_H_
