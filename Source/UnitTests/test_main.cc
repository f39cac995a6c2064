// Entry point of all test programs: Catch2 with the options of random_run.h.
#define CATCH_CONFIG_RUNNER
#include <glog/logging.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "UnitTests/Support/random_run.h"

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  auto& options = lavendertack::testing::RandomRunOptions();
  Catch::Session session;
  session.cli(session.cli() |
              Catch::clara::Opt(options.first_seed, "number")["--seed"](
                  "first seed of randomized tests") |
              Catch::clara::Opt(options.runs, "number")["--runs"](
                  "number of seeds for each randomized test"));
  if (const int error = session.applyCommandLine(argc, argv); error != 0) {
    return error;
  }
  // RapidCheck reads its seed from this variable. A value that is already set
  // takes precedence.
  const std::string seed = "seed=" + std::to_string(options.first_seed);
  setenv("RC_PARAMS", seed.c_str(), /*overwrite=*/0);
  return session.run();
}
