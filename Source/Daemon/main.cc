// lavendertackd: runs one instance, configured by a settings file.
//
// Without --fleet it runs an instance for callers and targets, with the file
// that --settings names. With --fleet it runs an entry or control instance of a
// fleet, with the platform's settings file.
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

#include "Config/host_check.h"
#include "Config/settings.h"
#include "Runtime/control_loop.h"
#include "Runtime/entry_loop.h"
#include "Runtime/instance_loop.h"
#include "platform/adapter.h"

DEFINE_string(settings, "", "Path of the instance's settings file (JSON).");
DEFINE_bool(fleet, false,
            "Run an entry or control instance of a fleet. The path of its "
            "settings file is read from the environment.");

namespace lavendertack {
namespace {

// Exit codes; the usage message in main() lists them.
constexpr int kExitStopped = 0;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitInstanceFailed = 3;
constexpr int kExitAddressInUse = 4;

// Size of a log file, in MB, at which the next one is started.
constexpr int kMaxLogFileMb = 100;

// Number of stop signals received. The first one stops the instance gracefully,
// the second one immediately.
std::atomic<int> g_stop{0};

// Stop and reload signals received by a process of a fleet.
process_signals g_fleet_signals;

void HandleStop(int) { ++g_stop; }
void HandleFleetStop(int) { ++g_fleet_signals.stop; }
void HandleFleetReload(int) { g_fleet_signals.reload = true; }

// Prints the errors and returns `code`.
int PrintErrors(int code, const std::vector<settings_error>& errors) {
  for (const auto& [path, reason] : errors) {
    std::cerr << "settings: " << path << " " << reason << "\n";
  }
  return code;
}

// Starts logging to the configured folder, or to the standard error stream if
// no folder is set. Prints an error and returns false if the folder can't be
// created.
bool StartLog(const settings& valid_settings, const char* program) {
  if (valid_settings.log_folder.empty()) {
    FLAGS_logtostderr = true;
  } else {
    std::error_code error;
    std::filesystem::create_directories(valid_settings.log_folder, error);
    if (error) {
      std::cerr << "settings: log_folder " << error.message() << "\n";
      return false;
    }
    FLAGS_log_dir = valid_settings.log_folder;
    FLAGS_max_log_size = kMaxLogFileMb;
    FLAGS_stop_logging_if_full_disk = true;
  }
  google::InitGoogleLogging(program);
  return true;
}

// Runs an instance until it is stopped; returns the exit code.
int RunFromSettings(const settings& valid_settings, const char* program) {
  if (auto errors = CheckSettingsOnHost(valid_settings); !errors.empty()) {
    return PrintErrors(kExitInvalidSettings, errors);
  }
  if (auto errors = FindAddressesInUse(valid_settings); !errors.empty()) {
    return PrintErrors(kExitAddressInUse, errors);
  }
  if (!StartLog(valid_settings, program)) return kExitInvalidSettings;
  for (const auto& [path, reason] : SettingsWarnings(valid_settings)) {
    LOG(WARNING) << "settings: " << path << " " << reason;
  }
  std::signal(SIGTERM, HandleStop);
  std::signal(SIGINT, HandleStop);
  auto result = RunInstance(valid_settings, g_stop);
  if (auto* error = std::get_if<instance_error>(&result)) {
    std::cerr << "instance: " << error->what << "\n";
    return kExitInstanceFailed;
  }
  return kExitStopped;
}

// Runs an entry or control instance, depending on the role in its settings;
// returns the exit code.
int RunFleet(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  google::protobuf::SetLogHandler(nullptr);
  const char* path = std::getenv(platform::kSettingsPathVariable);
  if (path == nullptr) {
    std::cerr << "settings: " << platform::kSettingsPathVariable
              << " isn't set\n";
    return kExitInvalidSettings;
  }
  const fleet_adapter adapter = platform::MakePlatformAdapter();
  settings_file file(path, &adapter);
  auto parsed = file.Read();
  if (const auto* errors = std::get_if<std::vector<json_error>>(&parsed)) {
    for (const json_error& error : *errors) {
      std::cerr << "settings: " << error.path << " " << error.reason << "\n";
    }
    return kExitInvalidSettings;
  }
  const auto& settings = std::get<fleet_settings>(parsed);
  std::signal(SIGTERM, HandleFleetStop);
  std::signal(SIGINT, HandleFleetStop);
  std::signal(SIGHUP, HandleFleetReload);
  std::signal(SIGPIPE, SIG_IGN);
  const bool is_control =
      std::holds_alternative<control_role_settings>(settings.role);
  const auto run = is_control ? RunControl : RunEntry;
  const auto result = run(settings, adapter, &file, &g_fleet_signals);
  if (const auto* error = std::get_if<fleet_error>(&result)) {
    std::cerr << "instance: " << error->what << "\n";
    return kExitInstanceFailed;
  }
  return kExitStopped;
}

}  // namespace
}  // namespace lavendertack

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "lavendertackd --settings=FILE\n"
      "SIGTERM stops it gracefully, a second one immediately.\n"
      "Exit codes: 0 stopped; 2 invalid settings; 3 can't start or continue; "
      "4 an address is in use");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_fleet) return lavendertack::RunFleet(argv[0]);
  std::ifstream in(FLAGS_settings);
  if (!in) {
    std::cerr << "settings: can't read " << FLAGS_settings << "\n";
    return lavendertack::kExitInvalidSettings;
  }
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  auto parsed = lavendertack::ParseSettings(text);
  if (auto* errors =
          std::get_if<std::vector<lavendertack::settings_error>>(&parsed)) {
    return lavendertack::PrintErrors(lavendertack::kExitInvalidSettings,
                                     *errors);
  }
  return lavendertack::RunFromSettings(std::get<lavendertack::settings>(parsed),
                                       argv[0]);
}
