#include "framework/errors/verdict.h"

#include <array>

namespace redwing {

namespace {
constexpr std::array<std::string_view, 3> kVerdictNames = {
    "not_run", "may_have_run", "ran"};
}  // namespace

std::string_view VerdictName(Verdict verdict) {
  return kVerdictNames.at(static_cast<size_t>(verdict));
}

}  // namespace redwing
