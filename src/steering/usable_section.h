#ifndef REDWING_STEERING_USABLE_SECTION_H_
#define REDWING_STEERING_USABLE_SECTION_H_

#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "steering/section.h"

namespace redwing {

// A section without its invalid parts.
struct UsableSection {
  Section section;
  // Why each part was left out.
  std::vector<std::string> problems;
};

// Parses the body of one section as kept in the store. Leaves out each item of
// a list and each field of an object that is invalid by itself. Fails if the
// body is no JSON object, names no team, or has a list without a valid item.
Result<UsableSection> ParseUsableSection(const std::string& name,
                                         std::string_view text);

}  // namespace redwing

#endif  // REDWING_STEERING_USABLE_SECTION_H_
