// Runs an entry instance: forwards packets, follows the control instances and
// answers readiness probes.
#ifndef LAVENDERTACK_RUNTIME_ENTRY_LOOP_H_
#define LAVENDERTACK_RUNTIME_ENTRY_LOOP_H_

#include <variant>

#include "Runtime/fleet_process.h"

namespace lavendertack {

// Runs until a signal to stop is received, and then until its callers have
// moved to other instances or the stop timeout has passed. Returns an error
// when the instance can't start or go on.
std::variant<std::monostate, fleet_error> RunEntry(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ENTRY_LOOP_H_
