#ifndef REDWING_LOAD_LOAD_REPORT_H_
#define REDWING_LOAD_LOAD_REPORT_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "framework/errors/verdict.h"

namespace redwing {

// A try of a request that was not answered.
struct FailedTry {
  // Id that the try was sent with.
  std::string request_id;
  std::string error;
  Verdict verdict = Verdict::kNotRun;
};

// How a request ended for its caller.
struct RequestEnd {
  std::string group;
  std::string token;
  bool ok = false;
  // Name of the error, "cut" for an answer that broke off, "crossed" for one
  // that belonged to another request.
  std::string error;
  Verdict verdict = Verdict::kNotRun;
  bool once = false;
  // First and last try that was not answered; the same if there was one.
  std::optional<FailedTry> first_failed;
  std::optional<FailedTry> last_failed;
  // Scheduled start and end, milliseconds since the run began.
  double begun_ms = 0;
  double ended_ms = 0;
};

// Counts and latencies of one run, by group and in all.
class LoadReport {
 public:
  void Add(RequestEnd end) { ends_.push_back(std::move(end)); }

  // Joins what targets ran: [[at_us, target, token, workspace, ...], ...].
  void Join(const nlohmann::json& runs);

  nlohmann::json ToJson() const;
  std::string Table() const;

 private:
  // Upper bound on the requests of each list of examples.
  static constexpr size_t kMaxExamples = 10;

  nlohmann::json Summary(const std::string& group) const;
  // First requests that failed, with their tries.
  nlohmann::json FailedExamples() const;

  std::vector<RequestEnd> ends_;
  bool joined_ = false;
  nlohmann::json join_;
};

}  // namespace redwing

#endif  // REDWING_LOAD_LOAD_REPORT_H_
