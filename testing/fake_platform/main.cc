#include "testing/fake_platform/fake_platform.h"
#include "testing/stand_in_main.h"

int main(int argc, char** argv) {
  return redwing::testing::StandInMain<redwing::testing::FakePlatform>(
      argc, argv, "Stand-in for the platform's object API.");
}
