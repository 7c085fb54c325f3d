#include "testing/fault_proxy/fault_proxy.h"
#include "testing/stand_in_main.h"

int main(int argc, char** argv) {
  return redwing::RunProgram(
      "fault-proxy",
      &redwing::testing::RunStandIn<redwing::testing::FaultProxy>, argc, argv);
}
