// Shared by the event loops of entry and control instances: settings that are
// reloaded while the process runs, signals, and logging of follower events.
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

// Why a process can't start or go on.
struct fleet_error {
  std::string what;
};

// Signals that the process has received. Set by the signal handlers.
struct process_signals {
  std::atomic<int> stop{0};         // Number of signals to stop.
  std::atomic<bool> reload{false};  // Read the settings file again.
};

// The settings file. Reloaded when its content changes.
class settings_file {
 public:
  settings_file(std::string path, const fleet_adapter* adapter)
      : path_(std::move(path)), adapter_(adapter) {}

  // Reads and parses the file.
  std::variant<fleet_settings, std::vector<json_error>> Read();
  // Returns the new settings when the file's content has changed and is valid.
  // Invalid content is logged and otherwise ignored. Reads the file at most
  // once a second, or immediately when `force` is set.
  std::optional<fleet_settings> ReadChanged(instant now, bool force,
                                            event_log* log);

 private:
  std::optional<std::string> Load() const;

  std::string path_;
  const fleet_adapter* adapter_;
  std::string last_text_;
  instant last_read_;
};

// The log of a process, written to the standard output.
event_log MakeEventLog(const fleet_settings& settings);

// Opens the port for metrics and state. A failure is logged, and the process
// goes on without the port.
void OpenQueryPort(query_port* queries, const fleet_settings& settings,
                   event_log* log);

// Return the names of control instances, which are their addresses.
instance_name ControlName(ipv4_address ip);
std::vector<instance_name> ControlNames(const std::vector<ipv4_address>& ips);

// Writes the log line of an event that the follower reports.
void LogFollowerEvent(event_log* log, const follower_event& event);

// Starts an event loop and runs it until it stops. Exceptions are returned as
// errors.
template <typename Loop>
std::variant<std::monostate, fleet_error> RunLoop(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals) {
  try {
    Loop loop(settings, adapter, file, signals);
    if (auto error = loop.Start()) return *error;
    loop.Run();
  } catch (const std::exception& error) {
    return fleet_error{error.what()};
  }
  return std::monostate{};
}

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_FLEET_PROCESS_H_
