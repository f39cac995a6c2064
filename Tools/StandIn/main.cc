// Stand-ins for the system's callers and targets in tests: a target, callers
// that send each packet to a random instance, or a load generator. They
// implement only the documented protocols and share no decision logic with the
// system.
#include <gflags/gflags.h>

#include <iostream>

#include "callers.h"
#include "load.h"
#include "target.h"

DEFINE_string(mode, "", "One of target, callers or load.");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_mode == "target") return standin::RunTarget();
  if (FLAGS_mode == "callers") return standin::RunCallers();
  if (FLAGS_mode == "load") return standin::RunLoad();
  std::cerr << "--mode must be target, callers or load\n";
  return 2;
}
