#ifndef REDWING_ROUTING_ROOM_HISTORY_H_
#define REDWING_ROUTING_ROOM_HISTORY_H_

#include <algorithm>
#include <map>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Notices that a region has lost slots of a service a short time ago: traffic
// has to move then, however fast.
class RoomHistory {
 public:
  // Returns whether a clear part of the slots that there were lately is gone.
  bool HasFallen(const std::string& service, int slots, TimePoint now) {
    Room& room = rooms_[service];
    if (slots >= room.most || now - room.seen > kMemory) {
      room = {slots, now};
    }
    return slots < kClearPart * room.most;
  }

 private:
  // As long as a queue that formed meanwhile takes to go.
  static constexpr Milliseconds kMemory{10'000};
  // Single targets that come and go are no loss of room.
  static constexpr double kClearPart = 0.9;

  struct Room {
    int most = 0;
    // When there were that many.
    TimePoint seen;
  };

  std::map<std::string, Room> rooms_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_ROOM_HISTORY_H_
