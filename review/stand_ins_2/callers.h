#ifndef REDWING_REVIEW_STAND_INS_2_CALLERS_H_
#define REDWING_REVIEW_STAND_INS_2_CALLERS_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "framework/kernel/clock.h"
#include "review/stand_ins_2/fleet.h"

namespace redwing::review {

// One request of a caller.
struct Sent {
  std::string id;
  int instance = 0;
  std::string method;
  std::string path;
  std::string key;
  TimePoint at;
  TimePoint ended_at;
  // 0: the connection ended without an answer.
  unsigned status = 0;
  std::string text;
};

// What a caller sends next.
struct Ask {
  int instance = 0;
  std::string method = "GET";
  std::string path;
  std::string key;
};

// Callers that each send one request after the other, with a pause between.
class Callers {
 public:
  // `ask` is called on the thread of each caller with its number and the
  // number of the request.
  Callers(Fleet& fleet,
          int callers,
          Milliseconds pause,
          std::function<Ask(int caller, int request)> ask);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Ends all callers; returns their requests in the order of sending.
  std::vector<Sent> Stop();

 private:
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<Sent> sent_;
  std::vector<std::thread> threads_;
};

// Whether the case runs with its disruption.
bool HasTrouble();

// Writes what was sent, answered and run to record.txt, at `path`, ordered by
// time. `notes`: what else happened, with its time.
void WriteRecord(const std::string& path,
                 Fleet& fleet,
                 const std::vector<Sent>& sent,
                 const std::vector<std::pair<TimePoint, std::string>>& notes);

// The case's exit codes.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace redwing::review

#endif  // REDWING_REVIEW_STAND_INS_2_CALLERS_H_
