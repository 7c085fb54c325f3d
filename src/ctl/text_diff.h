#ifndef REDWING_CTL_TEXT_DIFF_H_
#define REDWING_CTL_TEXT_DIFF_H_

#include <string>

namespace redwing {

// Compares two texts line by line. Lines of the result begin with "- " (only
// in `before`), "+ " (only in `after`) or "  "; unchanged lines farther than
// three from a change are left out. Empty when the texts are equal.
std::string TextDiff(const std::string& before, const std::string& after);

}  // namespace redwing

#endif  // REDWING_CTL_TEXT_DIFF_H_
