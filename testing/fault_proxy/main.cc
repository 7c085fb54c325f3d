#include "testing/fault_proxy/fault_proxy.h"
#include "testing/stand_in_main.h"

int main(int argc, char** argv) {
  return redwing::testing::StandInMain<redwing::testing::FaultProxy>(
      argc, argv, "Forwards TCP and UDP and disturbs them.");
}
