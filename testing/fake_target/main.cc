#include "testing/fake_target/fake_target.h"
#include "testing/stand_in_main.h"

int main(int argc, char** argv) {
  return redwing::RunProgram(
      "fake-target",
      &redwing::testing::RunStandIn<redwing::testing::FakeTargets>, argc, argv);
}
