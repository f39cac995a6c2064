// lavendertackd: runs one instance from its settings file.
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <google/protobuf/stubs/logging.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "Config/machine_check.h"
#include "Config/settings.h"
#include "Runtime/control_loop.h"
#include "Runtime/entry_loop.h"
#include "Runtime/instance_loop.h"
#include "platform/adapter.h"

DEFINE_string(settings, "", "Path of the instance's settings file (JSON).");
DEFINE_bool(fleet, false,
            "Runs an entry or control instance of a fleet, by the platform's "
            "settings file that the environment names.");

namespace lavendertack {
namespace {

constexpr int kExitStopped = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotServe = 3;
constexpr int kExitAddressTaken = 4;

// Largest log file before the next one is begun, in MB.
constexpr int kMaxLogFileMb = 100;

std::atomic<int> g_stop{0};

process_signals g_fleet_signals;

void HandleSignal(int) { ++g_stop; }
void HandleFleetStop(int) { ++g_fleet_signals.stop; }
void HandleFleetReload(int) { g_fleet_signals.reload = true; }

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

// A process of a fleet: its role stands in the settings.
int RunFleet(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  google::protobuf::SetLogHandler(nullptr);
  const char* path = std::getenv(platform::kSettingsVariable);
  if (path == nullptr) {
    std::cerr << "settings: " << platform::kSettingsVariable << " isn't set\n";
    return kExitBadSettings;
  }
  const fleet_adapter adapter = platform::MakeAdapter();
  settings_file file(path, &adapter);
  auto parsed = file.Read();
  if (const auto* errors = std::get_if<std::vector<json_error>>(&parsed)) {
    for (const json_error& error : *errors) {
      std::cerr << "settings: " << error.path << " " << error.reason << "\n";
    }
    return kExitBadSettings;
  }
  const auto& settings = std::get<fleet_settings>(parsed);
  std::signal(SIGTERM, HandleFleetStop);
  std::signal(SIGINT, HandleFleetStop);
  std::signal(SIGHUP, HandleFleetReload);
  std::signal(SIGPIPE, SIG_IGN);
  const bool is_control =
      std::holds_alternative<control_addresses>(settings.role);
  const auto run = is_control ? RunControl : RunEntry;
  const auto ended = run(settings, adapter, &file, &g_fleet_signals);
  if (const auto* error = std::get_if<fleet_error>(&ended)) {
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
  if (FLAGS_fleet) return lavendertack::RunFleet(argv[0]);
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
