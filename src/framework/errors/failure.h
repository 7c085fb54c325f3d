#ifndef REDWING_FRAMEWORK_ERRORS_FAILURE_H_
#define REDWING_FRAMEWORK_ERRORS_FAILURE_H_

#include <chrono>
#include <string>
#include <system_error>

#include "framework/errors/errc.h"
#include "framework/errors/verdict.h"

namespace redwing {

// A failed operation: what went wrong, whether the request may have run, and
// when it is worth trying again.
struct Failure {
  Errc errc = Errc::kInternal;
  Verdict verdict = Verdict::kMayHaveRun;
  std::string detail;
  // Time to wait before a further attempt; zero when there is no advice.
  std::chrono::milliseconds retry_after{0};

  std::error_code code() const { return make_error_code(errc); }
};

// Builds a failure of a request that did not reach any target.
inline Failure NotRun(Errc errc,
                      std::string detail,
                      std::chrono::milliseconds retry_after = {}) {
  return {errc, Verdict::kNotRun, std::move(detail), retry_after};
}

// Builds a failure of a request that a target may have executed.
inline Failure MayHaveRun(Errc errc, std::string detail) {
  return {errc, Verdict::kMayHaveRun, std::move(detail), {}};
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_ERRORS_FAILURE_H_
