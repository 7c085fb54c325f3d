#ifndef REDWING_FRAMEWORK_ERRORS_VERDICT_H_
#define REDWING_FRAMEWORK_ERRORS_VERDICT_H_

#include <string_view>

namespace redwing {

// Says whether a request may have run at a target. Only a kNotRun attempt, or
// an attempt of an idempotent request, may be sent again. In the order in which
// they outweigh each other.
enum class Verdict {
  kNotRun,
  kMayHaveRun,
  kRan,
};

// Returns the name used in JSON bodies and metrics: "not_run", ...
std::string_view VerdictName(Verdict verdict);

// Returns the verdict with the given name, kMayHaveRun for an unknown name.
Verdict VerdictFromName(std::string_view name);

// Returns the verdict on a request of which two attempts have these verdicts.
Verdict CombinedVerdict(Verdict first, Verdict second);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_ERRORS_VERDICT_H_
