#include "framework/errors/verdict.h"

#include <algorithm>
#include <array>

namespace redwing {

namespace {
constexpr std::array<std::string_view, 3> kVerdictNames = {
    "not_run", "may_have_run", "ran"};
}  // namespace

std::string_view VerdictName(Verdict verdict) {
  return kVerdictNames.at(static_cast<size_t>(verdict));
}

Verdict VerdictFromName(std::string_view name) {
  const auto found =
      std::find(kVerdictNames.begin(), kVerdictNames.end(), name);
  return found == kVerdictNames.end()
             ? Verdict::kMayHaveRun
             : static_cast<Verdict>(found - kVerdictNames.begin());
}

Verdict CombinedVerdict(Verdict first, Verdict second) {
  return std::max(first, second);
}

}  // namespace redwing
