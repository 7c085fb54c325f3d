#include "ctl/text_diff.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("a diff shows what changed and little around it") {
  CHECK(TextDiff("a\nb\n", "a\nb\n").empty());
  CHECK(
      TextDiff("1\n2\n3\n4\n5\n6\n7\n8\n9\n", "1\n2\n3\n4\nx\n6\n7\n8\n9\n") ==
      "  2\n  3\n  4\n- 5\n+ x\n  6\n  7\n  8\n");
  CHECK(TextDiff("", "a\n") == "+ a\n");
}

}  // namespace
}  // namespace redwing
