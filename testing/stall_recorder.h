#ifndef REDWING_TESTING_STALL_RECORDER_H_
#define REDWING_TESTING_STALL_RECORDER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "framework/kernel/clock.h"
#include "framework/kernel/periodic_task.h"

namespace redwing::testing {

// Returns microseconds of the boot clock, which all processes of the machine
// share.
int64_t MicrosecondsOf(TimePoint time);

// Records when the event loop of a stand-in stood still, for want of a
// processor: what it received meanwhile carries later times than it arrived at.
class StallRecorder {
 public:
  explicit StallRecorder(boost::asio::io_context& io);

  void Start();

  // Returns [begun, ended] of each stall, in microseconds of the boot clock.
  nlohmann::json ToJson() const;

 private:
  struct Stall {
    TimePoint begun;
    TimePoint ended;
  };

  void Tick();

  PeriodicTask tick_;
  TimePoint last_;
  std::vector<Stall> stalls_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_STALL_RECORDER_H_
