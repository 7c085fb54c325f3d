#include "testing/stall_recorder.h"

namespace redwing::testing {

namespace {
constexpr Milliseconds kTickInterval{1};
// A turn of the event loop that takes longer counts as a stall. Bursts leave
// room for shorter ones (BudgetOptions::arrival_spread).
constexpr Milliseconds kLongestTurn{20};
}  // namespace

int64_t MicrosecondsOf(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             time.time_since_epoch())
      .count();
}

StallRecorder::StallRecorder(boost::asio::io_context& io)
    : tick_(io, kTickInterval, [this]() { Tick(); }), last_(Clock::now()) {}

void StallRecorder::Start() {
  last_ = Clock::now();
  tick_.Start();
}

nlohmann::json StallRecorder::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const Stall& stall : stalls_) {
    list.push_back({MicrosecondsOf(stall.begun), MicrosecondsOf(stall.ended)});
  }
  return list;
}

void StallRecorder::Tick() {
  const TimePoint now = Clock::now();
  if (now - last_ > kLongestTurn) {
    stalls_.push_back({last_, now});
  }
  last_ = now;
}

}  // namespace redwing::testing
