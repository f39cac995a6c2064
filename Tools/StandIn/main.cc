// Stand-ins for the outside of the system: one target, or a crowd of callers
// behind a fabric that sprays every packet at random over the instances. They
// speak the documented protocols and hold no decision logic of the system.
#include <gflags/gflags.h>

#include <iostream>

#include "callers.h"
#include "load.h"
#include "target.h"

DEFINE_string(mode, "", "target, callers or load");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_mode == "target") return standin::RunTarget();
  if (FLAGS_mode == "callers") return standin::RunCallers();
  if (FLAGS_mode == "load") return standin::RunLoad();
  std::cerr << "--mode must be target, callers or load\n";
  return 2;
}
