#ifndef REDWING_FRAMEWORK_WIRE_REPLAY_WINDOW_H_
#define REDWING_FRAMEWORK_WIRE_REPLAY_WINDOW_H_

#include <bitset>
#include <cstdint>

namespace redwing {

// Accepts each (incarnation, sequence) of one sender once. Messages of an
// older incarnation, or more than kSize behind the newest, are refused.
class ReplayWindow {
 public:
  static constexpr uint64_t kSize = 1024;

  bool Accept(uint64_t incarnation, uint64_t sequence);

  uint64_t incarnation() const { return incarnation_; }

 private:
  uint64_t incarnation_ = 0;
  uint64_t newest_ = 0;
  std::bitset<kSize> seen_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_WIRE_REPLAY_WINDOW_H_
