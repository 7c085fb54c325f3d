#include "membership/member.h"

#include <array>

namespace redwing {

namespace {
constexpr std::array<std::string_view, 4> kMemberStateNames = {
    "unknown", "alive", "suspect", "leaving"};
}  // namespace

std::string_view MemberStateName(MemberState state) {
  return kMemberStateNames.at(static_cast<size_t>(state));
}

}  // namespace redwing
