// Stand-ins for the peers of the system in tests: a target, or callers whose
// packets a network distributes at random over the instances. They implement
// the documented protocols only and share no decision logic with the system.
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
