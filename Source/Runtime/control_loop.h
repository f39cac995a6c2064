// Runs a control instance: calls of operators and targets, links to the other
// instances, the synced log.
#ifndef LAVENDERTACK_RUNTIME_CONTROL_LOOP_H_
#define LAVENDERTACK_RUNTIME_CONTROL_LOOP_H_

#include <variant>

#include "Runtime/fleet_process.h"

namespace lavendertack {

// Runs until the signal to stop.
std::variant<std::monostate, fleet_error> RunControl(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_CONTROL_LOOP_H_
