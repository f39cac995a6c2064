// lavendertackd: runs one instance from its settings file.
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "Config/settings.h"
#include "Runtime/instance_loop.h"

DEFINE_string(settings, "", "Path of the instance's settings file (JSON).");

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotServe = 3;

std::atomic<int> g_stop{0};

void HandleSignal(int) { ++g_stop; }

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("lavendertackd --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  std::ifstream in(FLAGS_settings);
  if (!in) {
    std::cerr << "settings: can't read " << FLAGS_settings << "\n";
    return kExitBadSettings;
  }
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  auto parsed = lavendertack::ParseSettings(text);
  if (auto* errors =
          std::get_if<std::vector<lavendertack::settings_error>>(&parsed)) {
    for (const auto& error : *errors) {
      std::cerr << "settings: " << error.path << " " << error.reason << "\n";
    }
    return kExitBadSettings;
  }
  std::signal(SIGTERM, HandleSignal);
  std::signal(SIGINT, HandleSignal);
  auto ended = lavendertack::RunInstance(
      std::get<lavendertack::settings>(parsed), g_stop);
  if (auto* error = std::get_if<lavendertack::instance_error>(&ended)) {
    std::cerr << "instance: " << error->what << "\n";
    return kExitCannotServe;
  }
  return 0;
}
