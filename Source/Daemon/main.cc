// lavendertackd: runs one instance from its settings file.
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "Config/machine_check.h"
#include "Config/settings.h"
#include "Runtime/instance_loop.h"

DEFINE_string(settings, "", "Path of the instance's settings file (JSON).");

namespace lavendertack {
namespace {

constexpr int kExitStopped = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotServe = 3;
constexpr int kExitAddressTaken = 4;

// Largest log file before the next one is begun, in MB.
constexpr int kMaxLogFileMb = 100;

std::atomic<int> g_stop{0};

void HandleSignal(int) { ++g_stop; }

int Fail(int code, const std::vector<settings_error>& errors) {
  for (const auto& [path, reason] : errors) {
    std::cerr << "settings: " << path << " " << reason << "\n";
  }
  return code;
}

// Sends the log to the settings' folder, or to the standard error stream.
bool StartLog(const settings& checked, const char* program) {
  if (checked.log_folder.empty()) {
    FLAGS_logtostderr = true;
  } else {
    std::error_code failed;
    std::filesystem::create_directories(checked.log_folder, failed);
    if (failed) {
      std::cerr << "settings: log_folder " << failed.message() << "\n";
      return false;
    }
    FLAGS_log_dir = checked.log_folder;
    FLAGS_max_log_size = kMaxLogFileMb;
    FLAGS_stop_logging_if_full_disk = true;
  }
  google::InitGoogleLogging(program);
  return true;
}

int Run(const settings& checked, const char* program) {
  if (auto errors = CheckMachine(checked); !errors.empty()) {
    return Fail(kExitBadSettings, errors);
  }
  if (auto errors = FindTakenAddresses(checked); !errors.empty()) {
    return Fail(kExitAddressTaken, errors);
  }
  if (!StartLog(checked, program)) return kExitBadSettings;
  for (const auto& [path, reason] : SettingsWarnings(checked)) {
    LOG(WARNING) << "settings: " << path << " " << reason;
  }
  std::signal(SIGTERM, HandleSignal);
  std::signal(SIGINT, HandleSignal);
  auto ended = RunInstance(checked, g_stop);
  if (auto* error = std::get_if<instance_error>(&ended)) {
    std::cerr << "instance: " << error->what << "\n";
    return kExitCannotServe;
  }
  return kExitStopped;
}

}  // namespace
}  // namespace lavendertack

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "lavendertackd --settings=FILE\n"
      "SIGTERM stops it gracefully, a second one at once.\n"
      "Exit codes: 0 stopped; 2 bad settings; 3 can't serve; 4 an address is "
      "taken");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::ifstream in(FLAGS_settings);
  if (!in) {
    std::cerr << "settings: can't read " << FLAGS_settings << "\n";
    return lavendertack::kExitBadSettings;
  }
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  auto parsed = lavendertack::ParseSettings(text);
  if (auto* errors =
          std::get_if<std::vector<lavendertack::settings_error>>(&parsed)) {
    return lavendertack::Fail(lavendertack::kExitBadSettings, *errors);
  }
  return lavendertack::Run(std::get<lavendertack::settings>(parsed), argv[0]);
}
