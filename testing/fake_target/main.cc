#include "testing/fake_target/fake_target.h"
#include "testing/stand_in_main.h"

int main(int argc, char** argv) {
  return redwing::testing::StandInMain<redwing::testing::FakeTargets>(
      argc, argv, "Stand-in for targets.");
}
