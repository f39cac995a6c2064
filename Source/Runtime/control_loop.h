// Runs a control instance: answers the calls of operators and targets,
// exchanges messages with the other instances and writes the agreed log, which
// is synced to disk.
#ifndef LAVENDERTACK_RUNTIME_CONTROL_LOOP_H_
#define LAVENDERTACK_RUNTIME_CONTROL_LOOP_H_

#include <variant>

#include "Runtime/fleet_process.h"

namespace lavendertack {

// Runs until a signal to stop is received. Returns an error when the instance
// can't start or go on.
std::variant<std::monostate, fleet_error> RunControl(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_CONTROL_LOOP_H_
