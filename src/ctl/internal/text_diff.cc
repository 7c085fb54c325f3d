#include "ctl/text_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace redwing {

namespace {

constexpr size_t kContext = 3;  // lines

struct DiffLine {
  char mark;
  std::string text;
};

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    lines.push_back(line);
  }
  return lines;
}

// Lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::vector<int>> CommonLengths(const std::vector<std::string>& a,
                                            const std::vector<std::string>& b) {
  std::vector<std::vector<int>> lengths(a.size() + 1,
                                        std::vector<int>(b.size() + 1));
  for (size_t i = a.size(); i-- > 0;) {
    for (size_t j = b.size(); j-- > 0;) {
      lengths[i][j] = a[i] == b[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

std::vector<DiffLine> Compare(const std::vector<std::string>& a,
                              const std::vector<std::string>& b) {
  const std::vector<std::vector<int>> lengths = CommonLengths(a, b);
  std::vector<DiffLine> diff;
  size_t i = 0;
  size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      diff.push_back({' ', a[i]});
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
      diff.push_back({'-', a[i++]});
    } else {
      diff.push_back({'+', b[j++]});
    }
  }
  return diff;
}

bool NearChange(const std::vector<DiffLine>& diff, size_t at) {
  const size_t begin = at < kContext ? 0 : at - kContext;
  const size_t end = std::min(diff.size(), at + kContext + 1);
  return std::any_of(diff.begin() + static_cast<int64_t>(begin),
                     diff.begin() + static_cast<int64_t>(end),
                     [](const DiffLine& line) { return line.mark != ' '; });
}

}  // namespace

std::string TextDiff(const std::string& before, const std::string& after) {
  const std::vector<DiffLine> diff = Compare(Lines(before), Lines(after));
  std::string text;
  for (size_t i = 0; i < diff.size(); ++i) {
    if (NearChange(diff, i)) {
      text += diff[i].mark;
      text += " " + diff[i].text + "\n";
    }
  }
  return text;
}

}  // namespace redwing
