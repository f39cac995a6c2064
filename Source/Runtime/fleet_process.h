// What the loops of a fleet's processes share: settings that may change while
// the process runs, signals, log lines of what a follower believes.
#ifndef LAVENDERTACK_RUNTIME_FLEET_PROCESS_H_
#define LAVENDERTACK_RUNTIME_FLEET_PROCESS_H_

#include <atomic>
#include <exception>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "EventLog/event_log.h"
#include "Following/control_follower.h"
#include "Runtime/fleet_adapter.h"
#include "Runtime/query_port.h"

namespace lavendertack {

// Why a process could not start or go on.
struct fleet_error {
  std::string what;
};

// Set by signal handlers.
struct process_signals {
  std::atomic<int> stop{0};
  std::atomic<bool> reload{false};
};

// The settings file, read again when it changes.
class settings_file {
 public:
  settings_file(std::string path, const fleet_adapter* adapter)
      : path_(std::move(path)), adapter_(adapter) {}

  std::variant<fleet_settings, std::vector<json_error>> Read();
  // New settings when the file's content has changed and is right; a wrong one
  // is logged and passed over. Looks at the file at most once a second, or at
  // once when `now_please`.
  std::optional<fleet_settings> ReadChanged(instant now, bool now_please,
                                            event_log* log);

 private:
  std::optional<std::string> Load() const;

  std::string path_;
  const fleet_adapter* adapter_;
  std::string last_text_;
  instant last_look_;
};

event_log MakeEventLog(const fleet_settings& settings);

// A process goes on without its query port; the log says why.
void OpenQueries(query_port* queries, const fleet_settings& settings,
                 event_log* log);

// Names of control instances: their addresses.
instance_name ControlName(ipv4_address ip);
std::vector<instance_name> ControlNames(const std::vector<ipv4_address>& ips);

void LogNote(event_log* log, const follower_event& note);

// Starts a loop and runs it until the signal to stop. What it throws is told as
// its error.
template <typename loop>
std::variant<std::monostate, fleet_error> RunLoop(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals) {
  try {
    loop running(settings, adapter, file, signals);
    if (auto error = running.Start()) return *error;
    running.Run();
  } catch (const std::exception& error) {
    return fleet_error{error.what()};
  }
  return std::monostate{};
}

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_FLEET_PROCESS_H_
