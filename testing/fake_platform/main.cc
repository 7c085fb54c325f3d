#include "testing/fake_platform/fake_platform.h"
#include "testing/stand_in_main.h"

int main(int argc, char** argv) {
  return redwing::RunProgram(
      "fake-platform",
      &redwing::testing::RunStandIn<redwing::testing::FakePlatform>, argc,
      argv);
}
